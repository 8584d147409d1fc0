// Package caller decodes callers' requests, which are OpenAI-compatible bodies and
// headers, and writes responses to callers, including those of refused requests.
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

// Body is the part of an OpenAI-compatible request body that routing needs. The
// caller's JSON itself is forwarded unchanged.
type Body struct {
	Model   hbs.ModelName
	Adapter hbs.AdapterName
	Stream  bool
	// MaxTokens bounds the length of the response; 0 if the caller set no bound.
	MaxTokens int
	// Messages is the prompt. A plain completion has one message without a role.
	Messages []prompt.Message
}

// wireBody is the JSON body of /v1/chat/completions and /v1/completions.
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

// wireContent is the text of a message content, which is a JSON string, a list of
// parts or null. Parts that are not text are represented by their JSON, so that they
// count in the prompt prefix.
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

// partText returns the text of a content part, or the JSON of a part of another type.
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

// DecodeBody decodes a request body. Errors of the JSON syntax or of types state the
// line and column.
func DecodeBody(data []byte) (b Body, err error) {
	defer func() { err = errors.Wrap(err, "request body") }()
	var w wireBody
	if err := json.Unmarshal(data, &w); err != nil {
		return Body{}, withPosition(data, err)
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
		// Engines put the tools before the first message of the prompt.
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

// withPosition adds the line and column to an error of encoding/json.
func withPosition(data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Newf("%s: %s", lineColumn(data, syntax.Offset), syntax.Error())
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Newf("%s: %s is a JSON %s", lineColumn(data, mismatch.Offset), mismatch.Field, mismatch.Value)
	}
	return err
}

// lineColumn formats the position of the last of the first offset bytes of data. Lines
// and columns start at 1.
func lineColumn(data []byte, offset int64) string {
	prefix := data[:min(int(offset), len(data))]
	line := bytes.Count(prefix, []byte("\n")) + 1
	column := len(prefix) - bytes.LastIndexByte(prefix, '\n') - 1
	return fmt.Sprintf("line %d, column %d", line, column)
}
