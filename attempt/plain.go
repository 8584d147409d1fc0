package attempt

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// Bounds of answers that are not streamed.
const (
	heldBytes = 256 << 10
	copyBytes = 16 << 10
)

// The error codes with which an engine says that it ran nothing (rule 3).
const (
	codeNotRun          = "not_run"
	codeWeightsMismatch = "weights_mismatch"
)

// holds reports whether error answers are held back, because the request may
// be tried elsewhere. Those of a plain service that must not run twice are
// passed on as they come.
func (r *run) holds() bool {
	return r.engine() || r.Request.Class == hbs.ClassRepeatable
}

// hold keeps an error answer for the dispatcher. One that is too long to be
// held is cut; engines' errors are short.
func (r *run) hold(ctx context.Context, res *http.Response) {
	body, err := io.ReadAll(io.LimitReader(res.Body, heldBytes))
	if err != nil {
		r.broken(ctx, err)
		return
	}
	r.result.Held = &Held{Status: res.StatusCode, Header: answerHeader(res.Header), Body: body}
	r.result.Held.Header.Del("Content-Length")
	if r.engine() && saysNotRun(res.StatusCode, body) {
		r.result.End = hbs.EndRefused
		r.result.Refusal = hbs.NotRun(hbs.ReasonNoEndpoint, "the engine refused", 0)
		return
	}
	r.result.End = hbs.EndFailed
	r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeFailed, Reason: hbs.ReasonEndpointError, Detail: http.StatusText(res.StatusCode)}
}

func saysNotRun(status int, body []byte) bool {
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return answer.Error.Code == codeNotRun
	case http.StatusConflict:
		return answer.Error.Code == codeWeightsMismatch
	}
	return false
}

// plain passes on an answer that is not a checked stream. It is held until it
// is whole or reaches the bound of KnobWholeBytes.
func (r *run) plain(ctx context.Context, res *http.Response) {
	whole, err := r.readWhole(res)
	if err != nil {
		r.broken(ctx, err)
		return
	}
	if !r.win() {
		r.result.End = hbs.EndCanceled
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
		return
	}
	r.result.Sent = true
	if err := r.passPlain(res, whole); err != nil {
		r.broken(ctx, err)
		r.incomplete()
		return
	}
	r.endPlain(res, whole)
}

// readWhole reads the answer up to the bound. Event streams of plain services
// are not held, since their events must not wait.
func (r *run) readWhole(res *http.Response) ([]byte, error) {
	if IsEvents(res.Header) {
		return nil, nil
	}
	limit := int64(r.Policy.Number(KnobWholeBytes, r.scope()))
	var buf bytes.Buffer
	_, err := io.Copy(&buf, io.LimitReader(&fedReader{res.Body, r}, limit))
	return buf.Bytes(), err
}

// fedReader tells the watchdog of what arrives.
type fedReader struct {
	from io.Reader
	r    *run
}

// Read implements io.Reader.
func (f *fedReader) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	if n > 0 {
		f.r.watchdog.fed()
		f.r.firstByte()
	}
	return n, err
}

// firstByte tells the time to the first byte of a plain service. An engine's
// answer that is not streamed tells nothing of its first token.
func (r *run) firstByte() {
	if !r.engine() {
		r.firstToken(-1)
	}
}

func (r *run) passPlain(res *http.Response, whole []byte) error {
	h := answerHeader(res.Header)
	if res.StatusCode >= 400 {
		h.Set("X-Outcome", string(hbs.OutcomeFailed))
		h.Set("X-Reason", string(hbs.ReasonEndpointError))
	}
	if err := r.start(res.StatusCode, h); err != nil {
		return err
	}
	if len(whole) > 0 {
		if err := r.write(whole); err != nil {
			return err
		}
	}
	return r.copyRest(&fedReader{res.Body, r})
}

func (r *run) copyRest(from io.Reader) error {
	buf := make([]byte, copyBytes)
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

func (r *run) endPlain(res *http.Response, whole []byte) {
	r.result.End = hbs.EndComplete
	if res.StatusCode >= 400 {
		r.result.End = hbs.EndFailed
		return
	}
	if r.engine() {
		u := relay.ReadUsage(whole)
		r.result.CachedTokens = u.CachedTokens
		r.result.OutputTokens = max(u.OutputTokens, 0)
	}
}
