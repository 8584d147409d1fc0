package cacheevent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// eventTimeout bounds the time until the header of a stream is complete, and from
// the first to the last byte of an event.
const eventTimeout = 5 * time.Second

// errEventTimeout is the cause with which a stream is canceled that sends part of a
// header or of an event and not the rest of it.
var errEventTimeout = errors.New("header or event was not complete in time")

// timedBody is a response body that cancels its request when an event is not
// complete within eventTimeout. It is used by one goroutine.
type timedBody struct {
	r io.Reader
	// cancel ends the request; timer calls it unless it is stopped.
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// incomplete is set while an event has begun, and the timer is running.
	incomplete bool
	// newlines counts the line ends since the last byte that was none. The second one
	// ends an event.
	newlines int
}

// newTimedBody starts the timer. It runs until stop is called or, once r is set,
// until a Read ends with an event.
func newTimedBody(cancel context.CancelCauseFunc) *timedBody {
	return &timedBody{
		cancel: cancel, incomplete: true,
		timer: time.AfterFunc(eventTimeout, func() { cancel(errEventTimeout) }),
	}
}

// headerRead records that the header is complete and r is the body.
func (b *timedBody) headerRead(r io.Reader) {
	b.r = r
	b.setIncomplete(false)
}

// stop stops the timer.
func (b *timedBody) stop() { b.timer.Stop() }

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 {
		ended := b.scan(p[:n])
		if ended {
			b.setIncomplete(false)
		}
		b.setIncomplete(b.newlines < 2)
	}
	return n, err
}

// scan reports whether an event ends in p.
func (b *timedBody) scan(p []byte) (ended bool) {
	for _, c := range p {
		switch c {
		case '\n':
			b.newlines++
			ended = ended || b.newlines == 2
		case '\r':
		default:
			b.newlines = 0
		}
	}
	return ended
}

// setIncomplete starts the timer at the begin of an event and stops it at the end.
func (b *timedBody) setIncomplete(incomplete bool) {
	switch {
	case incomplete && !b.incomplete:
		b.timer.Reset(eventTimeout)
	case !incomplete:
		b.timer.Stop()
	}
	b.incomplete = incomplete
}
