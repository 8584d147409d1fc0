package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
)

const (
	// spillTTL is how long a spill is included in digests.
	spillTTL = 500 * time.Millisecond
	// maxSpills bounds the recorded spills.
	maxSpills = 256
	// maxSpillLevels bounds the levels recorded of one prompt: the deepest of
	// those with demand.
	maxSpillLevels = 3
)

// spillEntry reports to peers that a prefix was sent to an endpoint outside its
// home set, where they would not expect it.
type spillEntry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint wireID
	// Incarnation is the hash of the endpoint's incarnation.
	Incarnation wireID
	Key         hbs.LevelKey

	at time.Time
}

// Validate implements digest.Entry. All values are valid.
func (e spillEntry) Validate() error { return nil }

// spills are the recent spills of this instance, oldest first.
type spills struct{ list []spillEntry }

// recordSpill records for peers the levels of a spilled attempt that other
// requests share.
func (p *Placer) recordSpill(m *member, req *hbs.Request, now time.Time) {
	n := 0
	for i := len(req.Levels) - 1; i >= 0 && n < maxSpillLevels; i-- {
		l := &req.Levels[i]
		if l.Tokens <= m.homeTokens || p.heat.Load(l.Key, now) == 0 {
			continue
		}
		if len(p.spills.list) >= maxSpills {
			p.spills.list = p.spills.list[1:]
		}
		p.spills.list = append(p.spills.list, spillEntry{Endpoint: wireID(m.hash), Incarnation: wireHash(m.identity.Incarnation), Key: l.Key, at: now})
		n++
	}
}

func (p *Placer) spillDigest(budget int) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.spills.list
	for len(list) > 0 && now.Sub(list[0].at) > spillTTL {
		list = list[1:]
	}
	p.spills.list = list
	if len(list) == 0 {
		return nil
	}
	return list[max(0, len(list)-budget/spillEntryBytes):]
}

// mergeSpills adds beliefs for the spills of a peer. Entries for another
// incarnation than the one known here are ignored.
func (p *Placer) mergeSpills(_ hbs.Instance, data []byte) error {
	list, err := decode[spillEntry](data)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		if m := p.memberOf(e.Endpoint, e.Incarnation); m != nil && m.generation != 0 {
			p.table.Put(e.Key, m.generation, now)
		}
	}
	return nil
}

// memberOf returns the endpoint of a peer's entry, or nil when it is not known
// here with the same incarnation.
func (p *Placer) memberOf(id, incarnation wireID) *member {
	m := p.byHash[id]
	if m == nil || wireHash(m.identity.Incarnation) != incarnation {
		return nil
	}
	return m
}

// reportEntry forwards one endpoint's load report to peers.
type reportEntry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    wireID
	Incarnation wireID
	Running     uint32
	Prefill     uint32
	// Age is in milliseconds, EvictionAge in tenths of a second.
	Age         uint32
	EvictionAge uint32

	at time.Time
}

// Validate returns an error when a value is out of range.
func (e reportEntry) Validate() error {
	if e.Running > maxReported || e.Prefill > maxReported || e.Age > maxReported || e.EvictionAge > maxReported {
		return errors.Newf("report of endpoint %x is out of range", e.Endpoint)
	}
	return nil
}

// reports are the load reports read since the last digest.
type reports struct{ list []reportEntry }

func (r *reports) add(m *member, c load.Count, at time.Time) {
	if len(r.list) >= maxEntries {
		return
	}
	r.list = append(r.list, reportEntry{
		Endpoint:    wireID(m.hash),
		Incarnation: wireHash(m.identity.Incarnation),
		Running:     uint32(c.Running),
		Prefill:     uint32(c.Prefill),
		EvictionAge: uint32(m.age.Value().Seconds() * 10),
		at:          at,
	})
}

func (p *Placer) reportDigest(budget int) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.reports.list), budget/reportEntryBytes)
	if n <= 0 {
		return nil
	}
	list := p.reports.list[:n]
	p.reports.list = p.reports.list[n:]
	now := time.Now()
	for i := range list {
		list[i].Age = uint32(now.Sub(list[i].at).Milliseconds())
	}
	return list
}

func (p *Placer) mergeReports(_ hbs.Instance, data []byte) error {
	list, err := decode[reportEntry](data)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		m := p.memberOf(e.Endpoint, e.Incarnation)
		if m == nil {
			continue
		}
		count := load.Count{Running: float64(e.Running), Prefill: float64(e.Prefill)}
		m.ledger.ApplyReport(count, now.Add(-time.Duration(e.Age)*time.Millisecond))
		m.age.ObservePeer(time.Duration(e.EvictionAge) * 100 * time.Millisecond)
	}
	return nil
}
