package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/attempt"
	"github.com/hornbeamstage/hornbeamstage/memory"
)

// passBuffered buffers a response that is not a stream and passes it on (rule 4).
// What exceeds the buffer is passed on as it arrives.
func (r *run) passBuffered(ctx context.Context, res *http.Response) {
	data, whole, err := r.buffers.Read(res.Body, res.ContentLength, int(r.Policy.Number(attempt.KnobWholeBytes, r.scope())))
	if err != nil {
		r.failBroken(ctx, err)
		return
	}
	r.recordFirstToken()
	switch {
	case res.StatusCode >= 400 && whole && r.Request.CanHold(size(data)):
		r.bufferError(res, bytes.Join(data, nil))
		return
	case res.StatusCode >= 500 && r.Request.Class == hbs.ClassRepeatable:
		// Another endpoint may do better, but only if the caller got nothing.
		r.result.Fail(http.StatusText(res.StatusCode) + ": response is too long to be buffered")
		return
	}
	if err := r.passBody(res, data, whole); err != nil {
		r.failBroken(ctx, err)
		return
	}
	r.result.End = hbs.EndComplete
	if res.StatusCode >= 400 {
		r.result.End = hbs.EndFailed
	}
}

// size returns the number of bytes in the parts of a body.
func size(parts [][]byte) (n int) {
	for _, p := range parts {
		n += len(p)
	}
	return n
}

// bufferError stores an endpoint's error response, so that the dispatcher can retry or
// pass it on.
func (r *run) bufferError(res *http.Response, body []byte) {
	h := responseHeader(res.Header)
	h.Del("Content-Length")
	r.result.BufferedError = &attempt.ErrorResponse{Status: res.StatusCode, Header: h, Body: body}
	r.result.Fail(http.StatusText(res.StatusCode))
}

// passBody passes a response on: the parts of its body that were buffered and, unless
// they are the whole of it, the rest.
func (r *run) passBody(res *http.Response, data [][]byte, whole bool) error {
	if err := r.startResponse(res); err != nil {
		return err
	}
	for _, part := range data {
		if err := r.write(part); err != nil {
			return err
		}
	}
	if whole {
		return nil
	}
	_, err := io.CopyBuffer(writerFunc(r.write), res.Body, make([]byte, memory.ResponseStep))
	return err
}

// writerFunc adapts a function to io.Writer.
type writerFunc func([]byte) error

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) {
	if err := f(p); err != nil {
		return 0, err
	}
	return len(p), nil
}
