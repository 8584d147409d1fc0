package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// settleLater hands t to the settling duty. The caller owns t and does not use it
// any more.
func (s *Store) settleLater(t *Ticket) {
	t.giveUp = time.Now().Add(s.duration(KnobSettle))
	select {
	case s.unsettled <- t:
	default:
		s.inc(meterDropped)
	}
}

// settleDuty settles queued tickets. After ctx ended it gives what is queued one
// more try each.
func (s *Store) settleDuty(ctx context.Context) {
	for {
		select {
		case t := <-s.unsettled:
			s.settleUntil(ctx, t)
		case <-ctx.Done():
			s.settleRest(ctx)
			return
		}
	}
}

func (s *Store) settleRest(ctx context.Context) {
	last, cancel := s.bound(context.WithoutCancel(ctx), time.Time{})
	defer cancel()
	for {
		select {
		case t := <-s.unsettled:
			s.settleUntil(last, t)
		default:
			return
		}
	}
}

func (s *Store) settleUntil(ctx context.Context, t *Ticket) {
	ctx, cancel := context.WithDeadline(ctx, t.giveUp)
	defer cancel()
	err := t.settle(ctx, false)
	if err != nil && !object.Is(err, hbs.ErrConflict) {
		s.inc(meterUnsettled)
		s.Log.Warn("claim given up unsettled", zap.String("name", t.object.Name), zap.Error(err))
	}
}

// collectDuty removes claims by C10 while this instance is its domain's collector.
func (s *Store) collectDuty(ctx context.Context) {
	for {
		interval := s.duration(KnobCollect)
		if delay.For(ctx, interval/2+rand.N(interval)) != nil {
			return
		}
		if err := s.Collect(ctx); err != nil && ctx.Err() == nil {
			s.Log.Debug("claims not collected", zap.Error(err))
		}
	}
}

// collectors returns the domains that have live instances and the collector of
// this instance's domain.
func (s *Store) collectors() ([]hbs.DomainName, hbs.InstanceID) {
	var domains []hbs.DomainName
	var peers []hbs.InstanceID
	seen := map[hbs.DomainName]bool{}
	for _, i := range s.Directory.Roster().Instances {
		if i.State == hbs.InstanceLeaving {
			continue
		}
		if !seen[i.Domain] {
			seen[i.Domain] = true
			domains = append(domains, i.Domain)
		}
		if i.Domain == s.Self.Domain {
			peers = append(peers, i.ID)
		}
	}
	return domains, pick(string(s.Self.Domain), peers)
}

// pick chooses one of choices for name by rendezvous hashing.
func pick[T ~string](name string, choices []T) (best T) {
	var top uint64
	for _, c := range choices {
		if h := xxhash.Sum64String(name + "/" + string(c)); h >= top {
			top, best = h, c
		}
	}
	return best
}
