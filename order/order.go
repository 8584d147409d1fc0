// Package order sends orders to engines: to load weights or an adapter, or to change
// role.
//
// # The protocol
//
//	O1. An order carries the fencing number of the lease under which it is sent.
//	    Engines that check it refuse an order with a lower number than one they
//	    accepted before.
//	O2. The lease is checked after the connection is established, immediately
//	    before each write to it. A release of the lease waits for the write to
//	    finish and, if no answer came, for the end of the order's lifetime (rule L7
//	    of package lease).
//	O3. An order carries its expiry: one lifetime after it was created. Engines
//	    refuse it after that. The sender closes the connection by then.
//	O4. The next holder of the lease starts one lifetime after the lease has expired,
//	    or after a release (rules L3 and L7 of package lease), so that no order of
//	    the previous holder is still valid.
//	O5. An order states a desired state rather than a step, and is idempotent.
//	O6. The answer to an order is not relied on, only the state that the engine
//	    reports. The state is read after each order and in each round of the
//	    holder. If it is not the desired one, the order is sent again under the
//	    current fencing number.
//
// One race remains: the holder may be paused between the check (O2) and the write.
// An engine that checks the fencing number refuses the order once it has accepted
// one from the next holder; an engine that checks only the expiry refuses it after
// the lifetime. An engine that checks neither executes the order, and stays in a
// wrong state until the next round of the new holder reads the state and sends the
// right order again (O6). For weights that means a wrong version for one round plus
// one load. During this time the engine refuses requests that name a version with
// weights_mismatch, and the load interrupts the streams that run on the engine.
package order

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/lease"
)

// Kind is what an order asks for.
type Kind string

// The kinds of order.
const (
	KindLoadWeights Kind = "load_weights"
	KindLoadAdapter Kind = "load_adapter"
	KindSetRole     Kind = "set_role"
)

// Role is whether an engine serves requests or stands by.
type Role string

// The roles of an engine.
const (
	RoleServe   Role = "serve"
	RoleStandby Role = "standby"
)

// Errors with which an engine refuses an order.
var (
	// ErrStale means that the engine has accepted an order with a higher fencing
	// number.
	ErrStale = errors.New("order has a stale fencing number")
	// ErrExpired means that the order reached the engine after its expiry.
	ErrExpired = errors.New("order expired before it reached the engine")
)

// Order is the body of POST /orders.
type Order struct {
	// ID, Fence and NotAfter are set by Send.
	ID       string             `json:"order_id"`
	Fence    uint64             `json:"fence"`
	NotAfter time.Time          `json:"not_after"`
	Kind     Kind               `json:"kind"`
	Weights  hbs.WeightsVersion `json:"weights,omitempty"`
	Adapter  hbs.AdapterName    `json:"adapter,omitempty"`
	Role     Role               `json:"role,omitempty"`
}

// State is the body of the response to GET /state.
type State struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
	Adapters    []hbs.AdapterName  `json:"adapters"`
	Role        Role               `json:"role"`
	// Loading is the weights version being loaded, or empty.
	Loading string `json:"loading"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence"`
}

// Satisfies reports whether s is the state that o asks for.
func (s *State) Satisfies(o Order) bool {
	switch o.Kind {
	case KindLoadWeights:
		return s.Weights == o.Weights && s.Loading == ""
	case KindLoadAdapter:
		return slices.Contains(s.Adapters, o.Adapter)
	case KindSetRole:
		return s.Role == o.Role
	}
	return false
}

// Validate returns an error if the kind of o is unknown. No state satisfies such an
// order.
func (o *Order) Validate() error {
	switch o.Kind {
	case KindLoadWeights, KindLoadAdapter, KindSetRole:
		return nil
	}
	return errors.Newf("order of unknown kind %q", o.Kind)
}

// loading reports whether the engine is already loading the weights that o asks for.
func (s *State) loading(o Order) bool {
	return o.Kind == KindLoadWeights && s.Loading == string(o.Weights)
}

// Sender sends orders under the lease of its failure domain.
type Sender struct {
	Lease   *lease.Holder
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
}

