package hornbeamstage

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// EndpointKind distinguishes engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// EndpointState is the lifecycle state of an endpoint. All states but
// StateSuspect come from the platform's records.
type EndpointState string

// The states of an endpoint.
const (
	// StateLive endpoints accept new work.
	StateLive EndpointState = "live"
	// StateDraining endpoints finish their running requests and accept no new work.
	// The operator or rollout that requested the drain may undo it.
	StateDraining EndpointState = "draining"
	// StateLeaving endpoints finish their running requests and are then removed.
	StateLeaving EndpointState = "leaving"
	// StateSuspect endpoints failed while handling requests. They are probed and
	// accept no new work. The state occurs only in a Roster, never in the
	// platform's records.
	StateSuspect EndpointState = "suspect"
)

// Capabilities lists the protocol extensions that an endpoint implements. An
// extension is used only if it is listed; docs/protocols.md describes the
// behaviour without it.
type Capabilities struct {
	// Priority means that the engine orders its queue by the request's priority
	// field.
	Priority bool `json:"priority,omitempty" toml:"priority" cbor:"1,keyasint,omitempty"`
	// Resume means that an interrupted stream can be resumed at a sequence number.
	Resume bool `json:"resume,omitempty" toml:"resume" cbor:"2,keyasint,omitempty"`
	// CachedTokens means that the usage in a response includes the number of cached
	// prompt tokens.
	CachedTokens bool `json:"cached_tokens,omitempty" toml:"cached_tokens" cbor:"3,keyasint,omitempty"`
	// CacheEvents means that the engine publishes an event for each prefix that it
	// stores or evicts.
	CacheEvents bool `json:"cache_events,omitempty" toml:"cache_events" cbor:"4,keyasint,omitempty"`
	// LoadReports means that the engine reports its load.
	LoadReports bool `json:"load_reports,omitempty" toml:"load_reports" cbor:"5,keyasint,omitempty"`
	// ChecksFence means that the engine rejects orders with an outdated fencing
	// number.
	ChecksFence bool `json:"checks_fence,omitempty" toml:"checks_fence" cbor:"6,keyasint,omitempty"`
	// KVTransfer means that the engine can export its KV cache to the KV cache store
	// and import from there.
	KVTransfer bool `json:"kv_transfer,omitempty" toml:"kv_transfer" cbor:"7,keyasint,omitempty"`
	// EchoesAttempt means that responses carry the ID of the attempt to which they
	// belong.
	EchoesAttempt bool `json:"echoes_attempt,omitempty" toml:"echoes_attempt" cbor:"8,keyasint,omitempty"`
	// Deduplicates means that a plain service honours idempotency keys itself.
	Deduplicates bool `json:"deduplicates,omitempty" toml:"deduplicates" cbor:"9,keyasint,omitempty"`
}

// Rollout is the state of an engine in the rollout of its model's newest weights.
type Rollout string

// The rollout states of an engine.
const (
	// RolloutDone engines have the newest weights, or no newest version is known.
	RolloutDone Rollout = ""
	// RolloutOutdated engines have older weights and are not about to change them.
	RolloutOutdated Rollout = "behind"
	// RolloutNext engines have older weights and are among the next to change them.
	// Their running requests have to end before that.
	RolloutNext Rollout = "next"
)

