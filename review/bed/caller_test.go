package bed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one request of a caller.
type request struct {
	Method, Path string
	// Prompt is the header X-Prefix-Hash; empty for a plain service.
	Prompt   string
	Deadline time.Duration
	Body     string
}

// reply is what a caller got.
type reply struct {
	ID, Instance string
	Sent         time.Time
	Status       int
	Stamp        string
	Body         string
	// Complete is set if the answer had a proper end.
	Complete bool
	// Kept is set if the request was sent on a channel that had carried another one.
	Kept bool
	// GaveUp is set if the caller left before the answer's end.
	GaveUp bool
}

// caller sends requests to one instance, on kept connections.
type caller struct {
	bed      *bed
	instance *instance
	client   *http.Client
}

func (b *bed) newCaller(i *instance) *caller {
	return &caller{bed: b, instance: i, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// lastRequest numbers the requests of a case.
var lastRequest atomic.Int64

func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

// send sends a request and reads the answer.
func (c *caller) send(ctx context.Context, q request) (p reply) {
	p.ID, p.Instance, p.Sent = newRequestID(), c.instance.name, time.Now()
	defer func() {
		detail := ""
		if p.Status >= http.StatusBadRequest {
			detail = " " + p.Body
		}
		c.bed.record.add("%s sent to %s at %.3f: status %d, complete %t, %d bytes%s", p.ID, p.Instance,
			p.Sent.Sub(c.bed.record.start).Seconds(), p.Status, p.Complete, len(p.Body), detail)
	}()
	defer func() { p.GaveUp = ctx.Err() != nil }()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { p.Kept = i.Reused }})
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.instance.front+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return p
	}
	r.Host = host
	r.Header.Set("X-Request-Id", p.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Prompt != "" {
		r.Header.Set("X-Model", modelName)
		r.Header.Set("X-Token-Usage", "6400,60")
		r.Header.Set("X-Prefix-Hash", q.Prompt)
	}
	res, err := c.client.Do(r)
	if err != nil {
		return p
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	p.Status, p.Stamp, p.Body, p.Complete = res.StatusCode, res.Header.Get("X-Instance-Stamp"), string(body), err == nil
	return p
}

// burst sends the requests of next, one each interval in turn to the callers, until
// next reports false, and returns the replies once all have arrived.
func burst(ctx context.Context, callers []*caller, interval time.Duration, next func(k int) (request, bool)) (replies []reply) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := 0; ; k++ {
		q, ok := next(k)
		if !ok || sleep(ctx, interval) != nil {
			break
		}
		c := callers[k%len(callers)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			p := c.send(ctx, q)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, p)
		}()
	}
	wg.Wait()
	return replies
}