// Ensure sends o and reads the state back, repeatedly, until e is in the state that
// o asks for or ctx ends (O6). It calls allowed before each order and returns its
// error, if any.
func (s *Sender) Ensure(ctx context.Context, e *hbs.Endpoint, o Order, allowed func() error) (err error) {
	defer func() { err = errors.Wrapf(err, "%s at %s", o.Kind, e.ID) }()
	if err := o.Validate(); err != nil {
		return err
	}
	sent := false
	for {
		state, err := s.State(ctx, e)
		if err == nil && state.Satisfies(o) {
			return nil
		}
		if err == nil && !state.loading(o) {
			if err := s.sendIfAllowed(ctx, e, o, allowed, sent); err != nil {
				return err
			}
			sent = true
		}
		if err := delay.For(ctx, s.Policy.Duration(KnobReadBack, hbs.Scope{Domain: e.Domain})); err != nil {
			return err
		}
	}
}

// sendIfAllowed sends o if allowed returns nil. It returns only errors that a retry
// can't resolve. sent is whether o was sent before.
func (s *Sender) sendIfAllowed(ctx context.Context, e *hbs.Endpoint, o Order, allowed func() error, sent bool) error {
	if err := allowed(); err != nil {
		return err
	}
	if sent {
		s.inc(meterRepeated)
	}
	err := s.Send(ctx, e, o)
	if errors.Is(err, lease.ErrNotHeld) || errors.Is(err, ErrStale) {
		return err
	}
	return nil
}

// Send sends o once (O1 to O3).
func (s *Sender) Send(ctx context.Context, e *hbs.Endpoint, o Order) (err error) {
	defer func() { err = errors.Wrap(err, "send order") }()
	fence, ok := s.Lease.Fence()
	if !ok {
		return lease.ErrNotHeld
	}
	lifetime := s.Policy.Duration(lease.KnobOrderLifetime, hbs.Scope{Domain: e.Domain})
	o.ID, o.Fence, o.NotAfter = rand.Text(), fence, time.Now().Add(lifetime)
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	s.inc(meterGiven)
	order := s.Lease.BeginOrder(fence, o.NotAfter)
	_, err = s.call(ctx, e.Address, http.MethodPost, "/orders", body, order.Write)
	order.End(acknowledged(err))
	s.countFailure(err)
	return err
}

// countFailure counts the outcome of an order that failed.
func (s *Sender) countFailure(err error) {
	switch {
	case err == nil:
	case errors.Is(err, lease.ErrNotHeld):
		s.inc(meterHeldBack)
	case errors.Is(err, ErrStale):
		s.inc(meterStale)
	default:
		s.inc(meterFailed)
	}
}

// State reads the state of an engine.
func (s *Sender) State(ctx context.Context, e *hbs.Endpoint) (state State, err error) {
	defer func() { err = errors.Wrapf(err, "state of %s", e.ID) }()
	ctx, cancel := context.WithTimeout(ctx, s.Policy.Duration(KnobTimeout, hbs.Scope{Domain: e.Domain}))
	defer cancel()
	data, err := s.call(ctx, e.Address, http.MethodGet, "/state", nil, Unguarded)
	if err != nil {
		return State{}, err
	}
	return state, json.Unmarshal(data, &state)
}

// call sends one request of the engine protocol and returns the response body, or
// an error if the status is not 200.
func (s *Sender) call(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, guard Guard) ([]byte, error) {
	c := Call{Network: s.Network, Address: addr, Method: method, Path: path, Body: body, Guard: guard}
	status, data, err := c.Do(ctx)
	if err != nil {
		return nil, err
	}
	return data, statusToError(status)
}

// statusError is the status of a response that has no specific error.
type statusError int

// Error implements error.
func (s statusError) Error() string { return "engine answered " + strconv.Itoa(int(s)) }

// statusToError returns the error for the status of a response, nil for 200.
func statusToError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStale
	case http.StatusGone:
		return ErrExpired
	}
	return statusError(status)
}

// acknowledged reports whether err shows that the engine answered the order, by
// accepting or refusing it.
func acknowledged(err error) bool {
	var status statusError
	return err == nil || errors.Is(err, ErrStale) || errors.Is(err, ErrExpired) || errors.As(err, &status)
}

func (s *Sender) inc(name string) { metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1) }
