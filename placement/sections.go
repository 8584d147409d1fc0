package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/digest"
	"github.com/hornbeamstage/hornbeamstage/heat"
	"github.com/hornbeamstage/hornbeamstage/load"
)

// Sizes of entries in a digest, in bytes, and the bound of entries taken.
const (
	loadEntryBytes   = 23
	heatEntryBytes   = 18
	newsEntryBytes   = 21
	reportEntryBytes = 24
	maxEntries       = 4096
)

// heatEvery is the time between two digests of the demand, which changes slowly.
const heatEvery = time.Second

// leastSeen is the evidence from which peers are told of it, in observations.
const leastSeen = 0.5

// maxAmount bounds each amount that a peer may tell.
const maxAmount = 1 << 24

// section is one of the digest sections of a Fleet.
type section struct {
	name   string
	reach  hbs.Reach
	digest func(budget int) any
	absorb func(from hbs.Instance, data []byte) error
	// every is the least time between two digests. What changes slowly is told
	// seldom, so that the byte budget is left for the rest.
	every time.Duration
	// told is when the last digest was made.
	told time.Time
}

// Name implements hornbeamstage.Section.
func (s *section) Name() string { return s.name }

// Reach implements hornbeamstage.Section.
func (s *section) Reach() hbs.Reach { return s.reach }

// Digest implements hornbeamstage.Section.
func (s *section) Digest(budget int) []byte {
	now := time.Now()
	if now.Sub(s.told) < s.every {
		return nil
	}
	v := s.digest(budget)
	if v == nil {
		return nil
	}
	s.told = now
	data, err := cbor.Marshal(v)
	if err != nil || len(data) > budget {
		return nil
	}
	return data
}

// Absorb implements hornbeamstage.Section.
func (s *section) Absorb(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "section %s of %s", s.name, from.ID) }()
	return s.absorb(from, data)
}

// Sections returns what the instance exchanges with its peers.
func (f *Fleet) Sections() []hbs.Section {
	f.start()
	reach := hbs.ReachRegion
	if f.scope(hbs.Scope{Domain: f.Self.Domain}) == ScopeDomain {
		reach = hbs.ReachDomain
	}
	return []hbs.Section{
		&section{name: "placement_load", reach: reach, digest: f.loadDigest, absorb: f.absorbLoad},
		&section{name: "placement_news", reach: reach, digest: f.newsDigest, absorb: f.absorbNews},
		&section{name: "load_reports", reach: reach, digest: f.reportDigest, absorb: f.absorbReports},
		&section{name: "placement_heat", reach: reach, digest: f.heatDigest, absorb: f.absorbHeat, every: heatEvery},
	}
}

var decoding = digest.Mode(maxEntries)

// wireID stands for an endpoint or an incarnation in digests. Half of a hash is
// enough for the endpoints of a region; two that collide share their load.
type wireID uint32

func wireHash(inc hbs.Incarnation) wireID { return wireID(hashID(inc)) }

// loadEntry is the work that an instance has outstanding on one endpoint.
type loadEntry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint wireID
	Running  uint32
	Prefill  uint32
	// Home is in thousandths of an engine, Bias in hundredths.
	Home uint32
	Bias int16
	// Slow is in hundredths, Seen in tenths; see straggler.Evidence.
	Slow int16
	Seen uint16
}

// Validate reports the first value that makes no sense.
func (e loadEntry) Validate() error {
	if e.Running > maxAmount || e.Prefill > maxAmount || e.Home > maxAmount || e.Bias > maxBias*100 || e.Bias < -maxBias*100 {
		return errors.Newf("load of endpoint %x is out of range", e.Endpoint)
	}
	return nil
}

func (f *Fleet) loadDigest(budget int) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	list := []loadEntry{}
	for _, m := range f.members {
		own, home, speed := m.ledger.Own(), m.balance.home(now), m.score.Own(now)
		if own.Running > 0 || home >= leastHome || speed.Weight >= leastSeen {
			list = append(list, loadEntry{
				Endpoint: wireID(m.hash), Running: uint32(own.Running), Prefill: uint32(own.Prefill),
				Home: uint32(home * 1000), Bias: int16(m.balance.bias * 100),
				Slow: int16(min(max(speed.Sum*100, -math.MaxInt16), math.MaxInt16)), Seen: uint16(min(speed.Weight*10, math.MaxUint16)),
			})
		}
	}
	slices.SortFunc(list, func(a, b loadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), budget/loadEntryBytes, maxEntries)]
}

// absorbLoad takes a peer's whole list: what is not in it is zero.
func (f *Fleet) absorbLoad(from hbs.Instance, data []byte) error {
	list, err := decode[loadEntry](data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(time.Now())
	now, peer := time.Now(), hashID(from.ID)
	told := make(map[wireID]load.Count, len(list))
	for _, e := range list {
		told[e.Endpoint] = load.Count{
			Running: float64(e.Running), Prefill: float64(e.Prefill),
			Home: float64(e.Home) / 1000, Bias: float64(e.Bias) / 100,
			Slow: float64(e.Slow) / 100, Seen: float64(e.Seen) / 10,
		}
	}
	for _, m := range f.members {
		m.ledger.Peer(peer, told[wireID(m.hash)], now)
	}
	return nil
}

func (f *Fleet) heatDigest(budget int) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heat.Digest(min(budget/heatEntryBytes, maxEntries), time.Now())
}

func (f *Fleet) absorbHeat(from hbs.Instance, data []byte) error {
	list, err := decode[heat.Demand](data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heat.Absorb(from.ID, list, time.Now())
	return nil
}

func decode[E digest.Entry](data []byte) ([]E, error) { return digest.Decode[E](decoding, data) }
