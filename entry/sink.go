package entry

import (
	"bytes"
	"net/http"

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
