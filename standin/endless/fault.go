package endless

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// ErrorBody is an error whose body never ends.
var ErrorBody = Body("500 Internal Server Error", "Content-Type: application/json\r\n", "x")

// Fault is an injected fault of a stand-in, which for a time answers everything
// without an end. The zero Fault is none. It may be used concurrently.
type Fault struct {
	mu        sync.Mutex
	responses []Response
	until     time.Time
	served    int
}

// Begin answers every request of the next d with one of the responses, in turn.
func (f *Fault) Begin(d time.Duration, responses ...Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses, f.until = responses, time.Now().Add(d)
}

// next returns the response to the next request, if the fault is in effect.
func (f *Fault) next() (r Response, rate Rate, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.until) {
		return Response{}, Rate{}, false
	}
	f.served++
	return f.responses[f.served%len(f.responses)], Fast, true
}

// Handler returns a handler that passes requests to h while the fault is not in
// effect. See Handler.
func (f *Fault) Handler(ctx context.Context, wg *conc.WaitGroup, h http.Handler) http.Handler {
	return Handler(ctx, wg, f.next, h)
}

// Handler returns a handler that passes requests to h for which next returns no
// response. The endless responses end with ctx, and wg waits for them.
func Handler(ctx context.Context, wg *conc.WaitGroup, next func() (r Response, rate Rate, ok bool), h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, rate, ok := next()
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		ended := make(chan struct{})
		wg.Go(func() {
			defer close(ended)
			if err := response.Serve(ctx, w, rate); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
		<-ended
	})
}
