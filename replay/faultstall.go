package replay

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/claim"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/lease"
)

// Holding is what an instance may hold in the platform's store.
type Holding string

// The objects that a stall can wait for.
const (
	// HoldsLease: the instance holds the lease of its failure domain.
	HoldsLease Holding = "lease"
	// HoldsClaim: the instance has claimed a request and not dispatched it yet.
	HoldsClaim Holding = "claim"
)

const (
	// holderWait limits the wait for an instance that holds what is asked for.
	holderWait = 15 * time.Second
	holderPoll = time.Millisecond
)

// stallPeriod is a period in which an instance was frozen or its traffic held.
type stallPeriod struct{ from, to time.Time }

// stall freezes instances that run as separate processes. Of others it can only
// hold the network traffic: as their timers continue, this shows the effect of late
// messages, but not that of a process that stops between two steps.
func (r *Replay) stall(ctx context.Context, f Fault) error {
	affected, err := r.pauseHolders(ctx, f)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	for in, resume := range affected {
		wg.Go(func() {
			from := time.Now()
			in.addStall(stallPeriod{from, from.Add(f.duration())})
			_ = delay.For(ctx, f.duration())
			resume()
		})
	}
	wg.Wait()
	return nil
}

// pauseHolders pauses instances that hold what the fault asks for, as soon as there
// are any. An instance that released it just before the pause is resumed.
func (r *Replay) pauseHolders(ctx context.Context, f Fault) (affected map[*instance]func(), err error) {
	affected = map[*instance]func(){}
	for end := time.Now().Add(holderWait); ; {
		for _, in := range r.targetHolders(f) {
			resume, err := in.pause()
			if errors.Is(err, os.ErrProcessDone) {
				continue // killed, but what it held has not expired yet
			}
			if err != nil {
				return nil, err
			}
			if f.Holds != "" && !r.holdersOf(f.Holds)[in.id] {
				resume()
				continue
			}
			affected[in] = resume
		}
		switch {
		case len(affected) > 0:
			return affected, nil
		case f.Holds == "" || ctx.Err() != nil || time.Now().After(end):
			return nil, errNoTarget
		}
		_ = delay.For(ctx, holderPoll)
	}
}

// pause freezes the current incarnation, or holds its traffic, until resume.
func (in *instance) pause() (resume func(), err error) {
	in.mu.Lock()
	node := in.current.node
	in.mu.Unlock()
	if node.Pause != nil {
		// A process that was killed meanwhile needs no resuming.
		return func() { _ = node.Resume() }, node.Pause()
	}
	net := in.fleet.net
	if !net.hold(in.id) {
		return nil, errors.New("this fault needs --clock virtual or --processes")
	}
	return func() { net.release(in.id) }, nil
}

// targetHolders returns the targets that hold what the fault asks for.
func (r *Replay) targetHolders(f Fault) (found []*instance) {
	holds := r.holdersOf(f.Holds)
	left := f.limit()
	for _, in := range r.fleet.instances {
		if (f.Holds == "" || holds[in.id]) && f.matches(string(in.id), &left) {
			found = append(found, in)
		}
	}
	return found
}

// holdersOf returns the instances that hold what. Expired claims don't count.
func (r *Replay) holdersOf(what Holding) map[hbs.InstanceID]bool {
	found := map[hbs.InstanceID]bool{}
	switch what {
	case HoldsLease:
		for _, v := range r.fleet.platform.PeekAll(hbs.ObjectLease) {
			var l lease.Lease
			r.fleet.must(json.Unmarshal(v, &l))
			found[l.Holder] = true
		}
	case HoldsClaim:
		for _, v := range r.fleet.platform.PeekAll(hbs.ObjectClaim) {
			var c claim.Claim
			r.fleet.must(json.Unmarshal(v, &c))
			if c.Phase == claim.PhaseHeld && c.ExpiresAt.After(time.Now()) {
				found[c.Holder] = true
			}
		}
	}
	return found
}

func (in *instance) addStall(s stallPeriod) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stalls = append(in.stalls, s)
}

// stalledUntil returns the end of the last recorded stall that overlaps the period.
// ok is false if there is none.
func (in *instance) stalledUntil(from, to time.Time) (end time.Time, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, s := range in.stalls {
		if s.from.Before(to) && s.to.After(from) {
			end, ok = s.to, true
		}
	}
	return end, ok
}
