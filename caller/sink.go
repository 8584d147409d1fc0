package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Sink writes one answer to a caller.
type Sink struct {
	// Began is set once the status was written.
	Began bool
	// FirstWrite and LastWrite are when the body was first and last written to;
	// zero before.
	FirstWrite, LastWrite time.Time
	// Writes counts the writes of the body.
	Writes int

	w http.ResponseWriter
	c *http.ResponseController
	// wait bounds one write, so that a stalled caller does not hold an endpoint.
	wait time.Duration
}

var _ hbs.Sink = (*Sink)(nil)

// NewSink returns a sink that writes to w. Each write may take up to wait.
func NewSink(w http.ResponseWriter, wait time.Duration) *Sink {
	return &Sink{w: w, c: http.NewResponseController(w), wait: wait}
}

// Start implements hornbeamstage.Sink.
func (s *Sink) Start(status int, header http.Header) error {
	s.Began = true
	for name, values := range header {
		s.w.Header()[name] = values
	}
	if err := s.extend(); err != nil {
		return err
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements hornbeamstage.Sink.
func (s *Sink) Write(p []byte) error {
	if err := s.extend(); err != nil {
		return err
	}
	s.LastWrite = time.Now()
	if s.Writes == 0 {
		s.FirstWrite = s.LastWrite
	}
	s.Writes++
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.c.Flush()
}

// FirstToken returns the time from arrival to the first write, 0 without one.
func (s *Sink) FirstToken(arrived time.Time) time.Duration {
	if s.Writes == 0 {
		return 0
	}
	return s.FirstWrite.Sub(arrived)
}

// InterToken returns the mean time between writes, 0 with fewer than two.
func (s *Sink) InterToken() time.Duration {
	if s.Writes < 2 {
		return 0
	}
	return s.LastWrite.Sub(s.FirstWrite) / time.Duration(s.Writes-1)
}

// ReadBody reads the request's body, at most limit bytes within wait. Its error is
// a *hornbeamstage.Refusal.
func (s *Sink) ReadBody(body io.ReadCloser, wait time.Duration, limit int64) ([]byte, error) {
	if err := s.c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "set read deadline"))
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, hbs.NotRun(hbs.ReasonTooLarge, fmt.Sprintf("more than %d bytes", tooLarge.Limit), 0)
	}
	if err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "read body"))
	}
	// The server watches for the caller's leaving only without a deadline.
	if err := s.c.SetReadDeadline(time.Time{}); err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "lift read deadline"))
	}
	return data, nil
}

func (s *Sink) extend() error {
	return s.c.SetWriteDeadline(time.Now().Add(s.wait))
}
