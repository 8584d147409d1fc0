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

// Sizes of digest entries in bytes, and the limit of entries in one section.
const (
	loadEntryBytes   = 23
	heatEntryBytes   = 18
	spillEntryBytes  = 21
	reportEntryBytes = 24
	maxEntries       = 4096
)

// heatInterval is the least time between two digests of the demand, which
// changes slowly.
const heatInterval = time.Second

// minEvidence is the least weight of straggler evidence that is sent to peers,
// in observations.
const minEvidence = 0.5

// maxReported is the largest valid value of each number in an entry.
const maxReported = 1 << 24

// section is one digest section of a Placer.
type section struct {
	name   string
	reach  hbs.Reach
	digest func(budget int) any
	merge  func(from hbs.Instance, data []byte) error
	// interval is the least time between two digests. Slowly changing data is
	// sent less often, which leaves more of the byte budget to the other
	// sections.
	interval time.Duration
	// sentAt is when the last digest was made.
	sentAt time.Time
}

// Name implements hornbeamstage.Section.
func (s *section) Name() string { return s.name }

// Reach implements hornbeamstage.Section.
func (s *section) Reach() hbs.Reach { return s.reach }

// Digest implements hornbeamstage.Section.
func (s *section) Digest(budget int) []byte {
	now := time.Now()
	if now.Sub(s.sentAt) < s.interval {
		return nil
	}
	v := s.digest(budget)
	if v == nil {
		return nil
	}
	s.sentAt = now
	data, err := cbor.Marshal(v)
	if err != nil || len(data) > budget {
		return nil
	}
	return data
}

// Merge implements hornbeamstage.Section.
func (s *section) Merge(from hbs.Instance, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "section %s of %s", s.name, from.ID) }()
	return s.merge(from, data)
}

// Sections returns the digest sections that the instance exchanges with its
// peers.
func (p *Placer) Sections() []hbs.Section {
	p.start()
	reach := hbs.ReachRegion
	if p.scope(hbs.Scope{Domain: p.Self.Domain}) == ScopeDomain {
		reach = hbs.ReachDomain
	}
	return []hbs.Section{
		&section{name: "placement_load", reach: reach, digest: p.loadDigest, merge: p.mergeLoad},
		&section{name: "placement_news", reach: reach, digest: p.spillDigest, merge: p.mergeSpills},
		&section{name: "load_reports", reach: reach, digest: p.reportDigest, merge: p.mergeReports},
		&section{name: "placement_heat", reach: reach, digest: p.heatDigest, merge: p.mergeHeat, interval: heatInterval},
	}
}

var decMode = digest.NewDecMode(maxEntries)

// wireID identifies an endpoint or an incarnation in digests by the lower half
// of its hash. That is enough for the endpoints of a region; two that collide
// would each be counted with the load of both.
type wireID uint32

func wireHash(inc hbs.Incarnation) wireID { return wireID(hashID(inc)) }

// loadEntry is the outstanding work of an instance on one endpoint, with its
// demand, its hashing weight and its evidence of the endpoint's speed.
type loadEntry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint wireID
	Running  uint32
	Prefill  uint32
	// HomeDemand is the demand for prompts at home on the endpoint in thousandths of
	// an engine, LogWeight the logarithm of its hashing weight in hundredths.
	HomeDemand uint32
	LogWeight  int16
	// SlownessSum is the Sum of straggler.Evidence in hundredths, SlownessWeight
	// its Weight in tenths.
	SlownessSum    int16
	SlownessWeight uint16
}

// Validate returns an error when a value is out of range.
func (e loadEntry) Validate() error {
	if e.Running > maxReported || e.Prefill > maxReported || e.HomeDemand > maxReported || e.LogWeight > maxBias*100 || e.LogWeight < -maxBias*100 {
		return errors.Newf("load of endpoint %x is out of range", e.Endpoint)
	}
	return nil
}

func (p *Placer) loadDigest(budget int) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := []loadEntry{}
	for _, m := range p.members {
		local, home, speed := m.ledger.Local(), m.balance.decayedDemand(now), m.score.Local(now)
		if local.Running > 0 || home >= minHomeDemand || speed.Weight >= minEvidence {
			list = append(list, loadEntry{
				Endpoint: wireID(m.hash), Running: uint32(local.Running), Prefill: uint32(local.Prefill),
				HomeDemand: uint32(home * 1000), LogWeight: int16(m.balance.bias * 100),
				SlownessSum: int16(min(max(speed.Sum*100, -math.MaxInt16), math.MaxInt16)), SlownessWeight: uint16(min(speed.Weight*10, math.MaxUint16)),
			})
		}
	}
	slices.SortFunc(list, func(a, b loadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), budget/loadEntryBytes, maxEntries)]
}

// mergeLoad replaces the peer's last list. Endpoints that are not in it count
// as zero.
func (p *Placer) mergeLoad(from hbs.Instance, data []byte) error {
	list, err := decode[loadEntry](data)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshRoster(time.Now())
	now, peer := time.Now(), hashID(from.ID)
	counts := make(map[wireID]load.Count, len(list))
	for _, e := range list {
		counts[e.Endpoint] = load.Count{
			Running: float64(e.Running), Prefill: float64(e.Prefill),
			HomeDemand: float64(e.HomeDemand) / 1000, LogWeight: float64(e.LogWeight) / 100,
			SlownessSum: float64(e.SlownessSum) / 100, SlownessWeight: float64(e.SlownessWeight) / 10,
		}
	}
	for _, m := range p.members {
		m.ledger.SetPeer(peer, counts[wireID(m.hash)], now)
	}
	return nil
}

func (p *Placer) heatDigest(budget int) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heat.Digest(min(budget/heatEntryBytes, maxEntries), time.Now())
}

func (p *Placer) mergeHeat(from hbs.Instance, data []byte) error {
	list, err := decode[heat.Demand](data)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heat.SetPeer(from.ID, list, time.Now())
	return nil
}

func decode[E digest.Entry](data []byte) ([]E, error) { return digest.Decode[E](decMode, data) }
