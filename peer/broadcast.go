package peer

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// forwardBacklog bounds the queue of pushes to forward.
const forwardBacklog = 256

// Tree pushes updates down a tree of instances (rule 4).
type Tree struct {
	// Fanout is the maximum number of children of an instance; at least 1.
	Fanout int
	// Send sends a push to an instance and returns nil if it was acknowledged. It
	// is called concurrently.
	Send func(ctx context.Context, to hbs.InstanceID, p *Push) error
}

// Broadcast sends updates to the instances of group. It returns once an
// instance of each subgroup has acknowledged or all of them failed. failed is
// the number of instances that did not acknowledge.
func (t *Tree) Broadcast(ctx context.Context, updates []mirror.Update, group []hbs.InstanceID) (failed int) {
	sends := pool.NewWithResults[int]()
	for _, subgroup := range split(group, t.Fanout) {
		sends.Go(func() int { return t.sendToGroup(ctx, updates, subgroup) })
	}
	for _, n := range sends.Wait() {
		failed += n
	}
	return failed
}

// sendToGroup sends updates to the instances of subgroup in order until one
// acknowledges, and delegates the instances after it to that one.
func (t *Tree) sendToGroup(ctx context.Context, updates []mirror.Update, subgroup []hbs.InstanceID) (failed int) {
	for i, id := range subgroup {
		err := t.Send(ctx, id, &Push{Updates: updates, Group: subgroup[i+1:]})
		if err == nil || ctx.Err() != nil {
			return failed
		}
		failed++
	}
	return failed
}

// split divides ids into at most n groups of about equal size.
func split(ids []hbs.InstanceID, n int) [][]hbs.InstanceID {
	if len(ids) == 0 {
		return nil
	}
	size := (len(ids) + n - 1) / n
	return slices.Collect(slices.Chunk(ids, size))
}

// maxConcurrentForwards bounds the number of pushes forwarded concurrently.
const maxConcurrentForwards = 8

// runForwards forwards the queued pushes.
func (s *Server) runForwards(ctx context.Context) error {
	workers := pool.New().WithMaxGoroutines(maxConcurrentForwards)
	defer workers.Wait()
	for {
		select {
		case p := <-s.forwardQueue:
			workers.Go(func() { s.forward(ctx, p) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) forward(ctx context.Context, p Push) {
	t := Tree{Fanout: int(s.Policy.Number(KnobFanout, hbs.Scope{})), Send: s.sendPush}
	if failed := t.Broadcast(ctx, p.Updates, p.Group); failed > 0 {
		s.counter(meterAdoptions).Inc(int64(failed))
	}
}

func (s *Server) sendPush(ctx context.Context, to hbs.InstanceID, p *Push) error {
	addr, ok := s.members.address(to)
	if !ok {
		return errors.Newf("instance %q is not known", to)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Policy.Duration(KnobPushTimeout, hbs.Scope{}))
	defer cancel()
	return s.conns.call(ctx, addr, methodPush, p, &Ack{})
}
