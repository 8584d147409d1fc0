package peer

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// spreadBacklog bounds the pushes that wait to be passed on.
const spreadBacklog = 256

// Tree passes updates down a tree of instances (rule 4).
type Tree struct {
	// Fanout is the number of groups that one instance serves; at least 1.
	Fanout int
	// Send hands a push to an instance and returns nil once it was
	// acknowledged. It is called from several goroutines.
	Send func(ctx context.Context, to hbs.InstanceID, p *Push) error
}

// Spread sends updates to the instances of group. It returns when each group's
// first live instance has acknowledged, and the number of instances that were
// passed over because they did not.
func (t *Tree) Spread(ctx context.Context, updates []mirror.Update, group []hbs.InstanceID) (failed int) {
	sends := pool.NewWithResults[int]()
	for _, part := range split(group, t.Fanout) {
		sends.Go(func() int { return t.adopt(ctx, updates, part) })
	}
	for _, n := range sends.Wait() {
		failed += n
	}
	return failed
}

// adopt sends to the first of part that acknowledges and leaves the rest of
// part to it.
func (t *Tree) adopt(ctx context.Context, updates []mirror.Update, part []hbs.InstanceID) (failed int) {
	for i, id := range part {
		err := t.Send(ctx, id, &Push{Updates: updates, Group: part[i+1:]})
		if err == nil || ctx.Err() != nil {
			return failed
		}
		failed++
	}
	return failed
}

// split cuts ids into at most n groups of about the same size.
func split(ids []hbs.InstanceID, n int) [][]hbs.InstanceID {
	if len(ids) == 0 {
		return nil
	}
	size := (len(ids) + n - 1) / n
	return slices.Collect(slices.Chunk(ids, size))
}

// maxForwards bounds the pushes that are passed on at the same time.
const maxForwards = 8

// spreadDuty passes pushes on.
func (s *Server) spreadDuty(ctx context.Context) error {
	forwards := pool.New().WithMaxGoroutines(maxForwards)
	defer forwards.Wait()
	for {
		select {
		case p := <-s.forwards:
			forwards.Go(func() { s.forward(ctx, p) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) forward(ctx context.Context, p Push) {
	t := Tree{Fanout: int(s.Policy.Number(KnobFanout, hbs.Scope{})), Send: s.sendPush}
	if failed := t.Spread(ctx, p.Updates, p.Group); failed > 0 {
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
