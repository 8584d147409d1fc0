package platform

import (
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// faults holds the injected faults. It is guarded by the platform's mutex.
type faults struct {
	outageUntil time.Time
	extraDelay  time.Duration
	slowUntil   time.Time
	lostShare   float64
	lostUntil   time.Time
}

// activeFaults holds the faults that apply to a call at the present time.
type activeFaults struct {
	outage bool
	slow   time.Duration
}

func (f *faults) active() (p activeFaults) {
	t := time.Now()
	p.outage = t.Before(f.outageUntil)
	if t.Before(f.slowUntil) {
		p.slow = f.extraDelay
	}
	return p
}

// Outage aborts the connection of every call and watch for the next d. Calls made
// in that time have no effect.
func (p *Platform) Outage(d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.outageUntil = time.Now().Add(d)
}

// Slow adds extra to the duration of every call for the next d.
func (p *Platform) Slow(extra, d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.extraDelay = extra
	p.faults.slowUntil = time.Now().Add(d)
}

// LoseAnswers aborts, for the next d, the connections of write calls with the
// probability share, after the write took effect.
func (p *Platform) LoseAnswers(share float64, d time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.lostShare = share
	p.faults.lostUntil = time.Now().Add(d)
}

// answerLost reports whether the answer to c is to be dropped.
func (p *Platform) answerLost(c call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.verb.writes() || !time.Now().Before(p.faults.lostUntil) {
		return false
	}
	return p.rng.Float64() < p.faults.lostShare
}

// SetEndpointState stores the record e with the state s.
func (p *Platform) SetEndpointState(e hbs.Endpoint, s hbs.EndpointState) error {
	e.State = s
	return p.Put(hbs.ObjectEndpoint, string(e.ID), e)
}
