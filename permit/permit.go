// Package permit bounds how many instances of the whole fleet do a thing at the
// same time, by objects in the platform.
//
// # The protocol
//
//	P1. A pool has as many slots as its limit, and each slot is one object. A
//	    permit is a slot that was taken by a conditional write known to have
//	    taken effect.
//	P2. A permit allows its holder to start work until Cover before it lapses,
//	    counted from before the last renewal that took effect was first sent.
//	    Cover is the longest time that work goes on after it was started, so a
//	    lapsed permit covers no work any more.
//	P3. Another holder takes a slot when it is free, or when it has seen one
//	    revision unchanged for the duration that the value names, counted from
//	    after its first read of that revision.
//	P4. A slot whose number is not below the limit is not taken anew.
//	P5. A permit is freed by its holder when the work is done. When that fails, it
//	    lapses.
//
// During an outage of the platform no permit is taken or renewed: work that runs
// is finished, and none is started once the permits ran into their cover.
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

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// ErrLapsed says that a permit does not allow to start work any more.
var ErrLapsed = errors.New("permit lapsed")

// Slot is the value of a permit object.
type Slot struct {
	// Holder is empty when the slot is free.
	Holder hbs.InstanceID `json:"holder,omitempty"`
	// Term names one holding; Renewals counts its renewals.
	Term     string `json:"term"`
	Renewals uint64 `json:"renewals"`
	// Endpoint is what the permit was taken for.
	Endpoint hbs.EndpointID `json:"endpoint,omitempty"`
	// DurationSeconds is the time from a renewal to the lapse; positive.
	DurationSeconds float64 `json:"duration_seconds"`
}

// Validate reports the first invariant that s breaks.
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

// Pool hands out the permits of one kind.
type Pool struct {
	// Name starts the names of the slots; unique in the deployment.
	Name string
	// Limit is the number of slots now; it may change.
	Limit    func() int
	Platform hbs.Platform
	Self     hbs.Instance
	Policy   hbs.Policy
	Metrics  metrics.Registry

	once sync.Once
	// turn is held by the one goroutine that looks for a slot.
	turn chan struct{}
	// freed wakes it when this process frees a slot.
	freed chan struct{}
	// seen is when each revision of a slot was first read; used by the holder of
	// turn.
	seen map[string]sighting
}

type sighting struct {
	revision hbs.Revision
	at       time.Time
}

// Acquire waits for a permit until ctx ends.
func (p *Pool) Acquire(ctx context.Context, endpoint hbs.EndpointID) (_ *Permit, err error) {
	defer func() { err = errors.Wrapf(err, "acquire permit %s", p.Name) }()
	p.init()
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		if permit := p.try(ctx, endpoint); permit != nil {
			p.inc(meterTaken)
			return permit, nil
		}
		if err := p.wait(ctx); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) wait(ctx context.Context) error {
	d := p.duration(KnobPoll)
	t := time.NewTimer(d/2 + mathrand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.freed:
	case <-t.C:
	}
	return nil
}

// try looks at all slots once.
func (p *Pool) try(ctx context.Context, endpoint hbs.EndpointID) *Permit {
	metrics.GetOrRegisterCounter(meterReads, p.Metrics).Inc(1)
	objects, _, err := p.Platform.List(ctx, hbs.ObjectPermit)
	if err != nil {
		return nil
	}
	byName := make(map[string]hbs.Object, len(objects))
	for _, obj := range objects {
		byName[obj.Name] = obj
	}
	for i := range p.Limit() {
		name := fmt.Sprintf("%s.%d", p.Name, i)
		if old := byName[name]; p.takeable(name, old) {
			if permit := p.take(ctx, name, old.Revision, endpoint); permit != nil {
				return permit
			}
		}
	}
	return nil
}

// takeable applies P3.
func (p *Pool) takeable(name string, obj hbs.Object) bool {
	if obj.Revision == 0 {
		return true
	}
	var s Slot
	if err := json.Unmarshal(obj.Value, &s); err != nil || s.Validate() != nil {
		return false
	}
	if s.Holder == "" {
		return true
	}
	if seen := p.seen[name]; seen.revision == obj.Revision {
		return time.Since(seen.at) >= s.duration()
	}
	p.seen[name] = sighting{obj.Revision, time.Now()}
	return false
}

// take writes a new term (P1). Without a known effect there is no permit; the
// slot lapses then.
func (p *Pool) take(ctx context.Context, name string, rev hbs.Revision, endpoint hbs.EndpointID) *Permit {
	permit := &Permit{
		pool:   p,
		object: hbs.Object{Kind: hbs.ObjectPermit, Name: name, Revision: rev},
		slot:   Slot{Holder: p.Self.ID, Term: rand.Text(), Endpoint: endpoint, DurationSeconds: p.duration(KnobDuration).Seconds()},
	}
	sent := time.Now()
	if permit.put(ctx) != nil {
		return nil
	}
	permit.extend(sent)
	permit.start()
	return permit
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.turn = make(chan struct{}, 1)
		p.freed = make(chan struct{}, 1)
		p.seen = map[string]sighting{}
	})
}

func (p *Pool) wake() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

func (p *Pool) writer() *object.Writer {
	return &object.Writer{
		Platform:    p.Platform,
		CallTimeout: p.duration(KnobCallTimeout) / 2,
		Impatient:   true,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, p.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, p.Metrics),
	}
}

func (p *Pool) duration(key hbs.KnobKey) time.Duration {
	return p.Policy.Duration(key, hbs.Scope{Domain: p.Self.Domain})
}

func (p *Pool) inc(meter string) { metrics.GetOrRegisterCounter(meter, p.Metrics).Inc(1) }
