package engine

import (
	"encoding/json"
	"fmt"
)

func (e *Engine) chunk(j *job, n int) []byte {
	text := Token(j.run.Body, n)
	if j.chat {
		return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, j.run.Attempt, e.Model, text)
	}
	return fmt.Appendf(nil, `{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q}]}`, j.run.Attempt, e.Model, text)
}

func (e *Engine) usageChunk(j *job, n int) []byte {
	object := "text_completion"
	if j.chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil, `{"id":%q,"object":%q,"model":%q,"choices":[],"usage":%s}`, j.run.Attempt, object, e.Model, e.usage(j, n))
}

func (e *Engine) usage(j *job, n int) []byte {
	u := map[string]any{
		"prompt_tokens":     j.run.PromptTokens,
		"completion_tokens": n,
		"total_tokens":      j.run.PromptTokens + n,
	}
	if e.Capabilities.CachedTokens {
		u["prompt_tokens_details"] = map[string]int{"cached_tokens": j.run.CachedTokens}
	}
	b, _ := json.Marshal(u)
	return b
}

func (e *Engine) wholeAnswer(j *job, n int) any {
	text := ""
	for i := range n {
		text += Token(j.run.Body, i)
	}
	choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	object := "text_completion"
	if j.chat {
		delete(choice, "text")
		choice["message"] = map[string]string{"role": "assistant", "content": text}
		object = "chat.completion"
	}
	return map[string]any{
		"id":      j.run.Attempt,
		"object":  object,
		"model":   e.Model,
		"choices": []any{choice},
		"usage":   json.RawMessage(e.usage(j, n)),
	}
}
