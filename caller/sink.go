package caller

import (
	"net/http"
	"time"

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

func (s *Sink) extendWriteDeadline() error {
	return s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout))
}
