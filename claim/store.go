package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// Store begins, settles and collects the claims of one instance.
type Store struct {
	Platform hbs.Platform
	Self     hbs.Instance
	// Directory tells which instance of the domain collects.
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger

	once   sync.Once
	health object.Health
	budget *rate.Limiter
	// unsettled holds tickets whose request was answered before their claim was
	// settled. It is bounded; what does not fit is counted and given up.
	unsettled chan *Ticket
}

// Request is what a claim is about.
type Request struct {
	Workspace hbs.WorkspaceID
	Service   hbs.ServiceName
	// Key is the caller's idempotency key; not empty.
	Key string
	// Digest identifies the content of the request.
	Digest Digest
	// Deadline ends the request; zero when there is none.
	Deadline time.Time
}

// Run settles and collects claims until ctx ends.
func (s *Store) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "claims") }()
	s.init()
	var wg conc.WaitGroup
	for range settleWorkers {
		wg.Go(func() { s.settleDuty(ctx) })
	}
	wg.Go(func() { s.collectDuty(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Begin claims the key of req. It returns a ticket when this attempt holds the
// claim, a record when the outcome is known, else a *hornbeamstage.Refusal.
func (s *Store) Begin(ctx context.Context, req Request) (*Ticket, *Record, error) {
	s.init()
	if err := s.admit(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := s.bound(ctx, req.Deadline)
	defer cancel()
	t := s.newTicket(req)
	for {
		seen, err := t.hold(ctx)
		if err == nil {
			s.inc(meterBegun)
			return t, nil, nil
		}
		if !object.Is(err, hbs.ErrConflict) {
			return nil, nil, s.unclaimed(t, err)
		}
		record, err := s.examine(t, seen, req)
		if record != nil || err != nil {
			return nil, record, err
		}
	}
}

// examine looks at the claim that is in the way of t. It returns neither record
// nor error after preparing t for another try.
func (s *Store) examine(t *Ticket, seen hbs.Object, req Request) (*Record, error) {
	if seen.Revision == 0 {
		t.object.Revision = 0
		return nil, nil
	}
	c, err := decode(seen.Value)
	if err != nil {
		s.Log.Error("claim can't be decoded", zap.String("name", seen.Name), zap.Error(err))
		return nil, &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonInternal, Detail: "the claim can't be decoded"}
	}
	if c.takeable(time.Now()) {
		s.inc(meterTaken)
		t.object.Revision = seen.Revision
		return nil, nil
	}
	return s.judge(c, req)
}

// judge applies C8 and C9 to a claim that can't be taken over.
func (s *Store) judge(c *Claim, req Request) (*Record, error) {
	switch {
	case c.Digest != req.Digest:
		s.inc(meterMismatch)
		return nil, hbs.NotRun(hbs.ReasonClaimMismatch, "", 0)
	case c.Phase == PhaseDone:
		s.inc(meterReplayed)
		return c.Record, nil
	}
	s.inc(meterOpen)
	return nil, &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonClaimOpen, RetryAfter: retryFloor}
}

// admit applies C11.
func (s *Store) admit() error {
	if !s.health.Allow() {
		s.inc(meterRefused)
		return hbs.NotRun(hbs.ReasonNoPlatform, "", retryFloor)
	}
	if limit := s.beginLimit(); limit != s.budget.Limit() {
		s.budget.SetLimit(limit)
		s.budget.SetBurst(burst(limit))
	}
	r := s.budget.Reserve()
	wait := r.Delay()
	if wait == 0 {
		return nil
	}
	r.Cancel()
	s.inc(meterBudget)
	return hbs.NotRun(hbs.ReasonNoPlatform, "too many keyed requests at this instance", max(wait, retryFloor))
}

// unclaimed is the refusal of an attempt that could not come to hold the claim
// in time. A write of it that still takes effect leaves a held claim, which is
// freed in the background and lapses otherwise (C5).
func (s *Store) unclaimed(t *Ticket, err error) error {
	s.inc(meterRefused)
	if object.Is(err, hbs.ErrUncertain) {
		s.settleLater(t)
	}
	return hbs.NotRun(hbs.ReasonNoPlatform, "", retryFloor)
}

func (s *Store) newTicket(req Request) *Ticket {
	now := time.Now()
	return &Ticket{
		store:  s,
		object: hbs.Object{Kind: hbs.ObjectClaim, Name: Name(req.Workspace, req.Service, req.Key)},
		claim: Claim{
			Attempt:   hbs.AttemptID(rand.Text()),
			Holder:    s.Self.ID,
			Digest:    req.Digest,
			Lapses:    now.Add(s.duration(KnobHold)),
			Removable: now.Add(s.duration(KnobRetention)),
		},
	}
}

// bound limits one step to the patience of claims and the request's deadline.
func (s *Store) bound(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(s.duration(KnobPatience))
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

func (s *Store) writer(impatient bool) *object.Writer {
	return &object.Writer{
		Platform:    s.Platform,
		CallTimeout: s.duration(KnobCallTimeout),
		Health:      &s.health,
		Impatient:   impatient,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, s.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, s.Metrics),
	}
}

func (s *Store) init() {
	s.once.Do(func() {
		s.budget = rate.NewLimiter(s.beginLimit(), burst(s.beginLimit()))
		s.unsettled = make(chan *Ticket, settleQueue)
		if s.Log == nil {
			s.Log = zap.NewNop()
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

func (s *Store) beginLimit() rate.Limit { return rate.Limit(s.Policy.Number(KnobBeginRate, s.scope())) }

func burst(limit rate.Limit) int { return max(1, int(beginBurst*limit)) }

func (s *Store) scope() hbs.Scope { return hbs.Scope{Domain: s.Self.Domain} }

func (s *Store) duration(key hbs.KnobKey) time.Duration { return s.Policy.Duration(key, s.scope()) }

func (s *Store) inc(meter string) { metrics.GetOrRegisterCounter(meter, s.Metrics).Inc(1) }
