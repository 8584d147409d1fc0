package hornbeamstage

import (
	"context"
	"time"
)

// RouteClass determines whether a request may run more than once.
type RouteClass string

// The route classes.
const (
	// ClassRepeatable requests are idempotent and may run more than once.
	ClassRepeatable RouteClass = "repeatable"
	// ClassDeduplicated requests carry an idempotency key that the endpoint itself
	// honours.
	ClassDeduplicated RouteClass = "deduplicated"
	// ClassOnce requests are not idempotent, and the endpoint does not detect
	// duplicates. They must run at most once.
	ClassOnce RouteClass = "once"
)

// Priority is the urgency of a request.
type Priority string

// The priorities.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// LevelKey is a salted hash that identifies a prompt prefix; equal prefixes have
// different keys if their salts differ. Package prompt uses the workspace, model,
// adapter and weights version as the salt, package gateway the cache scope and model.
type LevelKey uint64

// Level is one of the nested prefixes of a prompt.
type Level struct {
	// Key identifies the whole prefix, including all shorter levels.
	Key LevelKey
	// Tokens is the estimated length of the prefix. It increases from level to level.
	Tokens int
}

// PartID identifies one part of a prompt, as the caller names it. It occurs only in
// prompts for one model, whatever the workspace.
type PartID string

// Fingerprint identifies what a caller asks for: requests with the same one have the same
// workspace, model, host, method, path and body, whatever their IDs and deadlines.
type Fingerprint string

// Request is a decoded request of a caller. It does not change after decoding;
// admission sets Favoured on a copy, the dispatcher Software.
type Request struct {
	ID        RequestID
	Workspace WorkspaceID
	Class     RouteClass
	Priority  Priority
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Arrived is the time at which the first byte was read. Deadline is later than
	// Arrived, or zero if there is none.
	Arrived, Deadline time.Time
	// FirstEventDeadline is the time until which the caller waits for the first event of a
	// stream. It is zero if the caller waits until Deadline.
	FirstEventDeadline time.Time

	// Model and Adapter are set for requests to models, Service for requests to plain
	// services. If engines are grouped in named pools, Model and Service are both set
	// and Service is the name of the pool.
	Model   ModelName
	Adapter AdapterName
	Weights WeightsVersion
	Service ServiceName

	// Hold reserves memory for what is kept of responses until the request ends, in
	// bytes, and reports whether there is any. It may be called at any time until then. nil
	// means that there always is.
	Hold func(bytes int64) bool

	// Levels are the nested prefixes of the prompt, shortest first. The last
	// covers the whole prompt. Empty for services.
	Levels []Level
	// Parts are the parts of the prompt that other requests may share: all but the
	// last, in order. Empty where callers don't name parts.
	Parts []PartID
	// Fingerprint is empty where repeated requests are not tracked.
	Fingerprint Fingerprint
	// PromptTokens is the estimated length of the prompt. ExpectedTokens is the
	// expected length of the response, at least 1 for requests to models.
	PromptTokens, ExpectedTokens int
	// Stream means that the caller requested the response as a stream of events.
	Stream bool

	// Resumable means that callers may resume the stream, in a further request, where an
	// earlier response broke off. Resumes is set if this request does.
	Resumable bool
	Resumes   *Resumption
	// Software is the only version whose endpoints may serve the request, or AnySoftware;
	// empty if all may. The dispatcher sets it on its copy of the request.
	Software SoftwareVersion

	// CacheScope isolates cached prefixes: on engines that receive it, requests with
	// different values share no cached prefixes. Requests without one share theirs.
	CacheScope string
	// Attempts is the maximum number of endpoints to which the request is sent. If it
	// is 0, the configured knobs apply.
	Attempts int

	// Favoured means that the endpoint serves the request before those that are not
	// favoured. Admission sets it on its copy of the request.
	Favoured bool

	// Host is the host of the caller's request if it is forwarded to endpoints
	// unchanged.
	Host string
	// Method, Path and Header are sent to the endpoint; the router adds its headers.
	// Path starts with "/" and includes the query.
	Method, Path string
	Header       map[string][]string
	// Body is the complete body. Its size is limited.
	Body []byte
}

// Resumption tells where a stream goes on that a caller resumes.
type Resumption struct {
	// Attempt is the request whose response brought the first event; empty if the caller
	// didn't tell.
	Attempt RequestID
	// After is the ID of the last event that the caller received; not empty.
	After string
}

// StreamID returns the ID of the attempt that began the stream of q, empty if the caller that
// resumes it doesn't tell.
func (q *Request) StreamID() RequestID {
	if q.Resumes != nil {
		return q.Resumes.Attempt
	}
	return q.ID
}

// StreamKeeper keeps each resumable stream at one version of the endpoints' software.
type StreamKeeper interface {
	// Version returns the version whose endpoints may serve req, or AnySoftware; empty if
	// all may. The error is a *Refusal of a stream that can't go on.
	Version(ctx context.Context, req *Request) (SoftwareVersion, error)
	// Placed is called when req is placed at an endpoint of version v.
	Placed(req *Request, v SoftwareVersion)
	// Begun is called before the first event that an endpoint of version v sent for req is
	// passed on. It returns when that may be done.
	Begun(ctx context.Context, req *Request, v SoftwareVersion)
}

// CanHold reserves memory for n bytes that are kept of a response until the request ends,
// and reports whether there is any.
func (q *Request) CanHold(n int) bool { return q.Hold == nil || q.Hold(int64(n)) }
