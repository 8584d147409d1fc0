package network

import (
	"net/http"
	"sync"
)

// inflight counts the requests whose handlers run. http.Server.Close does not
// wait for them, but they use parts that end with the instance.
type inflight struct {
	handler http.Handler

	mu sync.Mutex
	// n is the number of running handlers.
	n int
	// idle is set by wait and closed when n has become 0; no handler starts
	// from then on.
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

// wait returns when no handler runs. It is called once, after the server was
// closed.
func (f *inflight) wait() {
	f.mu.Lock()
	f.idle = make(chan struct{})
	if f.n == 0 {
		close(f.idle)
	}
	f.mu.Unlock()
	<-f.idle
}
