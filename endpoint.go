package hornbeamstage

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// EndpointKind tells engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// EndpointState is the platform's word on an endpoint's life.
type EndpointState string

// The states of an endpoint.
const (
	// StateLive endpoints take new work.
	StateLive EndpointState = "live"
	// StateDraining endpoints finish what they have; an operator or a rollout
	// asked for it and may take it back.
	StateDraining EndpointState = "draining"
	// StateLeaving endpoints finish what they have and go away.
	StateLeaving EndpointState = "leaving"
	// StateSuspect endpoints failed in-band and are probed; they take no new
	// work. Only rosters have it, never the platform's list.
	StateSuspect EndpointState = "suspect"
)

// Capabilities says which extensions an endpoint implements. A missing
// extension is never assumed; docs/protocols.md tells what happens without it.
type Capabilities struct {
	// Priority: the engine orders its queue by the request's priority field.
	Priority bool `json:"priority,omitempty" toml:"priority" cbor:"1,keyasint,omitempty"`
	// Resume: a broken stream can be continued at a sequence number.
	Resume bool `json:"resume,omitempty" toml:"resume" cbor:"2,keyasint,omitempty"`
	// CachedTokens: usage reports how many prompt tokens were cached.
	CachedTokens bool `json:"cached_tokens,omitempty" toml:"cached_tokens" cbor:"3,keyasint,omitempty"`
	// CacheEvents: the engine publishes stored and evicted prefixes.
	CacheEvents bool `json:"cache_events,omitempty" toml:"cache_events" cbor:"4,keyasint,omitempty"`
	// LoadReports: the engine reports its load.
	LoadReports bool `json:"load_reports,omitempty" toml:"load_reports" cbor:"5,keyasint,omitempty"`
	// ChecksFence: orders with an old fencing number are refused.
	ChecksFence bool `json:"checks_fence,omitempty" toml:"checks_fence" cbor:"6,keyasint,omitempty"`
	// KVTransfer: the engine exports KV cache to the store and imports it.
	KVTransfer bool `json:"kv_transfer,omitempty" toml:"kv_transfer" cbor:"7,keyasint,omitempty"`
	// EchoesAttempt: answers carry the id of the attempt they belong to.
	EchoesAttempt bool `json:"echoes_attempt,omitempty" toml:"echoes_attempt" cbor:"8,keyasint,omitempty"`
	// Deduplicates: a plain service honours an idempotency key itself.
	Deduplicates bool `json:"deduplicates,omitempty" toml:"deduplicates" cbor:"9,keyasint,omitempty"`
}

// Rollout is how an engine's weights stand to the newest ones of its model.
type Rollout string

const (
	// RolloutDone: it has the newest ones, or none are known.
	RolloutDone Rollout = ""
	// RolloutBehind: it has older ones.
	RolloutBehind Rollout = "behind"
	// RolloutNext: it has older ones and is about to change them, for which what
	// runs there has to end.
	RolloutNext Rollout = "next"
)

// Endpoint is the record of one back end. Records are immutable: a change
// makes a new one.
type Endpoint struct {
	// ID is unique in the deployment and not empty.
	ID   EndpointID   `json:"id" cbor:"1,keyasint"`
	Kind EndpointKind `json:"kind" cbor:"2,keyasint"`
	// Domain and Region place the endpoint. Domain is not empty.
	Domain DomainName `json:"domain" cbor:"3,keyasint"`
	Region RegionName `json:"region,omitempty" cbor:"4,keyasint,omitempty"`
	// Address is where the endpoint listens. It is valid.
	Address netip.AddrPort `json:"address" cbor:"5,keyasint"`
	State   EndpointState  `json:"state" cbor:"6,keyasint"`
	// Incarnation is empty until an answer or the platform's list tells it.
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	// Model, Weights and Adapters are set for engines only.
	Model    ModelName      `json:"model,omitempty" cbor:"8,keyasint,omitempty"`
	Weights  WeightsVersion `json:"weights,omitempty" cbor:"9,keyasint,omitempty"`
	Adapters []AdapterName  `json:"adapters,omitempty" cbor:"10,keyasint,omitempty"`
	// Service is set for plain services only.
	Service ServiceName `json:"service,omitempty" cbor:"11,keyasint,omitempty"`
	// Slots is the number of requests that run side by side; at least 1.
	Slots int `json:"slots" cbor:"12,keyasint"`
	// CacheTokens is the size of the prefix cache in tokens; 0 when unknown.
	CacheTokens  int          `json:"cache_tokens,omitempty" cbor:"13,keyasint,omitempty"`
	Capabilities Capabilities `json:"capabilities" cbor:"14,keyasint"`
	// Revision is that of the record in the platform. Only rosters have it.
	Revision Revision `json:"-" cbor:"-" toml:"-"`
	// Rollout tells how an engine's weights stand to the newest ones. Only rosters
	// have it.
	Rollout Rollout `json:"-" cbor:"-" toml:"-"`
}

