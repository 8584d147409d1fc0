package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// longWork counts the long requests at each endpoint, this instance's and the
// peers' (rule 5).
type longWork struct {
	mu    sync.Mutex
	own   map[hbs.EndpointID]int
	peers map[hbs.InstanceID]peerWork
}

// peerWork is what a peer told of its long requests.
type peerWork struct {
	at     time.Time
	counts map[uint64]int
}

// longCount is the wire form of one endpoint's count.
type longCount struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the hash of the endpoint's name; Count is positive.
	Endpoint uint64
	Count    int
}

const (
	// peerWorkAge is the age at which a peer's counts are no longer used.
	peerWorkAge = 3 * time.Second
	// longCountBytes is the largest encoding of one count.
	longCountBytes = 13
	// maxLongCounts bounds what is taken from a peer.
	maxLongCounts = 4096
)

func newLongWork() *longWork {
	return &longWork{own: map[hbs.EndpointID]int{}, peers: map[hbs.InstanceID]peerWork{}}
}

func (l *longWork) add(id hbs.EndpointID, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[id] += n
	if l.own[id] <= 0 {
		delete(l.own, id)
	}
}

// full returns the endpoints that may take no more long work.
func (l *longWork) full(d hbs.Directory, p hbs.Policy, req *hbs.Request) []hbs.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := p.Number(KnobLongSlots, hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service})
	others := l.others(time.Now())
	if len(l.own) == 0 && len(others) == 0 {
		return nil
	}
	var ids []hbs.EndpointID
	endpoints := d.Roster().Endpoints
	for i := range endpoints {
		e := &endpoints[i]
		limit := max(int(share*float64(e.Slots)), 1)
		if l.own[e.ID]+others[xxhash.Sum64String(string(e.ID))] >= limit {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// others adds up what the peers told lately.
func (l *longWork) others(now time.Time) map[uint64]int {
	sum := map[uint64]int{}
	for id, peer := range l.peers {
		if now.Sub(peer.at) > peerWorkAge {
			delete(l.peers, id)
			continue
		}
		for endpoint, n := range peer.counts {
			sum[endpoint] += n
		}
	}
	return sum
}

// section exchanges the counts. It implements hornbeamstage.Section.
type section struct{ c *Controller }

// Section returns what the instance exchanges with the others of its region.
func (c *Controller) Section() hbs.Section {
	c.start()
	return section{c}
}

// Name implements hornbeamstage.Section.
func (section) Name() string { return "admission" }

// Reach implements hornbeamstage.Section.
func (section) Reach() hbs.Reach { return hbs.ReachRegion }

// Digest implements hornbeamstage.Section. What does not fit is left out, the
// endpoints with the least long work first.
func (s section) Digest(budget int) []byte {
	l := s.c.long
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]longCount, 0, len(l.own))
	for id, n := range l.own {
		counts = append(counts, longCount{Endpoint: xxhash.Sum64String(string(id)), Count: n})
	}
	slices.SortFunc(counts, func(a, b longCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	counts = counts[:min(len(counts), budget/longCountBytes)]
	data, err := cbor.Marshal(counts)
	if err != nil || len(data) > budget {
		return nil
	}
	return data
}

// Absorb implements hornbeamstage.Section.
func (s section) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "long work of %q", from.ID) }()
	var counts []longCount
	if err := cbor.Unmarshal(data, &counts); err != nil {
		return err
	}
	if len(counts) > maxLongCounts {
		return errors.Newf("%d counts", len(counts))
	}
	m := make(map[uint64]int, len(counts))
	for _, c := range counts {
		if c.Count < 1 {
			return errors.Newf("count %d", c.Count)
		}
		m[c.Endpoint] = c.Count
	}
	s.c.long.mu.Lock()
	defer s.c.long.mu.Unlock()
	s.c.long.peers[from.ID] = peerWork{time.Now(), m}
	return nil
}
