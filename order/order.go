// Package order gives orders to engines: load weights or an adapter, change role,
// warm prefixes.
//
// # The protocol
//
//	O1. Orders carry the fencing number of the lease under which they are given.
//	    Engines that check it refuse an order that is older than one they took.
//	O2. The grant is checked right before the first byte of an order is written
//	    to the connection, after the connection was made. A release of the lease
//	    waits for the write, and for the order's lifetime if no answer came (rule
//	    L7 of package lease).
//	O3. An order says until when it is valid: one lifetime after it was written
//	    up. Engines refuse it later. The connection is closed by then.
//	O4. The next holder of the lease starts a lifetime after the lapse, or after a
//	    release (rules L3 and L7 of package lease), so that no order of the last
//	    one is still valid.
//	O5. An order states a wanted end, not a step, and giving it twice is harmless.
//	O6. No answer to an order counts. What the engine reports of its state does:
//	    it is read after each order and in each round of the holder, and a state
//	    that is not the wanted one is ordered again under the current number.
//
// What remains possible: the holder is paused between the check (O2) and the
// write. An engine that checks the number refuses the order once the next holder
// gave one; an engine that checks only the time refuses it after the lifetime. An
// engine that checks neither carries it out, and is then in a state that nobody
// wants until the next round of the new holder reads it and orders the wanted
// state again (O6). For weights this is a wrong version for a round and a load,
// during which requests that name a version are refused by the engine with
// weights_mismatch, and streams that run there are cut by the load.
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

// Role is what an engine does with its capacity.
type Role string

// The roles of an engine.
const (
	RoleServe   Role = "serve"
	RoleStandby Role = "standby"
)

// Errors of an order.
var (
	// ErrStale: the engine took an order with a higher fencing number.
	ErrStale = errors.New("order has an old fencing number")
	// ErrExpired: the order reached the engine after its lifetime.
	ErrExpired = errors.New("order expired on the way")
)

// Order is the body of POST /orders.
type Order struct {
	ID string `json:"order_id"`
	// Fence and NotAfter are set by Give.
	Fence    uint64             `json:"fence"`
	NotAfter time.Time          `json:"not_after"`
	Kind     Kind               `json:"kind"`
	Weights  hbs.WeightsVersion `json:"weights,omitempty"`
	Adapter  hbs.AdapterName    `json:"adapter,omitempty"`
	Role     Role               `json:"role,omitempty"`
}

// State is the answer of GET /state.
type State struct {
	Incarnation hbs.Incarnation    `json:"incarnation"`
	Weights     hbs.WeightsVersion `json:"weights"`
	Adapters    []hbs.AdapterName  `json:"adapters"`
	Role        Role               `json:"role"`
	// Loading is the version being loaded; empty when none is.
	Loading string `json:"loading"`
	Fence   uint64 `json:"fence"`
}

// Reached reports whether s is the end that o wants.
func (s *State) Reached(o Order) bool {
	switch o.Kind {
	case KindLoadWeights:
		return s.Weights == o.Weights && s.Loading == ""
	case KindLoadAdapter:
		return slices.Contains(s.Adapters, o.Adapter)
	case KindSetRole:
		return s.Role == o.Role
	}
	return true
}

// underWay reports whether the engine is on its way to the end that o wants.
func (s *State) underWay(o Order) bool {
	return o.Kind == KindLoadWeights && s.Loading == string(o.Weights)
}

// Giver gives orders under the lease of its domain.
type Giver struct {
	Lease   *lease.Keeper
	Network hbs.Network
	Policy  hbs.Policy
	Metrics metrics.Registry
}

// Ensure orders and reads back until e is in the state that o wants or ctx ends
// (O6). Before each order may is asked; its error ends Ensure.
func (g *Giver) Ensure(ctx context.Context, e *hbs.Endpoint, o Order, may func() error) (err error) {
	defer func() { err = errors.Wrapf(err, "%s at %s", o.Kind, e.ID) }()
	given := false
	for {
		s, err := g.State(ctx, e)
		if err == nil && s.Reached(o) {
			return nil
		}
		if err == nil && !s.underWay(o) {
			if err := g.again(ctx, e, o, may, given); err != nil {
				return err
			}
			given = true
		}
		if err := delay.For(ctx, g.Policy.Duration(KnobReadBack, hbs.Scope{Domain: e.Domain})); err != nil {
			return err
		}
	}
}

// again gives o. Only an error that the next try can't mend is returned.
func (g *Giver) again(ctx context.Context, e *hbs.Endpoint, o Order, may func() error, given bool) error {
	if err := may(); err != nil {
		return err
	}
	if given {
		g.inc(meterRepeated)
	}
	err := g.Give(ctx, e, o)
	if errors.Is(err, lease.ErrNotHeld) || errors.Is(err, ErrStale) {
		return err
	}
	return nil
}

// Give sends one order (O1 to O3).
func (g *Giver) Give(ctx context.Context, e *hbs.Endpoint, o Order) (err error) {
	defer func() { err = errors.Wrap(err, "give order") }()
	fence, ok := g.Lease.Fence()
	if !ok {
		return lease.ErrNotHeld
	}
	lifetime := g.Policy.Duration(lease.KnobOrderLifetime, hbs.Scope{Domain: e.Domain})
	o.ID, o.Fence, o.NotAfter = rand.Text(), fence, time.Now().Add(lifetime)
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	g.inc(meterGiven)
	use := g.Lease.Use(fence, o.NotAfter)
	_, err = g.call(ctx, e.Address, http.MethodPost, "/orders", body, use.Write)
	use.End(answered(err))
	g.countRefusal(err)
	return err
}

func (g *Giver) countRefusal(err error) {
	switch {
	case err == nil:
	case errors.Is(err, lease.ErrNotHeld):
		g.inc(meterHeldBack)
	case errors.Is(err, ErrStale):
		g.inc(meterStale)
	default:
		g.inc(meterFailed)
	}
}

// State reads the state of an engine.
func (g *Giver) State(ctx context.Context, e *hbs.Endpoint) (s State, err error) {
	defer func() { err = errors.Wrapf(err, "state of %s", e.ID) }()
	ctx, cancel := context.WithTimeout(ctx, g.Policy.Duration(KnobTimeout, hbs.Scope{Domain: e.Domain}))
	defer cancel()
	data, err := g.call(ctx, e.Address, http.MethodGet, "/state", nil, Unguarded)
	if err != nil {
		return State{}, err
	}
	return s, json.Unmarshal(data, &s)
}

// call makes one request of this package's own protocol.
func (g *Giver) call(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, guard Guard) ([]byte, error) {
	c := Call{Network: g.Network, Address: addr, Method: method, Path: path, Body: body, Guard: guard}
	status, data, err := c.Do(ctx)
	if err != nil {
		return nil, err
	}
	return data, verdict(status)
}

// statusError is an answer other than 200 that has no error of its own.
type statusError int

// Error implements error.
func (s statusError) Error() string { return "engine answered " + strconv.Itoa(int(s)) }

func verdict(status int) error {
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

// answered reports whether the engine has taken or refused the order.
func answered(err error) bool {
	var status statusError
	return err == nil || errors.Is(err, ErrStale) || errors.Is(err, ErrExpired) || errors.As(err, &status)
}

func (g *Giver) inc(meter string) { metrics.GetOrRegisterCounter(meter, g.Metrics).Inc(1) }
