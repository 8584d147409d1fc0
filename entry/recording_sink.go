package entry

import (
	"bytes"
	"net/http"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// recordingSink copies an answer while forwarding it to the caller. It continues
// after the caller disconnects, so that the copy is complete.
type recordingSink struct {
	hbs.Sink
	// limit is the maximum size of body in bytes. A longer answer sets overLimit and
	// is not replayed.
	limit     int
	status    int
	header    http.Header
	body      bytes.Buffer
	overLimit bool
	// disconnected is set after a write to the caller failed.
	disconnected bool
}

// Start implements hornbeamstage.Sink.
func (s *recordingSink) Start(status int, header http.Header) error {
	s.status = status
	s.header = header.Clone()
	s.disconnected = s.Sink.Start(status, header) != nil
	return nil
}

// Write implements hornbeamstage.Sink.
func (s *recordingSink) Write(p []byte) error {
	s.record(p)
	if !s.disconnected {
		s.disconnected = s.Sink.Write(p) != nil
	}
	return nil
}

// record appends p to the copy unless that would exceed the limit.
func (s *recordingSink) record(p []byte) {
	s.overLimit = s.overLimit || s.body.Len()+len(p) > s.limit
	if !s.overLimit {
		s.body.Write(p)
	}
}

// complete reports whether the endpoint's whole answer was received. If overLimit
// is set, the copy has only a part of the body.
func (s *recordingSink) complete(o hbs.Outcome) bool {
	return s.status != 0 && o != hbs.OutcomeUnknown
}
