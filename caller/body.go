// Package caller decodes the requests of callers: the OpenAI-compatible calls
// and their headers. It also writes the answers of refused requests.
package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/prompt"
)

// Body is the part of an OpenAI-compatible request that routing needs. The
// rest of the caller's JSON is passed on as it came.
type Body struct {
	Model   hbs.ModelName
	Adapter hbs.AdapterName
	Stream  bool
	// MaxTokens bounds the answer; 0 when the caller sets no bound.
	MaxTokens int
	// Messages is the prompt; a plain completion has one without a role.
	Messages []prompt.Message
}

// wireBody mirrors the JSON of /v1/chat/completions and /v1/completions.
type wireBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            []wireMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Tools               json.RawMessage `json:"tools"`
}

type wireMessage struct {
	Role    string      `json:"role"`
	Content wireContent `json:"content"`
}

// wireContent is a text, a list of parts or null. Parts that are not text take
// part in the prefix as their JSON.
type wireContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *wireContent) UnmarshalJSON(data []byte) error {
	switch data[0] {
	case 'n':
		return nil
	case '"':
		return json.Unmarshal(data, (*string)(c))
	case '[':
		return c.unmarshalParts(data)
	}
	return errors.New("content is neither text nor a list of parts")
}

func (c *wireContent) unmarshalParts(data []byte) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(partText(part))
	}
	*c = wireContent(b.String())
	return nil
}

func partText(part json.RawMessage) string {
	var p struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(part, &p) == nil && p.Type == "text" {
		return p.Text
	}
	return string(part)
}

// DecodeBody decodes data. Errors name the line and column of the fault.
func DecodeBody(data []byte) (b Body, err error) {
	defer func() { err = errors.Wrap(err, "request body") }()
	var w wireBody
	if err := json.Unmarshal(data, &w); err != nil {
		return Body{}, position(data, err)
	}
	model, adapter, _ := strings.Cut(w.Model, ":")
	if model == "" {
		return Body{}, errors.New("model is missing")
	}
	messages, err := w.messages()
	if err != nil {
		return Body{}, err
	}
	b = Body{
		Model:    hbs.ModelName(model),
		Adapter:  hbs.AdapterName(adapter),
		Stream:   w.Stream,
		Messages: messages,
	}
	b.MaxTokens, err = w.maxTokens()
	return b, err
}

func (w *wireBody) maxTokens() (int, error) {
	n := w.MaxCompletionTokens
	if n == nil {
		n = w.MaxTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 {
		return 0, errors.Newf("max_tokens is %d, want at least 1", *n)
	}
	return *n, nil
}

func (w *wireBody) messages() ([]prompt.Message, error) {
	if w.Prompt != nil {
		return promptMessages(w.Prompt)
	}
	if len(w.Messages) == 0 {
		return nil, errors.New("neither messages nor prompt is set")
	}
	messages := make([]prompt.Message, 0, len(w.Messages)+1)
	if len(w.Tools) > 0 {
		// Engines render the tools before the first message.
		messages = append(messages, prompt.Message{Role: "tools", Text: string(w.Tools)})
	}
	for _, m := range w.Messages {
		messages = append(messages, prompt.Message{Role: m.Role, Text: string(m.Content)})
	}
	return messages, nil
}

func promptMessages(raw json.RawMessage) ([]prompt.Message, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, errors.New("prompt is not a text")
	}
	return []prompt.Message{{Text: text}}, nil
}

// position adds line and column to an error of encoding/json.
func position(data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Newf("%s: %s", place(data, syntax.Offset), syntax.Error())
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Newf("%s: %s is a JSON %s", place(data, mismatch.Offset), mismatch.Field, mismatch.Value)
	}
	return err
}

func place(data []byte, offset int64) string {
	read := data[:min(int(offset), len(data))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n') - 1
	return fmt.Sprintf("line %d, column %d", line, column)
}
