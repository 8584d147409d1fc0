package attempt

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

const (
	// maxErrorBytes bounds a buffered error response.
	maxErrorBytes = 256 << 10
	// copyBufferBytes is the size of the buffer for copying the rest of a response
	// that exceeds KnobWholeBytes.
	copyBufferBytes = 16 << 10
)

// Error codes by which an engine says that it did not run the request (rule 3).
const (
	codeNotRun          = "not_run"
	codeWeightsMismatch = "weights_mismatch"
)

// buffersErrors reports whether error responses are buffered because the request
// may be tried elsewhere. Those of a plain service that must not run a request
// twice are passed on directly.
func (r *run) buffersErrors() bool {
	return r.engine() || r.Request.Class == hbs.ClassRepeatable
}

// bufferError buffers an error response for the dispatcher. One that is longer than
// maxErrorBytes is dropped: part of it would look like all of it.
func (r *run) bufferError(ctx context.Context, res *http.Response) {
	body, err := network.ReadBody(res.Body, maxErrorBytes)
	if errors.Is(err, network.ErrTooLong) {
		r.result.Fail(http.StatusText(res.StatusCode) + ": " + err.Error())
		return
	}
	if err != nil {
		r.endBroken(ctx, err)
		return
	}
	if !r.Request.CanHold(len(body)) {
		r.result.Fail(http.StatusText(res.StatusCode) + ": " + memory.ErrResponses.Error())
		return
	}
	r.result.BufferedError = &ErrorResponse{Status: res.StatusCode, Header: responseHeader(res.Header), Body: body}
	r.result.BufferedError.Header.Del("Content-Length")
	if r.engine() && isNotRunError(res.StatusCode, body) {
		r.result.End = hbs.EndRefused
		r.result.Refusal = hbs.NotRun(hbs.ReasonNoEndpoint, "the engine refused", 0)
		return
	}
	r.result.Fail(http.StatusText(res.StatusCode))
}

func isNotRunError(status int, body []byte) bool {
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) != nil {
		return false
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return parsed.Error.Code == codeNotRun
	case http.StatusConflict:
		return parsed.Error.Code == codeWeightsMismatch
	}
	return false
}

// relayPlain passes on a response that is not a checked stream. It buffers the
// response until it is complete or reaches KnobWholeBytes.
func (r *run) relayPlain(ctx context.Context, res *http.Response) {
	whole, err := r.readWhole(res)
	if err != nil {
		r.endBroken(ctx, err)
		return
	}
	if !r.win() {
		r.result.End = hbs.EndCanceled
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
		return
	}
	r.result.Started = true
	if err := r.sendPlain(res, whole); err != nil {
		r.endBroken(ctx, err)
		r.markIncomplete()
		return
	}
	r.endPlain(res, whole)
}

// readWhole reads the response up to KnobWholeBytes, or as far as there is memory. Event
// streams of plain services are not buffered, since that would delay their events.
func (r *run) readWhole(res *http.Response) (data [][]byte, err error) {
	if caller.IsEvents(res.Header) {
		return nil, nil
	}
	limit := int(r.Policy.Number(KnobWholeBytes, r.scope()))
	data, _, err = r.held.Read(&progressReader{res.Body, r}, res.ContentLength, limit)
	return data, err
}

// progressReader resets the watchdog whenever data arrives.
type progressReader struct {
	from io.Reader
	r    *run
}

// Read implements io.Reader.
func (f *progressReader) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	if n > 0 {
		f.r.watchdog.reset()
		f.r.firstByte()
	}
	return n, err
}

// firstByte reports the time to the first byte of a plain service. It ignores
// engines: a response of an engine that is not streamed does not show when the
// first token was generated.
func (r *run) firstByte() {
	if !r.engine() {
		r.firstToken(-1)
	}
}

func (r *run) sendPlain(res *http.Response, whole [][]byte) error {
	h := responseHeader(res.Header)
	if res.StatusCode >= 400 {
		h.Set("X-Outcome", string(hbs.OutcomeFailed))
		h.Set("X-Reason", string(hbs.ReasonEndpointError))
	}
	if err := r.start(res.StatusCode, h); err != nil {
		return err
	}
	for _, part := range whole {
		if err := r.write(part); err != nil {
			return err
		}
	}
	var rest io.Reader = &progressReader{res.Body, r}
	if unframedEvents(res) {
		rest = &eventEndReader{from: rest}
	}
	return r.copyRest(rest)
}

func (r *run) copyRest(from io.Reader) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if err := r.write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *run) endPlain(res *http.Response, whole [][]byte) {
	r.result.End = hbs.EndComplete
	if res.StatusCode >= 400 {
		r.result.End = hbs.EndFailed
		return
	}
	if r.engine() {
		u := relay.ReadUsage(bytes.Join(whole, nil))
		r.result.CachedTokens = u.CachedTokens
		r.result.OutputTokens = max(u.OutputTokens, 0)
	}
}
