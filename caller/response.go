package caller

import (
	"bytes"
	"io"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// refusalRecorder is an http.ResponseWriter that records a response in memory.
type refusalRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *refusalRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *refusalRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *refusalRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// RefusalResponse returns r as the last response on a connection. It is for code that
// has no ResponseWriter.
func RefusalResponse(r *hbs.Refusal) *http.Response {
	rec := &refusalRecorder{header: http.Header{}}
	WriteRefusal(rec, r)
	return &http.Response{
		StatusCode:    rec.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        rec.header,
		Body:          io.NopCloser(&rec.body),
		ContentLength: int64(rec.body.Len()),
		Close:         true,
	}
}
