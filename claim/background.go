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

// settleInBackground queues t for settleLoop. The caller must not use t
// afterwards.
func (s *Store) settleInBackground(t *Ticket) {
	t.settleDeadline = time.Now().Add(s.duration(KnobSettleTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settleEnded {
		s.dropTicket(t)
		return
	}
	select {
	case s.settleQueue <- t:
	default:
		s.dropTicket(t)
	}
}

// endSettling drops the tickets that are still queued, and those that come later.
func (s *Store) endSettling() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleEnded = true
	for {
		select {
		case t := <-s.settleQueue:
			s.dropTicket(t)
		default:
			return
		}
	}
}

// dropTicket counts a claim that this instance will not settle.
func (s *Store) dropTicket(t *Ticket) {
	s.inc(meterSettleDropped)
	s.Log.Warn("claim not settled; its key may stay unknown until the retention ends", zap.String("name", t.object.Name))
}

// settleLoop settles queued tickets. When ctx ends it tries each ticket that is
// still queued once more.
func (s *Store) settleLoop(ctx context.Context) {
	for {
		select {
		case t := <-s.settleQueue:
			s.settleQueued(ctx, t)
		case <-ctx.Done():
			s.settleRemaining(ctx)
			return
		}
	}
}

// settleRemaining settles the queued tickets within one step timeout in total.
func (s *Store) settleRemaining(ctx context.Context) {
	last, cancel := s.withStepTimeout(context.WithoutCancel(ctx), time.Time{})
	defer cancel()
	for {
		select {
		case t := <-s.settleQueue:
			s.settleQueued(last, t)
		default:
			return
		}
	}
}

// settleQueued settles t by its deadline or gives up.
func (s *Store) settleQueued(ctx context.Context, t *Ticket) {
	ctx, cancel := context.WithDeadline(ctx, t.settleDeadline)
	defer cancel()
	err := t.settle(ctx, false)
	if err != nil && !object.Is(err, hbs.ErrConflict) {
		s.inc(meterUnsettled)
		s.Log.Warn("gave up settling claim; its key may stay unknown until the retention ends", zap.String("name", t.object.Name), zap.Error(err))
	}
}

// collectLoop runs Collect at jittered intervals until ctx ends.
func (s *Store) collectLoop(ctx context.Context) {
	for {
		interval := s.duration(KnobCollectInterval)
		if delay.For(ctx, interval/2+rand.N(interval)) != nil {
			return
		}
		if err := s.Collect(ctx); err != nil && ctx.Err() == nil {
			s.Log.Debug("garbage collection of claims failed", zap.Error(err))
		}
	}
}

// domainsAndCollector returns the failure domains of all instances that are not
// leaving, and the instance that collects claims for this instance's domain.
func (s *Store) domainsAndCollector() ([]hbs.DomainName, hbs.InstanceID) {
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
	return domains, rendezvous(string(s.Self.Domain), peers)
}

// rendezvous assigns name to one of choices by rendezvous hashing.
func rendezvous[T ~string](name string, choices []T) (best T) {
	var maxHash uint64
	for _, c := range choices {
		if h := xxhash.Sum64String(name + "/" + string(c)); h >= maxHash {
			maxHash, best = h, c
		}
	}
	return best
}
