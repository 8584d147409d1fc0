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

// callers sends the requests of a trace to the instances, through a simulated
// balancer, and checks the answers.
type callers struct {
	replay    *Replay
	transport *network.Transport
	texts     trace.Texts

	mu   sync.Mutex
	next int
	// skewTarget, if set, receives skewShare of the arrivals. skewCredit
	// accumulates that share; each whole unit is one request for skewTarget.
	skewTarget            *instance
	skewShare, skewCredit float64
}

// idlePerInstance is enough for the connections of a crest to be reused.
const idlePerInstance = 512

func newCallers(r *Replay) *callers {
	c := &callers{replay: r}
	c.transport = network.NewTransport(dialMarker{r.fleet.net.network(domainCallers)})
	c.transport.MaxIdleConnsPerHost = idlePerInstance
	return c
}

func (c *callers) close() { c.transport.CloseIdleConnections() }

// errDial marks errors that occurred before a connection was established. The
// balancer then tries the next instance.
var errDial = errors.New("no connection")

type dialMarker struct{ hbs.Network }

func (d dialMarker) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := d.Network.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return conn, nil
}

// result is what the caller observed of one transmission of a request.
type result struct {
	request *trace.Request
	// repeat is set for a repetition of an earlier transmission.
	repeat   bool
	instance *instance
	// sent is when the caller sent the request, firstToken when the first token
	// arrived and end when the answer ended. Without a token, firstToken is zero.
	sent, firstToken, end time.Time
	gaps                  []time.Duration
	outcome               hbs.Outcome
	reason                hbs.Reason
	// canceled is set if the caller closed the connection itself.
	canceled bool
	// connLost is set if the connection broke before an outcome was received.
	connLost bool
	// err is the error that ended the connection.
	err        error
	violations []Violation
}

// unansweredInStall reports whether a request with an idempotency key got no
// outcome from an instance that was stalled meanwhile.
func (r *result) unansweredInStall() bool {
	_, stalled := r.instance.stalledUntil(r.sent, r.end)
	return stalled && r.request.Key != "" && r.outcome == hbs.OutcomeUnknown
}

func (r *result) addViolation(v Violation) { r.violations = append(r.violations, v) }

// send sends q through the balancer and reads the answer.
func (c *callers) send(ctx context.Context, q *trace.Request, repeat bool) *result {
	res := &result{request: q, repeat: repeat, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, trace.Seconds(q.DeadlineSeconds)+answerGrace)
	defer cancel()
	if q.LeaveSeconds > 0 {
		leave := time.AfterFunc(trace.Seconds(q.LeaveSeconds), cancel)
		defer leave.Stop()
	}
	body := c.body(q)
	resp, err := c.connect(ctx, q, body, res)
	if err != nil {
		res.err = err
		c.recordDisconnect(ctx, res)
		return res
	}
	defer resp.Body.Close()
	c.readAnswer(ctx, resp, res)
	res.end = time.Now()
	return res
}

// connect tries instances until one accepts the connection.
func (c *callers) connect(ctx context.Context, q *trace.Request, body []byte, res *result) (resp *http.Response, err error) {
	for range 2 * len(c.replay.fleet.instances) {
		res.instance = c.pick()
		resp, err = c.transport.RoundTrip(c.newRequest(ctx, q, body, res.instance))
		if err == nil || !errors.Is(err, errDial) || ctx.Err() != nil {
			return resp, err
		}
	}
	return nil, err
}

// setSkew makes the balancer send a share of the arrivals to in; nil ends this.
func (c *callers) setSkew(in *instance, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skewTarget, c.skewShare, c.skewCredit = in, share, 0
}

// pick chooses the instance for a request as the balancer does: round-robin over
// the instances that it found ready, apart from the share of skewTarget.
func (c *callers) pick() *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skewCredit += c.skewShare
	if c.skewTarget != nil && c.skewCredit >= 1 && c.skewTarget.seenReady() {
		c.skewCredit--
		return c.skewTarget
	}
	all := c.replay.fleet.instances
	for range all {
		c.next++
		if in := all[c.next%len(all)]; in.seenReady() {
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
		// Hiding the reader's type keeps the transport from retrying the request by
		// itself.
		r = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.callersAddress().String()+path, r)
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

// completionBody is the body of a chat completion request.
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

// readAnswer reads an answer according to its status and content type.
func (c *callers) readAnswer(ctx context.Context, resp *http.Response, res *result) {
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

// refusalBody is the part of an error body that callers use.
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
		// The router passes on an error of the service itself unchanged.
		res.outcome = hbs.OutcomeFailed
		return
	}
	res.outcome = hbs.OutcomeUnknown
	res.addViolation(ViolationErrorWithoutOutcome)
}

// recordDisconnect records an answer that ended without an outcome.
func (c *callers) recordDisconnect(ctx context.Context, res *result) {
	res.end = time.Now()
	res.outcome = hbs.OutcomeUnknown
	if ctx.Err() != nil {
		if res.request.LeaveSeconds > 0 {
			res.canceled = true
			return
		}
		res.addViolation(ViolationNoAnswer)
		return
	}
	res.connLost = true
}
