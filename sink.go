package hornbeamstage

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// Sink receives the response to a request, in order. Its methods are not called
// concurrently.
type Sink interface {
	// Start sends the status and header. It is called once, before Write.
	Start(status int, header http.Header) error
	// Write sends p and flushes it. It does not retain p.
	Write(p []byte) error
}

// Gate permits or prevents the dispatch of a request. A ClassOnce request with an
// idempotency key has a Gate that records the dispatch; other requests have none.
type Gate interface {
	// Open records that the request is about to be dispatched. The dispatch is
	// permitted only if Open returns nil. An error guarantees that the request was
	// not and will not be dispatched.
	Open(ctx context.Context) error
}

// Network creates the connections and listeners of a process. Tests and the replay
// use an in-memory implementation.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Limiter enforces the rate and concurrency limits of workspaces.
type Limiter interface {
	// Acquire counts req against the limits of its workspace. The caller calls release
	// once, with the number of generated tokens, when the request has ended. Acquire
	// may block for a bounded time, but not beyond the request's deadline. The error
	// is a *Refusal.
	Acquire(req *Request) (release func(outputTokens int), err error)
}
