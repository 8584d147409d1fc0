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

// Holding is what an instance holds in the platform.
type Holding string

// What a stall can wait for.
const (
	// HoldsLease: the instance holds its domain's lease.
	HoldsLease Holding = "lease"
	// HoldsClaim: the instance claimed a request and has not dispatched it.
	HoldsClaim Holding = "claim"
)

// Times of a stall.
const (
	// holderWait bounds the wait for an instance that holds what is asked for.
	holderWait = 15 * time.Second
	holderPoll = time.Millisecond
)

// stalled is a time in which all bytes of an instance were held.
type stalled struct{ from, to time.Time }

// stall freezes instances that are processes of their own. Of others it holds the
// bytes: their timers go on, so that it shows what late bytes do, and not what a
// process does that stops between two steps.
func (r *Replay) stall(ctx context.Context, f Fault) error {
	struck, err := r.catch(ctx, f)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	for in, resume := range struck {
		wg.Go(func() {
			from := time.Now()
			in.noteStall(stalled{from, from.Add(f.duration())})
			_ = delay.For(ctx, f.duration())
			resume()
		})
	}
	wg.Wait()
	return nil
}

// catch pauses instances that hold what the fault asks for, as soon as there are
// any. One that went on between the look and its pause is let go again.
func (r *Replay) catch(ctx context.Context, f Fault) (struck map[*instance]func(), err error) {
	struck = map[*instance]func(){}
	for end := time.Now().Add(holderWait); ; {
		for _, in := range r.holders(f) {
			resume, err := in.pause()
			if errors.Is(err, os.ErrProcessDone) {
				continue // killed, and what it held has not lapsed yet
			}
			if err != nil {
				return nil, err
			}
			if f.Holds != "" && !r.holding(f.Holds)[in.id] {
				resume()
				continue
			}
			struck[in] = resume
		}
		switch {
		case len(struck) > 0:
			return struck, nil
		case f.Holds == "" || ctx.Err() != nil || time.Now().After(end):
			return nil, errNoTarget
		}
		_ = delay.For(ctx, holderPoll)
	}
}

// pause freezes the present life of in, or holds its bytes, until resume.
func (in *instance) pause() (resume func(), err error) {
	in.mu.Lock()
	node := in.life.node
	in.mu.Unlock()
	if node.Pause != nil {
		// A process that was killed meanwhile needs no resuming.
		return func() { _ = node.Resume() }, node.Pause()
	}
	net := in.fleet.net
	if !net.hold(in.id) {
		return nil, errors.New("needs the virtual clock, or --processes")
	}
	return func() { net.release(in.id) }, nil
}

// holders returns the targets that hold what the fault asks for.
func (r *Replay) holders(f Fault) (found []*instance) {
	holds := r.holding(f.Holds)
	left := f.limit()
	for _, in := range r.fleet.instances {
		if (f.Holds == "" || holds[in.id]) && f.matches(string(in.id), &left) {
			found = append(found, in)
		}
	}
	return found
}

// holding returns the instances that hold what. A claim that has lapsed is held by
// nobody.
func (r *Replay) holding(what Holding) map[hbs.InstanceID]bool {
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

func (in *instance) noteStall(s stalled) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stalls = append(in.stalls, s)
}

// stalledUntil returns the end of the last stall that overlaps a time; ok is
// false when there is none.
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
