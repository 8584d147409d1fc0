package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/load"
)

const (
	// newsTTL is how long a placement off its set is told.
	newsTTL = 500 * time.Millisecond
	// maxNews bounds the news kept.
	maxNews = 256
	// newsLevels is how many levels of one prompt are told, the deepest of those
	// with demand.
	newsLevels = 3
)

// newsEntry tells that a prefix was sent to an endpoint off its set.
type newsEntry struct {
	_ struct{} `cbor:",toarray"`

	Endpoint wireID
	// Incarnation is the hash of the endpoint's incarnation.
	Incarnation wireID
	Key         hbs.LevelKey

	at time.Time
}

// Validate implements the check of an entry; any values make sense.
func (e newsEntry) Validate() error { return nil }

type news struct{ list []newsEntry }

// tell records the levels of an attempt that goes off its set, those that other
// requests share.
func (f *Fleet) tell(m *member, req *hbs.Request, now time.Time) {
	told := 0
	for i := len(req.Levels) - 1; i >= 0 && told < newsLevels; i-- {
		l := &req.Levels[i]
		if l.Tokens <= m.home || f.heat.Load(l.Key, now) == 0 {
			continue
		}
		if len(f.news.list) >= maxNews {
			f.news.list = f.news.list[1:]
		}
		f.news.list = append(f.news.list, newsEntry{Endpoint: wireID(m.hash), Incarnation: wireHash(m.identity.Incarnation), Key: l.Key, at: now})
		told++
	}
}

func (f *Fleet) newsDigest(budget int) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	list := f.news.list
	for len(list) > 0 && now.Sub(list[0].at) > newsTTL {
		list = list[1:]
	}
	f.news.list = list
	if len(list) == 0 {
		return nil
	}
	return list[max(0, len(list)-budget/newsEntryBytes):]
}

// absorbNews believes peers' word on endpoints whose incarnation is the same
// here. A peer that knows another one is ignored.
func (f *Fleet) absorbNews(_ hbs.Instance, data []byte) error {
	list, err := decode[newsEntry](data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		if m := f.told(e.Endpoint, e.Incarnation); m != nil && m.life != 0 {
			f.table.Put(e.Key, m.life, now)
		}
	}
	return nil
}

// told returns the endpoint that a peer's entry names, or nil when it has another
// incarnation here.
func (f *Fleet) told(id, incarnation wireID) *member {
	m := f.byHash[id]
	if m == nil || wireHash(m.identity.Incarnation) != incarnation {
		return nil
	}
	return m
}

// reportEntry is one endpoint's load report, told on.
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

// Validate reports the first value that makes no sense.
func (e reportEntry) Validate() error {
	if e.Running > maxAmount || e.Prefill > maxAmount || e.Age > maxAmount || e.EvictionAge > maxAmount {
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

func (f *Fleet) reportDigest(budget int) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := min(len(f.reports.list), budget/reportEntryBytes)
	if n <= 0 {
		return nil
	}
	list := f.reports.list[:n]
	f.reports.list = f.reports.list[n:]
	now := time.Now()
	for i := range list {
		list[i].Age = uint32(now.Sub(list[i].at).Milliseconds())
	}
	return list
}

func (f *Fleet) absorbReports(_ hbs.Instance, data []byte) error {
	list, err := decode[reportEntry](data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		m := f.told(e.Endpoint, e.Incarnation)
		if m == nil {
			continue
		}
		count := load.Count{Running: float64(e.Running), Prefill: float64(e.Prefill)}
		m.ledger.Report(count, now.Add(-time.Duration(e.Age)*time.Millisecond))
		m.age.Heard(time.Duration(e.EvictionAge) * 100 * time.Millisecond)
	}
	return nil
}
