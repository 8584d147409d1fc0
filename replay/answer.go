package replay

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/engine"
	"github.com/hornbeamstage/hornbeamstage/standin/service"
)

// chunk is the part of a stream event that callers use.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// doneData is the data of the last event of a complete stream.
const doneData = "[DONE]"

// maxEventBytes limits the size of one stream event.
const maxEventBytes = 1 << 20

// readStream reads a streamed answer and checks each of its tokens.
func (c *callers) readStream(ctx context.Context, body io.Reader, res *result) {
	tokens, done := 0, false
	last := time.Time{}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			res.err = err
			break
		}
		if ev.Type == "error" {
			readErrorEvent(ev.Data, res)
			return
		}
		if ev.Data == doneData {
			done = true
			continue
		}
		n, ok := checkChunk(ev.Data, tokens, res)
		if !ok {
			return
		}
		now := time.Now()
		if n > tokens && tokens == 0 {
			res.firstToken = now
		}
		if n > tokens && tokens > 0 {
			res.gaps = append(res.gaps, now.Sub(last))
		}
		if n > tokens {
			last = now
		}
		tokens = n
	}
	c.endStream(ctx, res, tokens, done)
}

// endStream sets the outcome of a stream that ended without an error event.
func (c *callers) endStream(ctx context.Context, res *result, tokens int, done bool) {
	switch {
	case done && tokens == res.request.Output:
		res.outcome = hbs.OutcomeAnswered
	case done:
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationStreamIncomplete)
	default:
		c.recordDisconnect(ctx, res)
	}
}

// checkChunk checks one event and returns the number of tokens received so far.
func checkChunk(data string, tokens int, res *result) (n int, ok bool) {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationStreamOutOfOrder)
		return tokens, false
	}
	if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
		return tokens, true
	}
	text := ch.Choices[0].Delta.Content
	if text == engine.Token(res.request.ID, tokens) {
		return tokens + 1, true
	}
	res.outcome = hbs.OutcomeUnknown
	if strings.HasPrefix(text, res.request.ID+".") {
		res.addViolation(ViolationStreamOutOfOrder)
	} else {
		res.addViolation(ViolationCrossedAnswer)
	}
	return tokens, false
}

func readErrorEvent(data string, res *result) {
	var b refusalBody
	_ = json.Unmarshal([]byte(data), &b)
	res.outcome, res.reason = b.Error.Outcome, b.Error.Code
	if res.outcome == "" {
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationErrorWithoutOutcome)
	}
}

// wholeBody is the part of a non-streamed answer that callers use.
type wholeBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// readWhole reads a non-streamed answer.
func (c *callers) readWhole(ctx context.Context, body io.Reader, res *result) {
	data, err := io.ReadAll(body)
	if err != nil {
		res.err = err
		c.recordDisconnect(ctx, res)
		return
	}
	var b wholeBody
	if json.Unmarshal(data, &b) != nil || len(b.Choices) == 0 {
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationStreamIncomplete)
		return
	}
	var want strings.Builder
	for n := range res.request.Output {
		want.WriteString(engine.Token(res.request.ID, n))
	}
	switch got := b.Choices[0].Message.Content; {
	case got == want.String():
		res.outcome = hbs.OutcomeAnswered
	case strings.HasPrefix(got, res.request.ID+"."):
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationStreamIncomplete)
	default:
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationCrossedAnswer)
	}
}

// readCall reads the answer of a plain service.
func (c *callers) readCall(ctx context.Context, body io.Reader, res *result) {
	data, err := io.ReadAll(body)
	if err != nil {
		res.err = err
		c.recordDisconnect(ctx, res)
		return
	}
	var a service.Answer
	if json.Unmarshal(data, &a) != nil || a.ID != res.request.ID {
		res.outcome = hbs.OutcomeUnknown
		res.addViolation(ViolationCrossedAnswer)
		return
	}
	res.outcome = hbs.OutcomeAnswered
}
