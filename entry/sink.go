package entry

import (
	"bytes"
	"net/http"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// recordSink keeps a copy of an answer while it passes. It goes on when the
// caller has left, so that the copy becomes whole.
type recordSink struct {
	hbs.Sink
	// limit bounds body; a longer answer sets over and is not kept.
	limit  int
	status int
	header http.Header
	body   bytes.Buffer
	over   bool
	// gone is set once the caller could not be written to.
	gone bool
}

// Start implements hornbeamstage.Sink.
func (s *recordSink) Start(status int, header http.Header) error {
	s.status = status
	s.header = header.Clone()
	s.gone = s.Sink.Start(status, header) != nil
	return nil
}

// Write implements hornbeamstage.Sink.
func (s *recordSink) Write(p []byte) error {
	s.keep(p)
	if !s.gone {
		s.gone = s.Sink.Write(p) != nil
	}
	return nil
}

func (s *recordSink) keep(p []byte) {
	s.over = s.over || s.body.Len()+len(p) > s.limit
	if !s.over {
		s.body.Write(p)
	}
}

// complete reports whether the copy is the endpoint's whole answer.
func (s *recordSink) complete(o hbs.Outcome) bool {
	return s.status != 0 && o != hbs.OutcomeUnknown
}

// timingSink measures the time to the first write and between writes.
type timingSink struct {
	hbs.Sink
	arrived     time.Time
	first, last time.Time
	writes      int
	began       bool
}

// Start implements hornbeamstage.Sink.
func (s *timingSink) Start(status int, header http.Header) error {
	s.began = true
	return s.Sink.Start(status, header)
}

// Write implements hornbeamstage.Sink.
func (s *timingSink) Write(p []byte) error {
	s.last = time.Now()
	if s.writes == 0 {
		s.first = s.last
	}
	s.writes++
	return s.Sink.Write(p)
}

// firstToken returns the time from arrival to the first write, 0 without one.
func (s *timingSink) firstToken() time.Duration {
	if s.writes == 0 {
		return 0
	}
	return s.first.Sub(s.arrived)
}

// interToken returns the mean time between writes, 0 with fewer than two.
func (s *timingSink) interToken() time.Duration {
	if s.writes < 2 {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(s.writes-1)
}
