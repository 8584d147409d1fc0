package hornbeamstage

import (
	"net/netip"
	"time"
)

// Placement is the choice of one endpoint for one attempt.
type Placement struct {
	Attempt  AttemptID
	Endpoint Endpoint
	// CachedTokens is how much of the prompt is believed cached there.
	CachedTokens int
	// Wait is the predicted time until the engine starts the prompt and
	// FirstToken the predicted time until the first token, both from now.
	Wait, FirstToken time.Duration
	// FirstTokenP95 is the predicted 95th percentile of the time to the first token.
	FirstTokenP95 time.Duration
	// Priority is the engine priority, lower is more urgent; admission sets it.
	Priority int
	// LoadFromStore tells that the engine may load what it lacks of the prompt from the
	// store of kept KV cache.
	LoadFromStore bool
	// LoadFrom is another engine from which the chosen one may load what it lacks of
	// the prompt; not valid when there is none.
	LoadFrom netip.AddrPort
	// StoreTokens is the length of the prompt's prefix that the engine is asked to
	// put into that store; 0 when none is.
	StoreTokens int
}

// Placer chooses endpoints and learns from what became of its choices. Its
// methods are safe for concurrent use and do not block.
type Placer interface {
	// Place chooses an endpoint for req outside avoid and books the work on it
	// until Finish. It returns ErrFull when all usable endpoints are at their
	// limit and ErrNoEndpoint when there is none.
	Place(req *Request, avoid []EndpointID) (Placement, error)
	// FirstToken tells that the attempt's first event arrived. cached is the
	// engine's own count of cached prompt tokens, negative when not told yet.
	FirstToken(p *Placement, after time.Duration, cached int)
	// ObserveMinGap tells the shortest time between two events of the attempt's stream
	// in the last part of it.
	ObserveMinGap(p *Placement, gap time.Duration)
	// ObserveGap tells the time between the last two events of the attempt's stream.
	ObserveGap(p *Placement, gap time.Duration)
	// Slowness tells how many times slower than it should be p's endpoint is
	// believed to be now, at least 1.
	Slowness(p *Placement) float64
	// Finish ends the booking. It is called exactly once for each Placement.
	Finish(p *Placement, r AttemptResult)
}

// AttemptEnd says how an attempt ended.
type AttemptEnd string

// The ends of an attempt.
const (
	// EndComplete: the whole answer arrived.
	EndComplete AttemptEnd = "complete"
	// EndUnreached: no byte was sent.
	EndUnreached AttemptEnd = "unreached"
	// EndRefused: the endpoint refused without running it.
	EndRefused AttemptEnd = "refused"
	// EndFailed: the endpoint answered an error after it may have run.
	EndFailed AttemptEnd = "failed"
	// EndBroken: the connection broke in the middle, or the answer was not the
	// attempt's own.
	EndBroken AttemptEnd = "broken"
	// EndCanceled: the router gave the attempt up (caller left, hedge lost).
	EndCanceled AttemptEnd = "canceled"
)

// AttemptResult is the evidence that an attempt leaves.
type AttemptResult struct {
	End AttemptEnd
	// Incarnation and Weights are what the endpoint said of itself; may be empty.
	Incarnation Incarnation
	Weights     WeightsVersion
	// CachedTokens is the engine's count of cached prompt tokens; negative when
	// not told. OutputTokens counts events received.
	CachedTokens, OutputTokens int
	// FirstToken is the time from dispatch to the first event, 0 when none
	// came; Duration that to the end.
	FirstToken, Duration time.Duration
	// LongestPause is the longest time between two parts of a stream, 0 where it is
	// not measured.
	LongestPause time.Duration
}

// Policy tells the configured value of a knob for a scope. Implementations are
// immutable snapshots or read one atomically; they do not block.
type Policy interface {
	// Number returns the value in the knob's unit.
	Number(key KnobKey, scope Scope) float64
	// Duration returns the value of a knob whose unit is UnitDuration.
	Duration(key KnobKey, scope Scope) time.Duration
}

// Scope selects the exceptions that apply. Empty fields match only exceptions
// that leave them empty.
type Scope struct {
	Workspace WorkspaceID
	Model     ModelName
	Service   ServiceName
	Domain    DomainName
}

// KnobKey names one configurable value, in snake case with dots.
type KnobKey string

// Unit is the unit of a knob's value.
type Unit string

// The units of knobs.
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

// Knob documents one configurable value. Each decision's folder declares its
// own; package config gathers them.
type Knob struct {
	Key KnobKey
	// Title is a phrase; Text tells an operator when to change it.
	Title, Text string
	Unit        Unit
	// Default, Min and Max are in Unit; durations are in seconds.
	Default, Min, Max float64
}

// Section is one part's share of the digest that instances exchange. The
// codec is the part's own.
type Section interface {
	// Name is unique among sections and stable between versions.
	Name() string
	// Reach tells which peers get the section.
	Reach() Reach
	// Digest returns at most budget bytes of news for peers; nil when there is none.
	Digest(budget int) []byte
	// Merge takes a peer's digest. An error means data was not understood; it
	// changes nothing then.
	Merge(from Instance, data []byte) error
}

// Reach says how far a digest section travels.
type Reach string

// The reaches of a section.
const (
	ReachDomain Reach = "domain"
	ReachRegion Reach = "region"
	ReachFleet  Reach = "fleet"
	// ReachRepresentatives sections are told between the representatives of domains and
	// travel no further.
	ReachRepresentatives Reach = "between"
)
