package hornbeamstage

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// Sink takes the answer of one request, in order. Its methods are called from
// one goroutine at a time.
type Sink interface {
	// Start sends status and header. It is called once, before Write.
	Start(status int, header http.Header) error
	// Write sends p and flushes it. p is not kept.
	Write(p []byte) error
}

// Gate is passed right before a request is dispatched. A once request with a
// key has one that records the dispatch; other requests have none.
type Gate interface {
	// Open records that the request is about to be dispatched. Only nil allows
	// the dispatch; any error means that nothing was or will be dispatched.
	Open(ctx context.Context) error
}

// Network makes the connections of one process. Tests and the replay put an
// in-memory network in its place.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Limiter holds workspaces to their limits.
type Limiter interface {
	// Acquire counts req in. The returned function counts it out again with the
	// number of tokens that were generated; it is called once. It may wait for a
	// bounded time, within the request's deadline. The error is a *Refusal.
	Acquire(req *Request) (release func(outputTokens int), err error)
}
