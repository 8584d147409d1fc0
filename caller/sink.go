package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Sink writes one response to a caller.
type Sink struct {
	// Started is set by Start before the status is written.
	Started bool
	// EventStream is set by Start if the response is a stream of server-sent events.
	EventStream bool
	// FirstWrite and LastWrite are the times of the first and last write to the body;
	// zero before the first.
	FirstWrite, LastWrite time.Time
	// Writes is the number of writes to the body.
	Writes int

	w  http.ResponseWriter
	rc *http.ResponseController
	// writeTimeout bounds each write, so that a caller that stops reading does not
	// occupy an endpoint.
	writeTimeout time.Duration
}

var _ hbs.Sink = (*Sink)(nil)

// NewSink returns a Sink that writes to w. Each write may take up to writeTimeout.
func NewSink(w http.ResponseWriter, writeTimeout time.Duration) *Sink {
	return &Sink{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Start implements hornbeamstage.Sink.
func (s *Sink) Start(status int, header http.Header) error {
	s.Started = true
	s.EventStream = IsEvents(header)
	for name, values := range header {
		s.w.Header()[name] = values
	}
	if err := s.extendWriteDeadline(); err != nil {
		return err
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements hornbeamstage.Sink.
func (s *Sink) Write(p []byte) error {
	if err := s.extendWriteDeadline(); err != nil {
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
	return s.rc.Flush()
}

// TimeToFirstToken returns the time from arrived to the first write, or 0
// without a write.
func (s *Sink) TimeToFirstToken(arrived time.Time) time.Duration {
	if s.Writes == 0 {
		return 0
	}
	return s.FirstWrite.Sub(arrived)
}

// InterToken returns the mean time between writes, or 0 with fewer than two.
func (s *Sink) InterToken() time.Duration {
	if s.Writes < 2 {
		return 0
	}
	return s.LastWrite.Sub(s.FirstWrite) / time.Duration(s.Writes-1)
}

// ReadBody reads a request body of at most limit bytes within the timeout. Its error
// is a *hornbeamstage.Refusal.
func (s *Sink) ReadBody(body io.ReadCloser, timeout time.Duration, limit int64) ([]byte, error) {
	if err := s.rc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
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
	// net/http detects that the caller disconnects only without a read deadline.
	if err := s.rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "lift read deadline"))
	}
	return data, nil
}

func (s *Sink) extendWriteDeadline() error {
	return s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout))
}
