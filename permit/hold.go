package permit

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// Permit is one slot held by this process. It is renewed until Release.
type Permit struct {
	pool *Pool
	wg   conc.WaitGroup
	stop context.CancelFunc

	mu sync.Mutex
	// until is when no more work may be started (P2).
	until time.Time

	// The rest belongs to the renewing goroutine, and to Release after it ended.

	object hbs.Object
	slot   Slot
}

// Check returns nil while work may be started, else ErrLapsed.
func (m *Permit) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.until) {
		return nil
	}
	return ErrLapsed
}

// Release frees the slot; its work must be done. It waits for the renewing
// goroutine.
func (m *Permit) Release(ctx context.Context) {
	m.stop()
	m.wg.Wait()
	m.mu.Lock()
	m.until = time.Time{}
	m.mu.Unlock()
	if m.object.Revision == 0 {
		return
	}
	m.slot.Holder, m.slot.Endpoint = "", ""
	m.slot.Renewals++
	if m.put(ctx) != nil {
		m.pool.inc(meterNotFreed)
		return
	}
	m.pool.wake()
}

// Forget stops the renewals and leaves the slot to lapse, for work whose end is
// not known.
func (m *Permit) Forget() {
	m.stop()
	m.wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = time.Time{}
}

func (m *Permit) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.wg.Go(func() { m.renewDuty(ctx) })
}

// renewDuty renews until Release or until the slot is lost. A renewal without a
// known effect is sent again unchanged and counts from its first sending.
func (m *Permit) renewDuty(ctx context.Context) {
	known := true
	var sent time.Time
	for {
		interval := m.pool.duration(KnobRenew)
		if delay.For(ctx, interval/2+mathrand.N(interval/2+1)) != nil {
			return
		}
		if known {
			m.slot.Renewals++
			sent = time.Now()
		}
		err := m.put(ctx)
		known = err == nil
		switch {
		case err == nil:
			m.extend(sent)
		case object.Is(err, hbs.ErrConflict):
			m.lose()
			return
		}
	}
}

func (m *Permit) lose() {
	m.mu.Lock()
	m.until = time.Time{}
	m.mu.Unlock()
	m.object.Revision = 0
	m.pool.inc(meterLost)
}

func (m *Permit) extend(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = sent.Add(m.slot.duration() - m.pool.duration(KnobCover))
}

func (m *Permit) put(ctx context.Context) error {
	value, err := json.Marshal(m.slot)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.pool.duration(KnobCallTimeout))
	defer cancel()
	want := m.slot
	mine := func(value json.RawMessage) bool {
		var stored Slot
		return json.Unmarshal(value, &stored) == nil && stored.Term == want.Term && stored.Renewals == want.Renewals
	}
	obj := m.object
	obj.Value = value
	stored, err := m.pool.writer().Put(ctx, obj, mine)
	if err == nil {
		m.object.Revision = stored.Revision
	}
	return err
}
