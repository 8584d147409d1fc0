// Package permit limits how many instances of the whole deployment do some work,
// such as loading weights, at the same time. It uses objects of the platform.
//
// # The protocol
//
//	P1. A pool has as many slots as its limit, and each slot is one object. A
//	    permit is a slot that was taken by a conditional write known to have
//	    taken effect.
//	P2. A permit expires one duration after the last renewal that took effect,
//	    counted from just before that renewal was first sent. Its holder may start
//	    work until permit.cover before the expiry. As permit.cover is the longest
//	    time that work continues after its start, no work runs under an expired
//	    permit.
//	P3. Another holder takes a slot if it is free, or if it has seen the same
//	    revision for the duration stored in the slot, counted from after its
//	    first read of that revision.
//	P4. A slot whose number is not below the current limit is not taken again.
//	P5. The holder frees its permit when the work is done. If that fails, the
//	    permit expires.
//
// During an outage of the platform no permit is taken or renewed. Running work is
// finished, and none is started under a permit that expires within permit.cover.
package permit

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// ErrExpired means that no more work may be started under a permit.
var ErrExpired = errors.New("permit expired")

// Slot is the value of a permit object.
type Slot struct {
	// Holder is empty when the slot is free.
	Holder hbs.InstanceID `json:"holder,omitempty"`
	// Term is a random ID of the time from taking the slot to freeing it.
	// Renewals counts the renewals in it.
	Term     string `json:"term"`
	Renewals uint64 `json:"renewals"`
	// Endpoint is the endpoint that the permit was acquired for.
	Endpoint hbs.EndpointID `json:"endpoint,omitempty"`
	// DurationSeconds is the time from a renewal to the expiry; positive.
	DurationSeconds float64 `json:"duration_seconds"`
}

// Validate returns an error for the first invariant that s violates.
func (s *Slot) Validate() error {
	switch {
	case s.Term == "":
		return errors.New("slot without a term")
	case s.DurationSeconds <= 0:
		return errors.New("slot without a duration")
	}
	return nil
}

func (s *Slot) duration() time.Duration {
	return time.Duration(s.DurationSeconds * float64(time.Second))
}

// Pool acquires permits for one kind of work.
type Pool struct {
	// Name is the prefix of the names of the slots; unique in the deployment.
	Name string
	// Limit returns the current number of slots, which may change.
	Limit    func() int
	Platform hbs.Platform
	Self     hbs.Instance
	Policy   hbs.Policy
	Metrics  metrics.Registry
	// Log may be nil.
	Log *zap.Logger

	once sync.Once
	// searchLock is held by the one goroutine that searches for a slot. It is a
	// channel so that waiting for it ends with the context.
	searchLock chan struct{}
	// slotFreed wakes that goroutine when this process frees a slot.
	slotFreed chan struct{}
	// firstReads has the last revision seen of each slot, and unreadable that of
	// each slot that can't be decoded. listFailed is set while the slots can't be
	// read. All are guarded by searchLock.
	firstReads map[string]firstRead
	unreadable map[string]hbs.Revision
	listFailed bool
}

// firstRead is a revision of a slot and when this process first read it.
type firstRead struct {
	revision hbs.Revision
	at       time.Time
}

