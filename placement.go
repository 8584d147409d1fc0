package hornbeamstage

import (
	"net/netip"
	"time"
)

// Placement is the endpoint chosen for an attempt, with the predictions on which
// the choice is based.
type Placement struct {
	Attempt  AttemptID
	Endpoint Endpoint
	// CachedTokens is the number of prompt tokens estimated to be cached at the
	// endpoint.
	CachedTokens int
	// Wait is the predicted time until the engine starts to process the prompt,
	// FirstToken the predicted time to the first token. Both count from the
	// placement.
	Wait, FirstToken time.Duration
	// FirstTokenP95 is the predicted 95th percentile of the time to the first token.
	FirstTokenP95 time.Duration
	// Priority is the priority in the engine's queue, set by admission. Lower values
	// are more urgent.
	Priority int
	// Long is set by admission if it counts the request as long work.
	Long bool
	// LoadFromStore means that the engine may load the missing part of the prompt's KV
	// cache from the KV cache store.
	LoadFromStore bool
	// LoadFrom is the address of another engine from which the chosen engine may load
	// the missing part of the prompt's KV cache. It is invalid if there is none.
	LoadFrom netip.AddrPort
	// Limit is the number of requests per second that the endpoint takes from all
	// instances together, as known then; nil if it names none.
	Limit *float64
	// StoreTokens is the length in tokens of the prompt prefix that the engine is asked
	// to export to the KV cache store, 0 for none.
	StoreTokens int
}

// Placer chooses endpoints and adjusts its predictions to the results. Its methods
// are safe for concurrent use and do not block.
type Placer interface {
	// Place chooses an endpoint for req that is not in avoid and reserves capacity on
	// it until Finish. It returns ErrFull if all usable endpoints are at their limit
	// and ErrNoEndpoint if there is no usable endpoint.
	Place(req *Request, avoid []EndpointID) (Placement, error)
	// FirstToken records that the attempt's first event arrived. after is the time
	// since dispatch; cached is the number of cached prompt tokens that the engine
	// reported, negative if it has not reported it yet.
	FirstToken(p *Placement, after time.Duration, cached int)
	// ObserveMinGap records the shortest time between two consecutive events of the attempt's
	// stream in the most recent measurement window.
	ObserveMinGap(p *Placement, gap time.Duration)
	// ObserveGap records the time between the last two events of the attempt's stream.
	ObserveGap(p *Placement, gap time.Duration)
	// Slowness returns the estimated factor by which p's endpoint is currently slower
	// than expected, at least 1.
	Slowness(p *Placement) float64
	// Finish releases the reservation. It is called exactly once for each Placement.
	Finish(p *Placement, r AttemptResult)
}

// AttemptEnd says how an attempt ended.
type AttemptEnd string

// The ends of an attempt.
const (
	// EndComplete means that the complete response arrived.
	EndComplete AttemptEnd = "complete"
	// EndUnreached means that connecting to the endpoint failed, so nothing was sent.
	EndUnreached AttemptEnd = "unreached"
	// EndRefused means that the endpoint refused the request without running it.
	EndRefused AttemptEnd = "refused"
	// EndFailed means that the endpoint returned an error and may have run the
	// request.
	EndFailed AttemptEnd = "failed"
	// EndBroken means that the connection was lost before the response was complete,
	// or that the response belonged to another attempt.
	EndBroken AttemptEnd = "broken"
	// EndExpired means that the request was sent and its deadline passed before the
	// response was complete.
	EndExpired AttemptEnd = "expired"
	// EndCanceled means that the router abandoned the attempt, for example because the
	// caller disconnected or another attempt of a hedged request won.
	EndCanceled AttemptEnd = "canceled"
	// EndWithdrawn means that the request was sent and the router ended the attempt
	// before its response, because the request must not begin at the endpoint any more.
	EndWithdrawn AttemptEnd = "withdrawn"
)

// AttemptResult is the outcome of an attempt and what was measured during it.
type AttemptResult struct {
	End AttemptEnd
	// Incarnation and Weights are as reported by the endpoint and may be empty.
	Incarnation Incarnation
	Weights     WeightsVersion
	// CachedTokens is the number of cached prompt tokens that the engine reported,
	// negative if it reported none. OutputTokens is the number of events received.
	CachedTokens, OutputTokens int
	// FirstToken is the time from dispatch to the first event, 0 if none arrived.
	// Duration is the time from dispatch to the end.
	FirstToken, Duration time.Duration
	// LongestPause is the longest time between two parts of a stream, 0 if it was not
	// measured.
	LongestPause time.Duration
}

// Policy returns the configured value of a knob for a scope. Implementations are
// immutable snapshots or load one atomically. They do not block.
type Policy interface {
	// Number returns the value of a knob in its unit.
	Number(key KnobKey, scope Scope) float64
	// Duration returns the value of a knob whose unit is UnitDuration.
	Duration(key KnobKey, scope Scope) time.Duration
}

// Scope selects the configured exceptions to a knob's default that apply. An
// exception applies if each field that it sets equals the field of the Scope, so an
// empty field matches only exceptions that leave it empty.
type Scope struct {
	Workspace WorkspaceID
	Model     ModelName
	Service   ServiceName
	Domain    DomainName
}

// KnobKey is the name of a configurable value, in snake case with dots, such as
// "hedge.floor".
type KnobKey string

// Unit is the unit of the value of a knob or metric.
type Unit string

// The units of knobs and metrics.
const (
	UnitDuration Unit = "duration"
	UnitCount    Unit = "count"
	UnitTokens   Unit = "tokens"
	UnitShare    Unit = "share"
	UnitPerSec   Unit = "per_second"
	UnitBytes    Unit = "bytes"
	// UnitSwitch values are 0 (off) or 1 (on).
	UnitSwitch Unit = "switch"
)

// Knob documents one configurable value. Each package declares its own knobs;
// package catalog collects them.
type Knob struct {
	Key KnobKey
	// Title is a short phrase. Text says when an operator should change the value.
	Title, Text string
	Unit        Unit
	// Default, Min and Max are in Unit; durations are in seconds.
	Default, Min, Max float64
}

// Section is one component's part of the digest that instances exchange. Each
// component encodes and decodes its own section.
type Section interface {
	// Name is unique among sections and stable across versions.
	Name() string
	// Reach returns which peers receive the section.
	Reach() Reach
	// Digest returns updates for peers, at most budget bytes, or nil if there are
	// none.
	Digest(budget int) []byte
	// Merge applies the section that a peer sent. If data can't be decoded, it
	// returns an error and changes nothing.
	Merge(from Instance, data []byte) error
}

// Reach is the set of peers to which a digest section is propagated.
type Reach string

// The reaches of a section: the sender's domain, its region or all instances,
// unless noted otherwise.
const (
	ReachDomain Reach = "domain"
	ReachRegion Reach = "region"
	ReachFleet  Reach = "fleet"
	// ReachRepresentatives sections are exchanged between the representatives of different
	// domains and are not relayed.
	ReachRepresentatives Reach = "between"
)
