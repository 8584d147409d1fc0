// Package relay passes the events of one streamed answer on to the caller.
//
// Rules:
//
//  1. Events are passed on whole: an event that the connection cut off is
//     dropped, never passed on in part.
//  2. Events are passed on in sequence. When the endpoint numbers its events,
//     a number seen before is skipped (a resumed stream may repeat) and a
//     jump ends the copy with ErrGap before anything after the gap is passed on.
//  3. The copy is complete only when "[DONE]" was passed on. Any other end of
//     the input is ErrEnded or the error of the reader.
//  4. One Relay may copy from several bodies in turn, one after the other: a
//     resumed stream goes on at Next.
//  5. One event at most is held in memory; its size is bounded.
package relay

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// Errors of Copy.
var (
	// ErrGap: the next event has not the next sequence number.
	ErrGap = errors.New("gap in the sequence of events")
	// ErrEnded: the stream ended without "[DONE]".
	ErrEnded = errors.New("stream ended early")
	// ErrEngine: the engine sent an error event.
	ErrEngine = errors.New("engine sent an error event")
)

// Relay copies one stream of events. Its fields are set before Copy.
type Relay struct {
	// Numbered: events carry sequence numbers from 0 (rule 2).
	Numbered bool
	// HideUsage: the caller did not ask for the chunk that carries only usage.
	HideUsage bool
	// Arrived is called for each event before it is passed on; may be nil. An
	// error ends the copy.
	Arrived func() error
	// Write takes one encoded event; it does not keep it.
	Write func(p []byte) error

	next    int
	events  int
	done    bool
	usage   Usage
	buf     []byte
	failure string
}

// Usage is what the engine counted.
type Usage struct {
	// CachedTokens and OutputTokens are negative when not told.
	CachedTokens, OutputTokens int
}

// Next returns the sequence number to resume at.
func (r *Relay) Next() int { return r.next }

// Events returns the number of events received.
func (r *Relay) Events() int { return r.events }

// Failure returns the data of the engine's error event.
func (r *Relay) Failure() string { return r.failure }

// Usage returns what the engine counted so far.
func (r *Relay) Usage() Usage {
	if r.events == 0 {
		return Usage{CachedTokens: -1, OutputTokens: -1}
	}
	return r.usage
}

// Copy passes the events of body on until the stream is complete. It returns
// nil only then (rule 3).
func (r *Relay) Copy(body io.Reader) (err error) {
	defer func() { err = errors.Wrapf(err, "relay at event %d", r.next) }()
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			return err
		}
		if err := r.pass(event); err != nil {
			return err
		}
		if r.done {
			return nil
		}
	}
	return ErrEnded
}

// pass handles one whole event (rule 1).
func (r *Relay) pass(e sse.Event) error {
	done := e.Data == Done
	skip, err := r.sequence(e.LastEventID, done)
	if err != nil || skip {
		return err
	}
	if e.Type == "error" {
		r.failure = e.Data
		return ErrEngine
	}
	if r.events == 0 {
		r.usage = Usage{CachedTokens: -1, OutputTokens: -1}
	}
	r.events++
	if r.Arrived != nil {
		if err := r.Arrived(); err != nil {
			return err
		}
	}
	if r.hides(e.Data) {
		return nil
	}
	r.buf = AppendEvent(r.buf[:0], e.Type, e.Data)
	if err := r.Write(r.buf); err != nil {
		return err
	}
	r.done = done
	return nil
}

// sequence applies rule 2. The final "[DONE]" may come without a number of
// its own; the reader then repeats the last one.
func (r *Relay) sequence(id string, done bool) (skip bool, err error) {
	if !r.Numbered {
		return false, nil
	}
	n, err := strconv.Atoi(id)
	switch {
	case err != nil && done:
		return false, nil
	case err != nil:
		return false, errors.Wrapf(ErrGap, "event id %q", id)
	case n < r.next:
		return !done, nil
	case n > r.next:
		return false, errors.Wrapf(ErrGap, "event id %d, want %d", n, r.next)
	}
	r.next++
	return false, nil
}

// hides reads the usage of a chunk and reports whether the chunk has nothing
// else and is not for the caller.
func (r *Relay) hides(data string) bool {
	if !strings.Contains(data, `"usage"`) {
		return false
	}
	c, ok := decodeUsage(data)
	if !ok || c.Usage == nil {
		return false
	}
	r.usage = c.Usage.counts()
	return r.HideUsage && len(c.Choices) == 0
}

// usageChunk is the part of an answer that tells usage.
type usageChunk struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *usageFields      `json:"usage"`
}

type usageFields struct {
	CompletionTokens    *int `json:"completion_tokens"`
	PromptTokensDetails *struct {
		CachedTokens *int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *usageFields) counts() Usage {
	c := Usage{CachedTokens: -1, OutputTokens: -1}
	if u.CompletionTokens != nil {
		c.OutputTokens = *u.CompletionTokens
	}
	if d := u.PromptTokensDetails; d != nil && d.CachedTokens != nil {
		c.CachedTokens = *d.CachedTokens
	}
	return c
}

func decodeUsage(data string) (c usageChunk, ok bool) {
	return c, json.Unmarshal([]byte(data), &c) == nil
}

// ReadUsage reads the usage of an answer that is not streamed.
func ReadUsage(body []byte) Usage {
	c, ok := decodeUsage(string(body))
	if !ok || c.Usage == nil {
		return Usage{CachedTokens: -1, OutputTokens: -1}
	}
	return c.Usage.counts()
}

// AppendEvent appends the encoding of an event to b.
func AppendEvent(b []byte, kind, data string) []byte {
	if kind != "" {
		b = append(b, "event: "...)
		b = append(b, kind...)
		b = append(b, '\n')
	}
	for line := range strings.SplitSeq(data, "\n") {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}
