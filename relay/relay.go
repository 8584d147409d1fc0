// Package relay forwards the server-sent events of one streamed response to the caller.
//
// Rules:
//
//  1. Events are forwarded whole: an event that was truncated by the end of the
//     connection is dropped.
//  2. Events are forwarded in sequence. If the endpoint numbers its events, an event
//     whose number was seen before is skipped, since a resumed stream may repeat
//     events, and a gap in the numbers ends the copy with ErrGap before any event
//     after the gap is forwarded.
//  3. The copy is complete only when "[DONE]" was forwarded. If the input ends
//     earlier, Copy returns ErrEnded or the error of the reader.
//  4. One Relay may copy from several bodies, one after the other: a resumed stream
//     continues at Next.
//  5. At most one event is buffered, and its size is bounded.
package relay

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// MaxEventBytes bounds the size of one event.
const MaxEventBytes = 1 << 20

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// Errors returned by Copy.
var (
	// ErrGap means that an event has a sequence number beyond the next one, or none.
	ErrGap = errors.New("gap in the sequence of events")
	// ErrEnded means that the stream ended without "[DONE]".
	ErrEnded = errors.New("stream ended early")
	// ErrEngine means that the engine sent an event of the type "error".
	ErrEngine = errors.New("engine sent an error event")
)

// Relay copies one stream of events. Its fields must be set before Copy is called.
type Relay struct {
	// Numbered is set if the IDs of events are sequence numbers that start at 0 (rule
	// 2).
	Numbered bool
	// HideUsage drops the chunk that carries only usage, for a caller that did not ask
	// for it.
	HideUsage bool
	// OnEvent is called for each event before it is forwarded; may be nil. An error
	// ends the copy.
	OnEvent func() error
	// Write writes one encoded event to the caller. It must not retain p.
	Write func(p []byte) error

	next      int
	events    int
	done      bool
	usage     Usage
	buf       []byte
	errorData string
}

// Usage is the token usage that the engine reported.
type Usage struct {
	// CachedTokens and OutputTokens are negative if the engine did not report them.
	CachedTokens, OutputTokens int
}

// Next returns the sequence number at which a stream is to be resumed.
func (r *Relay) Next() int { return r.next }

// Events returns the number of events received, without skipped and error events.
func (r *Relay) Events() int { return r.events }

// ErrorData returns the data of the engine's error event, or "" without one.
func (r *Relay) ErrorData() string { return r.errorData }

// Usage returns the usage that the engine reported last.
func (r *Relay) Usage() Usage {
	if r.events == 0 {
		return Usage{CachedTokens: -1, OutputTokens: -1}
	}
	return r.usage
}

// Copy forwards the events of body until the stream is complete. Only then does it
// return nil (rule 3).
func (r *Relay) Copy(body io.Reader) (err error) {
	defer func() { err = errors.Wrapf(err, "relay at event %d", r.next) }()
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			return err
		}
		if err := r.handleEvent(event); err != nil {
			return err
		}
		if r.done {
			return nil
		}
	}
	return ErrEnded
}

// handleEvent processes and forwards one whole event (rule 1).
func (r *Relay) handleEvent(e sse.Event) error {
	done := e.Data == Done
	skip, err := r.checkSequence(e.LastEventID, done)
	if err != nil || skip {
		return err
	}
	if e.Type == "error" {
		r.errorData = e.Data
		return ErrEngine
	}
	if r.events == 0 {
		r.usage = Usage{CachedTokens: -1, OutputTokens: -1}
	}
	r.events++
	if r.OnEvent != nil {
		if err := r.OnEvent(); err != nil {
			return err
		}
	}
	if r.recordUsage(e.Data) {
		return nil
	}
	r.buf = AppendEvent(r.buf[:0], e.Type, e.Data)
	if err := r.Write(r.buf); err != nil {
		return err
	}
	r.done = done
	return nil
}

// checkSequence applies rule 2. The final "[DONE]" may have no ID; the reader then
// reports the ID of the event before it.
func (r *Relay) checkSequence(id string, done bool) (skip bool, err error) {
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

// recordUsage records the usage in a chunk, if any. It reports whether the chunk is
// to be dropped because it carries only usage and HideUsage is set.
func (r *Relay) recordUsage(data string) bool {
	if !strings.Contains(data, `"usage"`) {
		return false
	}
	c, ok := decodeUsage(data)
	if !ok || c.Usage == nil {
		return false
	}
	r.usage = c.Usage.toUsage()
	return r.HideUsage && len(c.Choices) == 0
}

// usageChunk is the part of a chunk or a response body that is needed to read usage.
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

func (u *usageFields) toUsage() Usage {
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

// ReadUsage returns the usage in the body of a response that is not streamed.
func ReadUsage(body []byte) Usage {
	c, ok := decodeUsage(string(body))
	if !ok || c.Usage == nil {
		return Usage{CachedTokens: -1, OutputTokens: -1}
	}
	return c.Usage.toUsage()
}

// AppendEvent appends an encoded event to b. An empty type is omitted.
func AppendEvent(b []byte, eventType, data string) []byte {
	if eventType != "" {
		b = append(b, "event: "...)
		b = append(b, eventType...)
		b = append(b, '\n')
	}
	for line := range strings.SplitSeq(data, "\n") {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}
