package platform

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// faults are guarded by the platform's mutex.
type faults struct {
	outageUntil time.Time
	slow        time.Duration
	slowUntil   time.Time
	lostShare   float64
	lostUntil   time.Time
}

// present is what disturbs a call now.
type present struct {
	outage bool
	slow   time.Duration
}

func (f *faults) now() (p present) {
	t := time.Now()
	p.outage = t.Before(f.outageUntil)
	if t.Before(f.slowUntil) {
		p.slow = f.slow
	}
	return p
}

// Outage cuts the connection of every call and watch for d; nothing is applied.
func (p *Platform) Outage(d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.outageUntil = time.Now().Add(d)
}

// Slow adds extra to the time of every call for d.
func (p *Platform) Slow(extra, d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.slow = extra
	p.faults.slowUntil = time.Now().Add(d)
}

// LoseAnswers cuts the connection of a share of the writes for d, after they
// took effect.
func (p *Platform) LoseAnswers(share float64, d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.lostShare = share
	p.faults.lostUntil = time.Now().Add(d)
}

// lost reports whether the answer of c is lost.
func (p *Platform) lost(c call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.verb.writes() || !time.Now().Before(p.faults.lostUntil) {
		return false
	}
	return p.rng.Float64() < p.faults.lostShare
}

// SetEndpointState rewrites the state of an endpoint's record.
func (p *Platform) SetEndpointState(e hbs.Endpoint, s hbs.EndpointState) error {
	e.State = s
	return p.Put(hbs.ObjectEndpoint, string(e.ID), e)
}
