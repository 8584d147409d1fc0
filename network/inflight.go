package network

import (
	"net/http"
	"sync"
)

// inflight is an HTTP handler that counts the running calls of another handler.
// http.Server.Close does not wait for running handlers, but they use components
// that are shut down with the instance.
type inflight struct {
	handler http.Handler

	mu sync.Mutex
	// n is the number of running handlers.
	n int
	// idle is set by wait, after which no handler starts, and closed as soon as n
	// is 0.
	idle chan struct{}
}

// ServeHTTP implements http.Handler.
func (f *inflight) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.begin() {
		panic(http.ErrAbortHandler)
	}
	defer f.end()
	f.handler.ServeHTTP(w, r)
}

// begin counts a handler. It returns false if no handler may start any more.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle != nil {
		return false
	}
	f.n++
	return true
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.idle != nil && f.n == 0 {
		close(f.idle)
	}
}

// running returns the number of running handlers.
func (f *inflight) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// wait blocks until no handler runs. It must be called only once, after the server
// was closed.
func (f *inflight) wait() {
	f.mu.Lock()
	f.idle = make(chan struct{})
	if f.n == 0 {
		close(f.idle)
	}
	f.mu.Unlock()
	<-f.idle
}
