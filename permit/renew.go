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

// Permit is one slot held by this process. It is renewed until Release or
// Abandon.
type Permit struct {
	pool *Pool
	wg   conc.WaitGroup
	stop context.CancelFunc

	mu sync.Mutex
	// startDeadline is until when work may be started (P2); zero after the
	// permit was released or lost.
	startDeadline time.Time

	// The remaining fields are used by renewLoop, and by Release after renewLoop
	// has ended.

	object hbs.Object
	slot   Slot
}

// Check returns nil while work may be started, else ErrExpired.
func (m *Permit) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.startDeadline) {
		return nil
	}
	return ErrExpired
}

// Release stops the renewals, waits for a renewal in progress and frees the
// slot. All work under the permit must be done.
func (m *Permit) Release(ctx context.Context) {
	m.stop()
	m.wg.Wait()
	m.mu.Lock()
	m.startDeadline = time.Time{}
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
	m.pool.notifyFreed()
}

// Abandon stops the renewals and lets the permit expire. It is for work that may
// still run for a time that is not known.
func (m *Permit) Abandon() {
	m.stop()
	m.wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startDeadline = time.Time{}
}

func (m *Permit) startRenewing() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.wg.Go(func() { m.renewLoop(ctx) })
}

// renewLoop renews the slot until ctx ends or the slot is lost to another
// holder. A renewal that is not known to have taken effect is sent again
// unchanged, and the expiry counts from its first sending.
func (m *Permit) renewLoop(ctx context.Context) {
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
			m.extendDeadline(sent)
		case object.Is(err, hbs.ErrConflict):
			m.markLost()
			return
		}
	}
}

// markLost ends a permit whose slot another holder has taken.
func (m *Permit) markLost() {
	m.mu.Lock()
	m.startDeadline = time.Time{}
	m.mu.Unlock()
	m.object.Revision = 0
	m.pool.inc(meterLost)
}

// extendDeadline sets the deadline after a write first sent at sent took effect
// (P2).
func (m *Permit) extendDeadline(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startDeadline = sent.Add(m.slot.duration() - m.pool.duration(KnobMaxWorkTime))
}

// put writes the slot, conditional on the last known revision.
func (m *Permit) put(ctx context.Context) error {
	value, err := json.Marshal(m.slot)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.pool.duration(KnobCallTimeout))
	defer cancel()
	want := m.slot
	isOwnWrite := func(value json.RawMessage) bool {
		var stored Slot
		return json.Unmarshal(value, &stored) == nil && stored.Term == want.Term && stored.Renewals == want.Renewals
	}
	obj := m.object
	obj.Value = value
	stored, err := m.pool.writer().Put(ctx, obj, isOwnWrite)
	if err == nil {
		m.object.Revision = stored.Revision
	}
	return err
}