// Endpoint is the record of one back end. Records are immutable; a change
// creates a new record.
type Endpoint struct {
	// ID is unique in the deployment and not empty.
	ID   EndpointID   `json:"id" cbor:"1,keyasint"`
	Kind EndpointKind `json:"kind" cbor:"2,keyasint"`
	// Domain and Region are the failure domain and region in which the endpoint
	// runs. Domain is not empty.
	Domain DomainName `json:"domain" cbor:"3,keyasint"`
	Region RegionName `json:"region,omitempty" cbor:"4,keyasint,omitempty"`
	// Address is the valid address on which the endpoint listens.
	Address netip.AddrPort `json:"address" cbor:"5,keyasint"`
	State   EndpointState  `json:"state" cbor:"6,keyasint"`
	// Incarnation is empty until a response of the endpoint or the platform's record
	// supplies it.
	Incarnation Incarnation `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	// Model, Weights and Adapters are set for engines only.
	Model    ModelName      `json:"model,omitempty" cbor:"8,keyasint,omitempty"`
	Weights  WeightsVersion `json:"weights,omitempty" cbor:"9,keyasint,omitempty"`
	Adapters []AdapterName  `json:"adapters,omitempty" cbor:"10,keyasint,omitempty"`
	// Service is set for plain services only.
	Service ServiceName `json:"service,omitempty" cbor:"11,keyasint,omitempty"`
	// Slots is the number of requests that the endpoint runs concurrently, at least
	// 1.
	Slots int `json:"slots" cbor:"12,keyasint"`
	// CacheTokens is the size of the prefix cache in tokens, 0 if unknown.
	CacheTokens  int          `json:"cache_tokens,omitempty" cbor:"13,keyasint,omitempty"`
	Capabilities Capabilities `json:"capabilities" cbor:"14,keyasint"`
	// Software is the version of the endpoint's software; empty where the platform doesn't
	// tell.
	Software SoftwareVersion `json:"-" cbor:"-" toml:"-"`
	// Revision is the platform's revision of the record. It is set only in a Roster.
	Revision Revision `json:"-" cbor:"-" toml:"-"`
	// Heartbeats is the number of heartbeats that the endpoint's incarnation had sent when
	// the record was written; 0 where the platform doesn't tell.
	Heartbeats float64 `json:"-" cbor:"-" toml:"-"`
	// Rollout is the engine's state in the rollout of new weights. It is set only in
	// a Roster.
	Rollout Rollout `json:"-" cbor:"-" toml:"-"`
}

// Serves reports whether e can run a request for model with adapter.
func (e *Endpoint) Serves(model ModelName, adapter AdapterName) bool {
	if e.Kind != KindEngine || e.Model != model {
		return false
	}
	return adapter == "" || slices.Contains(e.Adapters, adapter)
}

// SameIncarnation reports whether e and other are records of one incarnation of an
// endpoint, at one address.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.ID == other.ID && e.Incarnation == other.Incarnation && e.Address == other.Address
}

// Validate returns an error for the first invariant that e violates.
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

// InstanceState is the lifecycle state of a router instance according to the
// platform.
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
	// CallerAddress is the address for callers, PeerAddress that for other
	// instances.
	CallerAddress netip.AddrPort `json:"caller_address" cbor:"4,keyasint"`
	PeerAddress   netip.AddrPort `json:"peer_address" cbor:"5,keyasint"`
	State         InstanceState  `json:"state" cbor:"6,keyasint"`
	Incarnation   Incarnation    `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
	// OperatorAddress is the address for operators: health, status, metrics and the
	// burn rate of objectives.
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero" cbor:"8,keyasint,omitempty"`
}

// Validate returns an error for the first invariant that i violates.
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

// EndpointSignals is what an endpoint tells of itself in the header of a response.
type EndpointSignals struct {
	// Limited is set if the endpoint names a limit: the number of requests per second
	// that it takes from all instances together, for as long as its responses name it.
	Limited bool
	// RequestsPerSecond is the limit, not negative; 0 unless Limited is set.
	RequestsPerSecond float64
	// Leaving is set if the endpoint leaves and takes no further requests.
	Leaving bool
	// PauseFor is how long the endpoint wants no further requests from this instance; 0
	// unless it refused the request and said so.
	PauseFor time.Duration
	// Malformed is the header that can't be decoded, with its value; empty if there is
	// none. That Limited isn't set has no meaning then.
	Malformed string
}

// Roster is an immutable snapshot of the known endpoints and instances. Compare
// pointers to detect a change.
type Roster struct {
	// Endpoints is sorted by ID and includes leaving and draining endpoints. It may
	// omit the endpoints of other regions except for a few that serve as spares.
	Endpoints []Endpoint
	// Instances is sorted by ID and includes this instance.
	Instances []Instance
	// UnlistedEngines is the number of engines of other regions, by model, that Endpoints
	// omits. It is nil if Endpoints is complete.
	UnlistedEngines map[ModelName]int
}

// Endpoint returns the endpoint with the given ID, or nil if there is none.
func (r *Roster) Endpoint(id EndpointID) *Endpoint {
	i, ok := slices.BinarySearchFunc(r.Endpoints, id, func(e Endpoint, id EndpointID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return &r.Endpoints[i]
}

// Directory provides the current roster.
type Directory interface {
	// Roster returns the latest roster, which is never nil. It does not block.
	Roster() *Roster
	// Changed returns a channel that is closed once Roster returns a newer roster
	// than at the time of the call.
	Changed() <-chan struct{}
}
