package attempt

import (
	"io"
	"net/http"

	"github.com/hornbeamstage/hornbeamstage/caller"
	"github.com/hornbeamstage/hornbeamstage/relay"
)

// Unframed reports whether a response has neither a length nor chunks, so that it ends
// with its connection.
func Unframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// unframedEvents reports whether a response is a stream of events with neither a
// length nor chunks, so that only its last event shows whether it is complete.
func unframedEvents(res *http.Response) bool {
	return Unframed(res) && caller.IsEvents(res.Header)
}

// eventEndReader reads a stream of events and returns relay.ErrEnded if it ends
// within an event.
type eventEndReader struct {
	from io.Reader
	// inEvent is set within an event, inLine within a line of it. afterCR is set
	// after a carriage return, which ends a line alone or with a line feed.
	inEvent, inLine, afterCR bool
}

// Read implements io.Reader.
func (e *eventEndReader) Read(p []byte) (int, error) {
	n, err := e.from.Read(p)
	for _, b := range p[:n] {
		e.parse(b)
	}
	if err == io.EOF && e.inEvent {
		err = relay.ErrEnded
	}
	return n, err
}

// parse processes one byte. An empty line ends an event.
func (e *eventEndReader) parse(b byte) {
	switch {
	case b == '\n' && e.afterCR:
		e.afterCR = false
	case b == '\n', b == '\r':
		e.inEvent, e.inLine, e.afterCR = e.inLine, false, b == '\r'
	default:
		e.inEvent, e.inLine, e.afterCR = true, true, false
	}
}
