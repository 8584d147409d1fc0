package hornbeamstage

import "time"

// RouteClass says how often a request may run.
type RouteClass string

// The classes of route.
const (
	// ClassRepeatable requests are idempotent.
	ClassRepeatable RouteClass = "repeatable"
	// ClassDeduplicated requests carry a key that the endpoint itself honours.
	ClassDeduplicated RouteClass = "deduplicated"
	// ClassOnce requests are not idempotent and the endpoint does not check.
	ClassOnce RouteClass = "once"
)

// Priority orders work of different urgency.
type Priority string

// The priorities.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// LevelKey identifies a prompt prefix of one workspace, model, adapter and
// weights version. Keys of different ones differ by their salt.
type LevelKey uint64

// Level is one nested prefix of a prompt.
type Level struct {
	// Key covers the whole prefix up to this level.
	Key LevelKey
	// Tokens is the estimated length of the prefix; it grows from level to level.
	Tokens int
}

// Request is a decoded request of a caller. It does not change after decoding.
type Request struct {
	ID        RequestID
	Workspace WorkspaceID
	Class     RouteClass
	Priority  Priority
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// Arrived is when the first byte was read; Deadline is after it or zero
	// when there is none.
	Arrived, Deadline time.Time
	// FirstBy is when the caller gives up the wait for the first event of a stream;
	// zero when it waits until Deadline.
	FirstBy time.Time

	// Model and Adapter are set for model requests, Service for plain ones. Where
	// engines stand in named pools both are set: Service is the pool then.
	Model   ModelName
	Adapter AdapterName
	Weights WeightsVersion
	Service ServiceName

	// Levels are the nested prefixes of the prompt, shortest first. The last
	// covers the whole prompt. Empty for services.
	Levels []Level
	// PromptTokens is the estimated length of the prompt; ExpectedTokens the
	// expected length of the answer, at least 1 for model requests.
	PromptTokens, ExpectedTokens int
	// Stream tells whether the caller wants the answer as events.
	Stream bool

	// CacheScope keeps cached prefixes of requests with different values apart on
	// engines that are told of it; empty is shared.
	CacheScope string
	// Attempts is the number of endpoints that the request may be sent to; 0 leaves
	// it to the knobs.
	Attempts int

	// Favoured is set by admission on its own copy: the endpoint serves the request
	// before those that are not.
	Favoured bool

	// Host is the caller's, where endpoints get it unchanged.
	Host string
	// Method, Path and Header are what the endpoint gets, without the router's
	// own headers. Path starts with "/" and includes the query.
	Method, Path string
	Header       map[string][]string
	// Body is complete and bounded.
	Body []byte
}
