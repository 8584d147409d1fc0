// Package cacheevent reads the cache events that engines publish.
//
// Its rules:
//
//  1. A stream that has used up its share of the budget is closed, so that the
//     engine stops sending. Reading it more slowly would deliver old events and
//     fill the buffers on the way. What is on the way is read and paid for.
//  2. It is opened again, at the newest event, once its share has filled up.
//     What was published meanwhile is skipped, which shows as a gap.
//  3. A stream that broke continues at the event after the last one read.
//  4. All streams of an instance have equal shares, so that a fast one takes
//     nothing from the others.
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
	// KindGap is the reader's own: events before the next one were lost or
	// skipped.
	KindGap Kind = "gap"
)

// Event is one change of an engine's prefix cache.
type Event struct {
	Incarnation hbs.Incarnation `json:"incarnation"`
	Kind        Kind            `json:"kind"`
	// Tag is the key of a level in 16 hexadecimal digits.
	Tag string `json:"tag"`
	// Tokens is the length that remains cached under the tag.
	Tokens int `json:"tokens"`
	// AgeSeconds tells on evictions for how long the prefix went unused.
	AgeSeconds float64 `json:"age_seconds"`
}

// Key returns the level key that the tag names.
func (e *Event) Key() (hbs.LevelKey, error) {
	key, err := strconv.ParseUint(e.Tag, 16, 64)
	return hbs.LevelKey(key), errors.Wrapf(err, "tag %q", e.Tag)
}

// Validate reports whether e can be applied.
func (e *Event) Validate() (err error) {
	switch e.Kind {
	case KindStored, KindEvicted:
		_, err = e.Key()
	case KindCleared:
	default:
		err = errors.Newf("kind %q is not known", e.Kind)
	}
	if e.Tokens < 0 || e.AgeSeconds < 0 {
		err = errors.New("event with a negative value")
	}
	return err
}

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 4 << 10
	// openBytes is about what the headers of one opening cost.
	openBytes = 256
	// minBackoff and maxBackoff bound the pause before a broken stream is
	// opened again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Reader follows the events of one engine.
type Reader struct {
	// Client makes the requests; it has no overall timeout.
	Client   *http.Client
	Endpoint hbs.Endpoint
	// Budget is the rate in bytes of this reader; nil for no bound. Its burst is
	// at least MinBurst.
	Budget *rate.Limiter
	// Take receives the events in order. It does not block.
	Take func(Event)

	// next is the number of the event after the last one read, if seen.
	next uint64
	seen bool
}

// Run reads until ctx ends, and opens the stream again when it breaks or was
// closed for the budget.
func (r *Reader) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minBackoff
	pause.MaxInterval = maxBackoff
	newest := true
	for ctx.Err() == nil {
		before := r.next
		err := r.stream(ctx, newest)
		if r.next != before {
			pause.Reset()
		}
		over := errors.Is(err, errOverBudget)
		newest = over || !r.seen
		if over {
			_ = filled(ctx, r.Budget)
			continue
		}
		_ = delay.For(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// stream reads one connection to its end, from the newest event or from the
// one after the last.
func (r *Reader) stream(ctx context.Context, newest bool) (err error) {
	defer func() { err = errors.Wrapf(err, "cache events of %s", r.Endpoint.ID) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := fmt.Sprintf("http://%s/cache_events", r.Endpoint.Address)
	if !newest {
		url += fmt.Sprintf("?from=%d", r.next)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	_ = spend(r.Budget, openBytes)
	res, err := r.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	body := &bounded{r: res.Body, budget: r.Budget, end: cancel}
	defer body.close()
	err = r.events(body)
	if body.over {
		return errOverBudget
	}
	return err
}

// events reads the events of a body to its end.
func (r *Reader) events(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		if err := r.take(&event); err != nil {
			return err
		}
	}
	return nil
}

// take checks one event's place in the sequence and passes it on.
func (r *Reader) take(event *sse.Event) error {
	id, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "event id %q", event.LastEventID)
	}
	var e Event
	if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
		return errors.Wrapf(err, "event %d", id)
	}
	if err := e.Validate(); err != nil {
		return errors.Wrapf(err, "event %d", id)
	}
	if r.seen && id != r.next {
		r.Take(Event{Kind: KindGap, Incarnation: e.Incarnation})
	}
	r.next, r.seen = id+1, true
	r.Take(e)
	return nil
}
