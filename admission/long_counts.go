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

// longCounts counts the running long requests at each endpoint, of this instance
// and of its peers (rule 5).
type longCounts struct {
	mu    sync.Mutex
	local map[hbs.EndpointID]int
	peers map[hbs.InstanceID]peerCounts
}

// peerCounts is the last report of a peer. It is keyed by the hash of the
// endpoint's ID.
type peerCounts struct {
	receivedAt time.Time
	counts     map[uint64]int
}

// longCount is the count of one endpoint on the wire.
type longCount struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the xxHash64 of the endpoint's ID. Count is positive.
	Endpoint uint64
	Count    int
}

const (
	// maxPeerCountsAge is the age beyond which the counts of a peer are dropped.
	maxPeerCountsAge = 3 * time.Second
	// longCountBytes is the maximum encoded size of one longCount.
	longCountBytes = 13
	// maxLongCounts is the maximum number of counts accepted from a peer.
	maxLongCounts = 4096
)

func newLongCounts() *longCounts {
	return &longCounts{local: map[hbs.EndpointID]int{}, peers: map[hbs.InstanceID]peerCounts{}}
}

// add adds n, which may be negative, to the local count of an endpoint.
func (l *longCounts) add(id hbs.EndpointID, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local[id] += n
	if l.local[id] <= 0 {
		delete(l.local, id)
	}
}

// endpointsAtLimit returns the endpoints that accept no more long work like req for now.
// Those that get no new work at all, or none of its model or service, are not among them:
// waiting for a place there doesn't help.
func (l *longCounts) endpointsAtLimit(d hbs.Directory, p hbs.Policy, req *hbs.Request) []hbs.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := p.Number(KnobLongSlots, hbs.Scope{Workspace: req.Workspace, Model: req.Model, Service: req.Service})
	others := l.peerTotals(time.Now())
	if len(l.local) == 0 && len(others) == 0 {
		return nil
	}
	var ids []hbs.EndpointID
	endpoints := d.Roster().Endpoints
	for i := range endpoints {
		e := &endpoints[i]
		if e.State == hbs.StateDraining || e.State == hbs.StateLeaving || e.Model != req.Model || e.Service != req.Service {
			continue
		}
		limit := max(int(share*float64(e.Slots)), 1)
		if l.local[e.ID]+others[xxhash.Sum64String(string(e.ID))] >= limit {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// peerTotals returns the sums of the peers' counts, and deletes expired reports.
func (l *longCounts) peerTotals(now time.Time) map[uint64]int {
	sum := map[uint64]int{}
	for id, peer := range l.peers {
		if now.Sub(peer.receivedAt) > maxPeerCountsAge {
			delete(l.peers, id)
			continue
		}
		for endpoint, n := range peer.counts {
			sum[endpoint] += n
		}
	}
	return sum
}

// section exchanges the counts of long requests between instances. It implements
// hornbeamstage.Section.
type section struct{ c *Controller }

// Section returns the digest section that exchanges the counts of long requests
// within the region.
func (c *Controller) Section() hbs.Section {
	c.initOnce()
	return section{c}
}

// Name implements hornbeamstage.Section.
func (section) Name() string { return "admission" }

// Reach implements hornbeamstage.Section.
func (section) Reach() hbs.Reach { return hbs.ReachRegion }

// Digest implements hornbeamstage.Section. If the budget is too small, the
// endpoints with the fewest long requests are omitted.
func (s section) Digest(budget int) []byte {
	l := s.c.long
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]longCount, 0, len(l.local))
	for id, n := range l.local {
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

// Merge implements hornbeamstage.Section.
func (s section) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "long request counts from %q", from.ID) }()
	var counts []longCount
	if err := cbor.Unmarshal(data, &counts); err != nil {
		return err
	}
	if len(counts) > maxLongCounts {
		return errors.Newf("%d counts exceed the limit of %d", len(counts), maxLongCounts)
	}
	m := make(map[uint64]int, len(counts))
	for _, c := range counts {
		if c.Count < 1 {
			return errors.Newf("count %d is not positive", c.Count)
		}
		m[c.Endpoint] = c.Count
	}
	s.c.long.mu.Lock()
	defer s.c.long.mu.Unlock()
	s.c.long.peers[from.ID] = peerCounts{time.Now(), m}
	return nil
}
