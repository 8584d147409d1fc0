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

// chunk is the part of a stream's event that callers read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// doneData ends a complete stream.
const doneData = "[DONE]"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readStream reads a streamed answer and checks every token of it.
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
			res.first = now
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

// endStream judges the end of a stream that had no error event.
func (c *callers) endStream(ctx context.Context, res *result, tokens int, done bool) {
	switch {
	case done && tokens == res.request.Output:
		res.outcome = hbs.OutcomeAnswered
	case done:
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseStreamComplete)
	default:
		c.fail(ctx, res)
	}
}

// checkChunk checks one event and returns how many tokens have come so far.
func checkChunk(data string, tokens int, res *result) (n int, ok bool) {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseStreamOrder)
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
		res.breach(PromiseStreamOrder)
	} else {
		res.breach(PromiseOwnAnswer)
	}
	return tokens, false
}

func readErrorEvent(data string, res *result) {
	var b refusalBody
	_ = json.Unmarshal([]byte(data), &b)
	res.outcome, res.reason = b.Error.Outcome, b.Error.Code
	if res.outcome == "" {
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseNoOutcome)
	}
}

// wholeBody is the part of an answer that callers read.
type wholeBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// readWhole reads an answer that is not streamed.
func (c *callers) readWhole(ctx context.Context, body io.Reader, res *result) {
	data, err := io.ReadAll(body)
	if err != nil {
		res.err = err
		c.fail(ctx, res)
		return
	}
	var b wholeBody
	if json.Unmarshal(data, &b) != nil || len(b.Choices) == 0 {
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseStreamComplete)
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
		res.breach(PromiseStreamComplete)
	default:
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseOwnAnswer)
	}
}

// readCall reads the answer of a plain service.
func (c *callers) readCall(ctx context.Context, body io.Reader, res *result) {
	data, err := io.ReadAll(body)
	if err != nil {
		res.err = err
		c.fail(ctx, res)
		return
	}
	var a service.Answer
	if json.Unmarshal(data, &a) != nil || a.ID != res.request.ID {
		res.outcome = hbs.OutcomeUnknown
		res.breach(PromiseOwnAnswer)
		return
	}
	res.outcome = hbs.OutcomeAnswered
}
