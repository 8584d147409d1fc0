package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

const (
	// streamBuffer is how much of a stream is read at once, in bytes.
	streamBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// errPartial: the stream ended within an event.
var errPartial = errors.New("stream ended within an event")

// stream passes the events on (rule 5).
func (r *run) stream(ctx context.Context, res *http.Response) {
	s := &events{from: bufio.NewReaderSize(res.Body, streamBuffer), last: lastNumber(r.After)}
	for {
		batch, err := s.next()
		if len(batch) > 0 {
			r.firstToken()
			r.gap()
			if err := r.passEvents(res, batch); err != nil {
				r.broken(ctx, err)
				return
			}
		}
		if err == io.EOF {
			r.endStream(res, s)
			return
		}
		if err != nil {
			r.broken(ctx, err)
			r.goOn(s)
			return
		}
	}
}

// gap takes an arrival of events.
func (r *run) gap() {
	now := time.Now()
	last := r.arrived
	r.arrived = now
	if last.IsZero() {
		return
	}
	r.result.LongestPause = max(r.result.LongestPause, now.Sub(last))
	if r.Gap != nil {
		r.Gap(now.Sub(last))
	}
}

func (r *run) passEvents(res *http.Response, batch []byte) error {
	if err := r.start(res); err != nil {
		return err
	}
	return r.write(batch)
}

// endStream ends a stream that the endpoint ended properly.
func (r *run) endStream(res *http.Response, s *events) {
	r.result.OutputTokens = r.tokens(s.count)
	// An answer without an event still has to begin.
	if err := r.start(res); err != nil {
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
		r.result.End = hbs.EndCanceled
		return
	}
	r.result.End = hbs.EndComplete
}

// goOn tells where another attempt can go on with a stream that broke.
func (r *run) goOn(s *events) {
	r.result.OutputTokens = r.tokens(s.count)
	if r.result.End == hbs.EndBroken && r.result.Sent && r.Request.Class == hbs.ClassRepeatable && s.last > 0 {
		r.result.LastEvent = strconv.FormatInt(s.last, 10)
	}
}

// tokens returns the number of tokens in so many events.
func (r *run) tokens(events int) int {
	if r.EventTokens == nil {
		return events
	}
	return events * r.EventTokens(r.Placement.Endpoint.Service)
}

func lastNumber(after string) int64 {
	n, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// events cuts a stream into whole events.
type events struct {
	from *bufio.Reader
	// last is the number of the last event that was returned; 0 without one.
	last  int64
	count int

	// batch holds whole events that were not returned yet, event the lines of one
	// that is not whole.
	batch, event []byte
	number       int64
	// line is where the last line of event begins.
	line int
}

// next returns the whole events that have arrived, at least one unless the
// stream ended. It waits only while it has none. The slice is valid until the
// next call.
func (e *events) next() ([]byte, error) {
	e.batch = e.batch[:0]
	for {
		if len(e.batch) > 0 && e.from.Buffered() == 0 {
			return e.batch, nil
		}
		line, err := e.from.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(bytes.TrimSpace(e.event)) > 0:
			return e.batch, errPartial
		case err != nil:
			return e.batch, err
		default:
			e.take()
		}
		if len(e.event) > maxEvent {
			return e.batch, errors.Newf("event exceeds %d bytes", maxEvent)
		}
	}
}

// take looks at the last line of the event.
func (e *events) take() {
	text := bytes.TrimRight(e.event[e.line:], "\r\n")
	e.line = len(e.event)
	if len(text) == 0 {
		e.end()
		return
	}
	value, ok := bytes.CutPrefix(text, []byte("id:"))
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.number = n
	}
}

// end finishes an event. One that the caller has already is left out.
func (e *events) end() {
	if e.number == 0 || e.number > e.last {
		e.batch = append(e.batch, e.event...)
		e.count++
		if e.number > 0 {
			e.last = e.number
		}
	}
	e.event, e.number, e.line = e.event[:0], 0, 0
}
