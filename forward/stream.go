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
	"github.com/hornbeamstage/hornbeamstage/memory"
)

const (
	// streamBuffer is the size of the read buffer of a stream, in bytes.
	streamBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var (
	// errPartialEvent is returned for a stream that ends within an event.
	errPartialEvent = errors.New("stream ended within an event")
	// errMissingEvent is returned for a resumed stream that leaves out an event.
	errMissingEvent = errors.New("resumed stream leaves out an event")
)

// passStream passes the events of a stream on (rule 5).
func (r *run) passStream(ctx context.Context, res *http.Response) {
	s := &eventReader{src: bufio.NewReaderSize(res.Body, streamBuffer), lastID: parseEventID(r.ResumeAfter), consecutive: r.Consecutive, buffers: &r.buffers}
	for {
		batch, err := s.next()
		if len(batch) > 0 {
			r.recordFirstToken()
			r.recordGap()
			if err := r.passEvents(ctx, res, batch); err != nil {
				r.failBroken(ctx, err)
				return
			}
		}
		if err == io.EOF {
			r.endStream(ctx, res, s)
			return
		}
		if err != nil {
			r.failBroken(ctx, err)
			r.setResumePoint(s)
			return
		}
	}
}

// recordGap records the time since the previous arrival of events.
func (r *run) recordGap() {
	now := time.Now()
	last := r.lastArrival
	r.lastArrival = now
	if last.IsZero() {
		return
	}
	r.result.LongestPause = max(r.result.LongestPause, now.Sub(last))
	if r.OnGap != nil {
		r.OnGap(now.Sub(last))
	}
}

func (r *run) passEvents(ctx context.Context, res *http.Response, batch []byte) error {
	if err := r.startStream(ctx, res); err != nil {
		return err
	}
	return r.write(batch)
}

// startStream starts a stream like startResponse.
func (r *run) startStream(ctx context.Context, res *http.Response) error {
	if !r.result.Started && r.ResumeAfter == "" && r.Begin != nil {
		r.Begin(ctx)
	}
	return r.startResponse(res)
}

// endStream records the end of a stream that the endpoint ended properly.
func (r *run) endStream(ctx context.Context, res *http.Response, s *eventReader) {
	r.result.OutputTokens = r.tokenCount(s.count)
	// A response without events still has to be started.
	if err := r.startStream(ctx, res); err != nil {
		r.result.Refusal = &hbs.Refusal{Outcome: hbs.OutcomeUnknown, Reason: hbs.ReasonCanceled}
		r.result.End = hbs.EndCanceled
		return
	}
	r.result.End = hbs.EndComplete
}

// setResumePoint records the event after which another attempt can resume a broken
// stream.
func (r *run) setResumePoint(s *eventReader) {
	r.result.OutputTokens = r.tokenCount(s.count)
	if r.result.End == hbs.EndBroken && r.result.Started && r.Request.Class == hbs.ClassRepeatable && s.lastID > 0 {
		r.result.LastEvent = strconv.FormatInt(s.lastID, 10)
		r.result.Consecutive = s.consecutive
	}
}

// tokenCount returns the number of tokens in the given number of events.
func (r *run) tokenCount(events int) int {
	if r.EventTokens == nil {
		return events
	}
	return events * r.EventTokens(r.Placement.Endpoint.Service)
}

// parseEventID returns the number of an event ID, or 0 if it is no number.
func parseEventID(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// eventReader splits a stream into complete events and skips those that the caller
// already has.
type eventReader struct {
	src *bufio.Reader
	// lastID is the ID of the last event that was returned or that the caller already
	// had; 0 without one.
	lastID int64
	// consecutive is set if the IDs of events are known to be consecutive. The first
	// event that another endpoint adds then must have the next ID.
	consecutive bool
	// count is the number of events that were returned, numbered the number of those
	// with an ID.
	count, numbered int

	// batch has complete events to return, event the lines of an incomplete one.
	batch, event []byte
	// id is the ID of the incomplete event; 0 without one.
	id int64
	// lineStart is the offset of the last line in event.
	lineStart int
	// buffers accounts for what event has beyond streamBuffer; nil means no limit.
	buffers *memory.Response
}

// next returns the complete events that have arrived, at least one unless the
// stream ended. It blocks only while there is none. The slice is valid until the
// next call.
func (e *eventReader) next() ([]byte, error) {
	e.batch = e.batch[:0]
	for {
		if len(e.batch) > 0 && !e.hasLine() {
			return e.batch, nil
		}
		line, err := e.src.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(e.event) > 0:
			return e.batch, errPartialEvent
		case err != nil:
			return e.batch, err
		default:
			if err := e.parseLine(); err != nil {
				return e.batch, err
			}
		}
		if err := e.checkSize(); err != nil {
			return e.batch, err
		}
	}
}

// hasLine reports whether a complete line has arrived.
func (e *eventReader) hasLine() bool {
	// Peek of what is buffered can't fail.
	arrived, _ := e.src.Peek(e.src.Buffered())
	return bytes.IndexByte(arrived, '\n') >= 0
}

// checkSize returns an error if the incomplete event is too long.
func (e *eventReader) checkSize() error {
	if len(e.event) > maxEvent {
		return errors.Newf("event exceeds %d bytes", maxEvent)
	}
	if e.buffers != nil && !e.buffers.GrowTo(int64(len(e.event))-streamBuffer) {
		return memory.ErrResponses
	}
	return nil
}

// parseLine parses the last line of the event.
func (e *eventReader) parseLine() error {
	text := bytes.TrimRight(e.event[e.lineStart:], "\r\n")
	e.lineStart = len(e.event)
	if len(text) == 0 {
		return e.endEvent()
	}
	value, ok := bytes.CutPrefix(text, []byte("id:"))
	if !ok {
		return nil
	}
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.id = n
	}
	return nil
}

// endEvent completes an event. It skips one that the caller already has.
func (e *eventReader) endEvent() error {
	if e.id > e.lastID && e.consecutive && e.numbered == 0 && e.id != e.lastID+1 {
		return errors.Wrapf(errMissingEvent, "event %d after %d", e.id, e.lastID)
	}
	if e.id == 0 || e.id > e.lastID {
		e.batch = append(e.batch, e.event...)
		e.count++
		e.trackID()
	}
	e.event, e.id, e.lineStart = e.event[:0], 0, 0
	return nil
}

// trackID records the ID of an event that is returned. Two events are the fewest that
// show whether IDs are consecutive.
func (e *eventReader) trackID() {
	if e.id == 0 {
		return
	}
	e.numbered++
	if e.numbered > 1 {
		e.consecutive = e.id == e.lastID+1 && (e.consecutive || e.numbered == 2)
	}
	e.lastID = e.id
}