// Acquire waits for a permit until ctx ends.
func (p *Pool) Acquire(ctx context.Context, endpoint hbs.EndpointID) (_ *Permit, err error) {
	defer func() { err = errors.Wrapf(err, "acquire permit %s", p.Name) }()
	p.init()
	select {
	case p.searchLock <- struct{}{}:
		defer func() { <-p.searchLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		if permit := p.tryAcquire(ctx, endpoint); permit != nil {
			p.inc(meterTaken)
			return permit, nil
		}
		if err := p.waitForSlot(ctx); err != nil {
			return nil, err
		}
	}
}

// waitForSlot waits for the next poll of the slots, or until this process frees
// one.
func (p *Pool) waitForSlot(ctx context.Context) error {
	d := p.duration(KnobPoll)
	t := time.NewTimer(d/2 + mathrand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.slotFreed:
	case <-t.C:
	}
	return nil
}

// tryAcquire reads all slots once and returns a permit for the first one that it
// can take, or nil.
func (p *Pool) tryAcquire(ctx context.Context, endpoint hbs.EndpointID) *Permit {
	metrics.GetOrRegisterCounter(meterReads, p.Metrics).Inc(1)
	objects, _, err := p.Platform.List(ctx, hbs.ObjectPermit)
	p.recordList(ctx, err)
	if err != nil {
		return nil
	}
	byName := make(map[string]hbs.Object, len(objects))
	for _, obj := range objects {
		byName[obj.Name] = obj
	}
	for i := range p.Limit() {
		name := fmt.Sprintf("%s.%d", p.Name, i)
		if old := byName[name]; p.canTake(name, old) {
			if permit := p.takeSlot(ctx, name, old.Revision, endpoint); permit != nil {
				return permit
			}
		}
	}
	return nil
}

// recordList counts a failed read of the slots, and logs the first one and the end
// of the failures.
func (p *Pool) recordList(ctx context.Context, err error) {
	switch {
	case err != nil && ctx.Err() != nil:
	case err != nil:
		p.inc(meterReadFailures)
		if !p.listFailed {
			p.Log.Warn("permits can't be read", zap.String("pool", p.Name), zap.Error(err))
		}
		p.listFailed = true
	case p.listFailed:
		p.Log.Info("permits can be read again", zap.String("pool", p.Name))
		p.listFailed = false
	}
}

// decodeSlot decodes a slot. It logs each revision that can't be decoded once: the
// pool has one slot less until an operator deletes it.
func (p *Pool) decodeSlot(obj hbs.Object) (s Slot, err error) {
	err = json.Unmarshal(obj.Value, &s)
	if err == nil {
		err = s.Validate()
	}
	if err != nil && p.unreadable[obj.Name] != obj.Revision {
		p.unreadable[obj.Name] = obj.Revision
		p.Log.Error("permit slot can't be decoded", zap.String("name", obj.Name), zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
	}
	return s, err
}

// canTake reports whether P3 allows to take the slot now.
func (p *Pool) canTake(name string, obj hbs.Object) bool {
	if obj.Revision == 0 {
		return true
	}
	s, err := p.decodeSlot(obj)
	if err != nil {
		return false
	}
	if s.Holder == "" {
		return true
	}
	if seen := p.firstReads[name]; seen.revision == obj.Revision {
		return time.Since(seen.at) >= s.duration()
	}
	p.firstReads[name] = firstRead{obj.Revision, time.Now()}
	return false
}

// takeSlot writes a new term to the slot (P1). If the write is not known to have
// taken effect it returns nil; the slot expires in case it did.
func (p *Pool) takeSlot(ctx context.Context, name string, rev hbs.Revision, endpoint hbs.EndpointID) *Permit {
	permit := &Permit{
		pool:   p,
		object: hbs.Object{Kind: hbs.ObjectPermit, Name: name, Revision: rev},
		slot:   Slot{Holder: p.Self.ID, Term: rand.Text(), Endpoint: endpoint, DurationSeconds: p.duration(KnobDuration).Seconds()},
	}
	sent := time.Now()
	if permit.put(ctx) != nil {
		return nil
	}
	permit.extendDeadline(sent)
	permit.startRenewing()
	return permit
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.searchLock = make(chan struct{}, 1)
		p.slotFreed = make(chan struct{}, 1)
		p.firstReads = map[string]firstRead{}
		p.unreadable = map[string]hbs.Revision{}
		if p.Log == nil {
			p.Log = zap.NewNop()
		}
	})
}

// notifyFreed wakes the goroutine that searches for a slot, if there is one.
func (p *Pool) notifyFreed() {
	select {
	case p.slotFreed <- struct{}{}:
	default:
	}
}

// writer returns a writer whose calls get half of permit.call_timeout, so that a
// write can be sent again or read back.
func (p *Pool) writer() *object.Writer {
	return &object.Writer{
		Platform:    p.Platform,
		CallTimeout: p.duration(KnobCallTimeout) / 2,
		FailFast:    true,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, p.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, p.Metrics),
	}
}

func (p *Pool) duration(key hbs.KnobKey) time.Duration {
	return p.Policy.Duration(key, hbs.Scope{Domain: p.Self.Domain})
}

func (p *Pool) inc(meter string) { metrics.GetOrRegisterCounter(meter, p.Metrics).Inc(1) }
