// Package cacheevent reads the events that engines publish on changes of their
// prefix caches.
//
// Its rules:
//
//  1. A stream that has exhausted its share of the byte budget is closed, so that
//     the engine stops sending. Reading it more slowly would deliver outdated events
//     and fill the buffers between engine and reader. Bytes already in flight are
//     still read and charged to the share.
//  2. The stream is opened again, at the newest event, once its share is full. The
//     events published in between are skipped and reported as a gap.
//  3. A stream whose connection broke continues at the event after the last one read.
//  4. All streams of an instance have equal shares, so that one with many events does
//     not reduce the bandwidth of the others.
//  5. A stream whose header, or one of whose events, is not complete in time is
//     closed: it would otherwise look like an engine without events.
package cacheevent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
	"golang.org/x/time/rate"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Kind is the kind of a cache event.
type Kind string

// The kinds of event.
const (
	KindStored  Kind = "stored"
	KindEvicted Kind = "evicted"
	KindCleared Kind = "cleared"
	// KindGap is not sent by engines. The reader inserts it where events were lost
	// or skipped.
	KindGap Kind = "gap"
)

// Event is one change of an engine's prefix cache.
type Event struct {
	Incarnation hbs.Incarnation `json:"incarnation"`
	Kind        Kind            `json:"kind"`
	// Tag is the key of a level of the prompt, as 16 hexadecimal digits.
	Tag string `json:"tag"`
	// Tokens is the number of tokens of the level that are cached after the event.
	Tokens int `json:"tokens"`
	// AgeSeconds is, on evictions, how long the prefix had not been used.
	AgeSeconds float64 `json:"age_seconds"`
}

// Key parses the tag as a level key.
func (e *Event) Key() (hbs.LevelKey, error) {
	key, err := strconv.ParseUint(e.Tag, 16, 64)
	return hbs.LevelKey(key), errors.Wrapf(err, "tag %q", e.Tag)
}

// Validate returns an error if the kind of e is unknown or a value is invalid.
func (e *Event) Validate() (err error) {
	switch e.Kind {
	case KindStored, KindEvicted:
		_, err = e.Key()
	case KindCleared:
	default:
		err = errors.Newf("unknown event kind %q", e.Kind)
	}
	if e.Tokens < 0 || e.AgeSeconds < 0 {
		err = errors.New("event has a negative value")
	}
	return err
}

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 4 << 10
	// requestBytes is charged for opening a stream. It is about the size of the
	// request and response headers.
	requestBytes = 256
	// minBackoff and maxBackoff limit the delay before a broken stream is opened
	// again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// errStreamEnded is returned for a stream that the engine ended.
var errStreamEnded = errors.New("stream ended")

// Reader reads the event stream of one engine.
type Reader struct {
	// Client makes the requests. It must have no overall timeout, which would end
	// the stream.
	Client   *http.Client
	Endpoint hbs.Endpoint
	// Budget limits the bytes per second of this reader; nil means no limit. Its burst
	// is at least MinBurst.
	Budget *rate.Limiter
	// OnEvent receives the events in order. It must not block.
	OnEvent func(Event)
	// OnFailure receives the error that ended a stream, unless rule 1 or the end of
	// Run did; may be nil.
	OnFailure func(error)

	// nextID is the ID of the event after the last one read. It is valid if haveNext
	// is set.
	nextID   uint64
	haveNext bool
}

// Run reads events until ctx is done and returns its error. It opens the stream again
// after it broke or was closed by rule 1.
func (r *Reader) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minBackoff
	retry.MaxInterval = maxBackoff
	fromNewest := true
	for ctx.Err() == nil {
		before := r.nextID
		err := r.readStream(ctx, fromNewest)
		if r.nextID != before {
			retry.Reset()
		}
		exhausted := errors.Is(err, errBudgetExhausted)
		fromNewest = exhausted || !r.haveNext
		if exhausted {
			_ = waitForBurst(ctx, r.Budget)
			continue
		}
		if ctx.Err() == nil && r.OnFailure != nil {
			r.OnFailure(err)
		}
		_ = delay.For(ctx, retry.NextBackOff())
	}
	return ctx.Err()
}

// readStream opens the stream, at the newest event or at nextID, and reads it until it
// ends. It returns errBudgetExhausted if that was by rule 1.
func (r *Reader) readStream(ctx context.Context, fromNewest bool) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		err = errors.Wrapf(err, "cache events of %s", r.Endpoint.ID)
		cancel(nil)
	}()
	events := newTimedBody(cancel)
	defer events.stop()
	url := fmt.Sprintf("http://%s/cache_events", r.Endpoint.Address)
	if !fromNewest {
		url += fmt.Sprintf("?from=%d", r.nextID)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	_ = charge(r.Budget, requestBytes)
	res, err := r.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	events.headerRead(res.Body)
	body := &meteredBody{r: events, budget: r.Budget, cancel: func() { cancel(errBudgetExhausted) }}
	defer body.stopTimer()
	err = r.readEvents(body)
	switch {
	case body.exhausted:
		return errBudgetExhausted
	case err == nil:
		return errStreamEnded
	}
	return err
}

// readEvents handles the events in body until it ends or one is invalid.
func (r *Reader) readEvents(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		if err := r.handle(&event); err != nil {
			return err
		}
	}
	return nil
}

// handle decodes an event and passes it to OnEvent, after a KindGap if its ID
// does not follow the last one.
func (r *Reader) handle(event *sse.Event) error {
	id, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "event ID %q", event.LastEventID)
	}
	var e Event
	if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
		return errors.Wrapf(err, "event %d", id)
	}
	if err := e.Validate(); err != nil {
		return errors.Wrapf(err, "event %d", id)
	}
	if r.haveNext && id != r.nextID {
		r.OnEvent(Event{Kind: KindGap, Incarnation: e.Incarnation})
	}
	r.nextID, r.haveNext = id+1, true
	r.OnEvent(e)
	return nil
}
