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

// Store begins, settles and removes the claims of one instance. To settle a
// claim is to bring it to its final phase, done or free.
type Store struct {
	Platform hbs.Platform
	Self     hbs.Instance
	// Directory lists the instances, of which one in each failure domain removes
	// claims.
	Directory hbs.Directory
	Policy    hbs.Policy
	Metrics   metrics.Registry
	Log       *zap.Logger

	once   sync.Once
	health object.Health
	budget *rate.Limiter
	// settleQueue holds tickets whose request was answered before their claim
	// was settled. Tickets that don't fit, or come after Run, are counted and
	// dropped.
	settleQueue chan *Ticket

	mu sync.Mutex
	// settleEnded is set when nothing takes tickets from settleQueue any more.
	settleEnded bool
}

// Request identifies a request of class once.
type Request struct {
	Workspace hbs.WorkspaceID
	Service   hbs.ServiceName
	// Key is the caller's idempotency key; not empty.
	Key string
	// Digest identifies the content of the request.
	Digest Digest
	// Deadline is when the request times out; zero if there is no deadline.
	Deadline time.Time
}

// Run settles and removes claims in the background until ctx ends.
func (s *Store) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run claim store") }()
	s.init()
	var wg conc.WaitGroup
	for range settleWorkers {
		wg.Go(func() { s.settleLoop(ctx) })
	}
	wg.Go(func() { s.collectLoop(ctx) })
	wg.Wait()
	s.endSettling()
	return ctx.Err()
}

// Begin claims the key of req. It returns a ticket if the new attempt holds the
// claim, a record if the outcome is already known, else a
// *hornbeamstage.Refusal.
func (s *Store) Begin(ctx context.Context, req Request) (*Ticket, *Record, error) {
	s.init()
	if err := s.admit(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := s.withStepTimeout(ctx, req.Deadline)
	defer cancel()
	t := s.newTicket(req)
	for {
		existing, err := t.acquire(ctx)
		if err == nil {
			s.inc(meterBegun)
			return t, nil, nil
		}
		if !object.Is(err, hbs.ErrConflict) {
			return nil, nil, s.beginFailed(t, err)
		}
		record, err := s.checkExisting(t, existing, req)
		if record != nil || err != nil {
			return nil, record, err
		}
	}
}

// checkExisting handles the claim that t conflicts with. It returns neither a
// record nor an error if t is to try again, on the revision of the existing
// claim.
func (s *Store) checkExisting(t *Ticket, existing hbs.Object, req Request) (*Record, error) {
	if existing.Revision == 0 {
		t.object.Revision = 0
		return nil, nil
	}
	c, err := decode(existing.Value)
	if err != nil {
		s.Log.Error("stored claim can't be decoded", zap.String("name", existing.Name), zap.Error(err))
		return nil, &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonInternal, Detail: "the claim can't be decoded"}
	}
	if c.canTakeOver(time.Now()) {
		s.inc(meterTakenOver)
		t.object.Revision = existing.Revision
		return nil, nil
	}
	return s.resolveExisting(c, req)
}

// resolveExisting returns the record or refusal for a request whose claim can't
// be taken over (C8, C9).
func (s *Store) resolveExisting(c *Claim, req Request) (*Record, error) {
	switch {
	case c.Digest != req.Digest:
		s.inc(meterMismatch)
		return nil, hbs.NotRun(hbs.ReasonClaimMismatch, "", 0)
	case c.Phase == PhaseDone:
		s.inc(meterReplayed)
		return c.Record, nil
	}
	s.inc(meterOpen)
	return nil, &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonClaimOpen, RetryAfter: minRetryAfter}
}

// admit refuses requests during an outage of the platform or beyond the write
// budget (C11).
func (s *Store) admit() error {
	if !s.health.Allow() {
		s.inc(meterRefusedPlatform)
		return hbs.NotRun(hbs.ReasonNoPlatform, "", minRetryAfter)
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
	s.inc(meterRefusedBudget)
	return hbs.NotRun(hbs.ReasonNoPlatform, "too many keyed requests at this instance", max(wait, minRetryAfter))
}

// beginFailed returns the refusal for an attempt that could not hold the claim
// in time. If one of its writes may still take effect, the resulting held claim
// is freed in the background; if that fails, it expires (C5).
func (s *Store) beginFailed(t *Ticket, err error) error {
	s.inc(meterRefusedPlatform)
	if object.Is(err, hbs.ErrUncertain) {
		s.settleInBackground(t)
	}
	return hbs.NotRun(hbs.ReasonNoPlatform, "", minRetryAfter)
}

func (s *Store) newTicket(req Request) *Ticket {
	now := time.Now()
	return &Ticket{
		store:  s,
		object: hbs.Object{Kind: hbs.ObjectClaim, Name: Name(req.Workspace, req.Service, req.Key)},
		claim: Claim{
			Attempt:     hbs.AttemptID(rand.Text()),
			Holder:      s.Self.ID,
			Digest:      req.Digest,
			ExpiresAt:   now.Add(s.duration(KnobHoldDuration)),
			RemovableAt: now.Add(s.duration(KnobRetention)),
		},
	}
}

// withStepTimeout limits one step of the protocol to claim.patience and to
// deadline, unless that is zero.
func (s *Store) withStepTimeout(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(s.duration(KnobStepTimeout))
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

// writer returns a writer for claim objects. With failFast it stops retrying as
// soon as an outage of the platform is detected.
func (s *Store) writer(failFast bool) *object.Writer {
	return &object.Writer{
		Platform:    s.Platform,
		CallTimeout: s.duration(KnobCallTimeout),
		Health:      &s.health,
		FailFast:    failFast,
		Writes:      metrics.GetOrRegisterCounter(meterWrites, s.Metrics),
		Reads:       metrics.GetOrRegisterCounter(meterReads, s.Metrics),
	}
}

func (s *Store) init() {
	s.once.Do(func() {
		s.budget = rate.NewLimiter(s.beginLimit(), burst(s.beginLimit()))
		s.settleQueue = make(chan *Ticket, settleQueueSize)
		if s.Log == nil {
			s.Log = zap.NewNop()
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

func (s *Store) beginLimit() rate.Limit { return rate.Limit(s.Policy.Number(KnobBeginRate, s.scope())) }

func burst(limit rate.Limit) int { return max(1, int(beginBurstSeconds*limit)) }

func (s *Store) scope() hbs.Scope { return hbs.Scope{Domain: s.Self.Domain} }

func (s *Store) duration(key hbs.KnobKey) time.Duration { return s.Policy.Duration(key, s.scope()) }

func (s *Store) inc(meter string) { metrics.GetOrRegisterCounter(meter, s.Metrics).Inc(1) }