// Serves reports whether e can run a request for model with adapter.
func (e *Endpoint) Serves(model ModelName, adapter AdapterName) bool {
	if e.Kind != KindEngine || e.Model != model {
		return false
	}
	return adapter == "" || slices.Contains(e.Adapters, adapter)
}

// Validate reports the first invariant that e breaks.
func (e *Endpoint) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %q", e.ID) }()
	switch {
	case e.ID == "":
		return errors.New("id is empty")
	case e.Domain == "":
		return errors.New("domain is empty")
	case !e.Address.IsValid():
		return errors.New("address is not valid")
	case e.Slots < 1:
		return errors.Newf("slots is %d, want at least 1", e.Slots)
	}
	return e.validateKind()
}

func (e *Endpoint) validateKind() error {
	switch e.Kind {
	case KindEngine:
		if e.Model == "" {
			return errors.New("engine without a model")
		}
	case KindService:
		if e.Service == "" {
			return errors.New("service endpoint without a service name")
		}
	default:
		return errors.Newf("kind %q is not known", e.Kind)
	}
	switch e.State {
	case StateLive, StateDraining, StateLeaving:
		return nil
	}
	return errors.Newf("state %q is not known", e.State)
}

// InstanceState is the life of a router instance as the platform tells it.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is the record of one router process.
type Instance struct {
	// ID is unique in the deployment and not empty.
	ID     InstanceID `json:"id" cbor:"1,keyasint"`
	Domain DomainName `json:"domain" cbor:"2,keyasint"`
	Region RegionName `json:"region,omitempty" cbor:"3,keyasint,omitempty"`
	// CallerAddress serves callers, PeerAddress other instances.
	CallerAddress netip.AddrPort `json:"caller_address" cbor:"4,keyasint"`
	PeerAddress   netip.AddrPort `json:"peer_address" cbor:"5,keyasint"`
	State         InstanceState  `json:"state" cbor:"6,keyasint"`
	Incarnation   Incarnation    `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	// OperatorAddress serves health, status, metrics and burn.
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero" cbor:"8,keyasint,omitempty"`
}

// Validate reports the first invariant that i breaks.
func (i *Instance) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "instance %q", i.ID) }()
	switch {
	case i.ID == "":
		return errors.New("id is empty")
	case i.Domain == "":
		return errors.New("domain is empty")
	case !i.PeerAddress.IsValid():
		return errors.New("peer address is not valid")
	}
	return nil
}

// Roster is what membership believes at one moment. It is immutable; holders
// compare pointers to notice a change.
type Roster struct {
	// Endpoints is sorted by ID and includes endpoints that leave or drain. An
	// instance may leave out other regions' but for a few spares.
	Endpoints []Endpoint
	// Instances is sorted by ID and includes this instance.
	Instances []Instance
	// UnlistedEngines counts by model the engines of other regions that Endpoints
	// leaves out; nil when it has all.
	UnlistedEngines map[ModelName]int
}

// Endpoint returns the endpoint with the id, or nil.
func (r *Roster) Endpoint(id EndpointID) *Endpoint {
	i, ok := slices.BinarySearchFunc(r.Endpoints, id, func(e Endpoint, id EndpointID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return &r.Endpoints[i]
}

// Directory tells the current members.
type Directory interface {
	// Roster returns the newest roster, never nil. It does not block.
	Roster() *Roster
	// Changed returns a channel that is closed when Roster has a newer value
	// than at the time of the call.
	Changed() <-chan struct{}
}
