package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
	"github.com/hornbeamstage/hornbeamstage/trace"
)

// callers sends the requests of a trace and keeps what came back.
type callers struct {
	replay    *Replay
	transport *http.Transport
	texts     trace.Texts

	mu   sync.Mutex
	next int
	// leaning gets leanShare of the arrivals while it is set; leanDue is the
	// part of an arrival that it is owed.
	leaning            *instance
	leanShare, leanDue float64
}

// idlePerInstance keeps the connections of a crest open.
const idlePerInstance = 512

func newCallers(r *Replay) *callers {
	c := &callers{replay: r}
	c.transport = network.Transport(dialMarker{r.fleet.net.network(domainCallers)})
	c.transport.MaxIdleConnsPerHost = idlePerInstance
	return c
}

func (c *callers) close() { c.transport.CloseIdleConnections() }

// errDial marks errors before a connection was made: the balancer tries the
// next instance then.
var errDial = errors.New("no connection")

type dialMarker struct{ hbs.Network }

func (d dialMarker) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := d.Network.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return conn, nil
}

// result is what one sending of a request came to, as its caller saw it.
type result struct {
	request *trace.Request
	again   bool
	in      *instance
	// due is the planned time of sending, first that of the first token, end
	// that of the last byte; zero when there was none.
	due, first, end time.Time
	gaps            []time.Duration
	outcome         hbs.Outcome
	reason          hbs.Reason
	// left is set when the caller closed the connection itself.
	left bool
	// lost is set when the connection ended without any word.
	lost bool
	// err is what the connection ended with.
	err      error
	breaches []Promise
}

// stuck reports whether a keyed request got no answer from a stalled instance.
func (r *result) stuck() bool {
	_, held := r.in.stalledUntil(r.due, r.end)
	return held && r.request.Key != "" && r.outcome == hbs.OutcomeUnknown
}

func (r *result) breach(p Promise) { r.breaches = append(r.breaches, p) }

// send sends q through the balancer and reads the answer.
func (c *callers) send(ctx context.Context, q *trace.Request, again bool) *result {
	res := &result{request: q, again: again, due: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, trace.Seconds(q.DeadlineSeconds)+patience)
	defer cancel()
	if q.LeaveSeconds > 0 {
		leave := time.AfterFunc(trace.Seconds(q.LeaveSeconds), cancel)
		defer leave.Stop()
	}
	body := c.body(q)
	resp, err := c.connect(ctx, q, body, res)
	if err != nil {
		res.err = err
		c.fail(ctx, res)
		return res
	}
	defer resp.Body.Close()
	c.read(ctx, resp, res)
	res.end = time.Now()
	return res
}

// connect offers the request to instances until one takes the connection.
func (c *callers) connect(ctx context.Context, q *trace.Request, body []byte, res *result) (resp *http.Response, err error) {
	for range 2 * len(c.replay.fleet.instances) {
		res.in = c.pick()
		resp, err = c.transport.RoundTrip(c.newRequest(ctx, q, body, res.in))
		if err == nil || !errors.Is(err, errDial) || ctx.Err() != nil {
			return resp, err
		}
	}
	return nil, err
}

// lean lets the balancer send a share of the arrivals to in; nil ends it.
func (c *callers) lean(in *instance, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaning, c.leanShare, c.leanDue = in, share, 0
}

// pick is the balancer: it rotates over the instances that it believes ready,
// but for the share of the one that it leans on.
func (c *callers) pick() *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leanDue += c.leanShare
	if c.leaning != nil && c.leanDue >= 1 && c.leaning.believedReady() {
		c.leanDue--
		return c.leaning
	}
	all := c.replay.fleet.instances
	for range all {
		c.next++
		if in := all[c.next%len(all)]; in.believedReady() {
			return in
		}
	}
	c.next++
	return all[c.next%len(all)]
}

func (c *callers) newRequest(ctx context.Context, q *trace.Request, body []byte, in *instance) *http.Request {
	path := "/v1/chat/completions"
	method := http.MethodPost
	if q.Service != "" {
		method = q.Method
		path = fmt.Sprintf("/services/%s%s", q.Service, q.Path)
	}
	var r io.Reader
	if method == http.MethodGet {
		path += fmt.Sprintf("?id=%s&work=%g", q.ID, q.WorkSeconds)
	} else {
		// Hiding the type keeps the transport from sending the body twice.
		r = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers().String()+path, r)
	c.replay.fleet.must(err)
	if r != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+bearerKey(q.Workspace))
	req.Header.Set(caller.HeaderDeadline, trace.Seconds(q.DeadlineSeconds).String())
	if q.Priority != "" {
		req.Header.Set(caller.HeaderPriority, string(q.Priority))
	}
	if q.Key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, q.Key)
	}
	return req
}

// completionBody is the body of a model request.
type completionBody struct {
	Model         hbs.ModelName   `json:"model"`
	Messages      []trace.Message `json:"messages"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions *streamOptions  `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (c *callers) body(q *trace.Request) []byte {
	if q.Service != "" {
		return c.encode(service.Call{ID: q.ID, Work: q.WorkSeconds})
	}
	b := completionBody{
		Model:     q.Model,
		Messages:  c.texts.Messages(q),
		MaxTokens: q.Output,
		Stream:    !q.Whole,
	}
	if b.Stream {
		b.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return c.encode(b)
}

func (c *callers) encode(v any) []byte {
	b, err := json.Marshal(v)
	c.replay.fleet.must(err)
	return b
}

// read sorts an answer by its status and kind.
func (c *callers) read(ctx context.Context, resp *http.Response, res *result) {
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		c.readRefusal(resp, res)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.readStream(ctx, resp.Body, res)
	case res.request.Service != "":
		c.readCall(ctx, resp.Body, res)
	default:
		c.readWhole(ctx, resp.Body, res)
	}
}

// refusalBody is the part of an error that callers rely on.
type refusalBody struct {
	Error struct {
		Code    hbs.Reason  `json:"code"`
		Outcome hbs.Outcome `json:"outcome"`
	} `json:"error"`
}

func (c *callers) readRefusal(resp *http.Response, res *result) {
	res.outcome = hbs.Outcome(resp.Header.Get(caller.HeaderOutcome))
	res.reason = hbs.Reason(resp.Header.Get(caller.HeaderReason))
	_, _ = io.Copy(io.Discard, resp.Body)
	if res.outcome != "" {
		return
	}
	if res.request.Service != "" && resp.StatusCode == http.StatusInternalServerError {
		// A service's own error passes through as it is.
		res.outcome = hbs.OutcomeFailed
		return
	}
	res.outcome = hbs.OutcomeUnknown
	res.breach(PromiseNoOutcome)
}

// fail notes an answer that broke off without a word.
func (c *callers) fail(ctx context.Context, res *result) {
	res.end = time.Now()
	res.outcome = hbs.OutcomeUnknown
	if ctx.Err() != nil {
		if res.request.LeaveSeconds > 0 {
			res.left = true
			return
		}
		res.breach(PromiseNoAnswer)
		return
	}
	res.lost = true
}
