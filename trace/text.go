package trace

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstage/hornbeamstage/standin/engine"
)

// Message is one chat message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Texts generates the text of segments. The text depends only on the segment, so
// that all Texts return the same. Its methods are safe for concurrent use.
type Texts struct {
	cache sync.Map // of string to string, by segment id
}

// Messages returns the prompt of q, with one message per segment. The last message
// contains the id of q, by which the engine stand-ins record their runs.
func (t *Texts) Messages(q *Request) []Message {
	messages := make([]Message, len(q.Segments))
	for i, s := range q.Segments {
		messages[i] = Message{Role: "user", Content: t.Text(s)}
	}
	messages[0].Role = "system"
	messages[len(messages)-1].Content += engine.MarkBody(q.ID)
	return messages
}

// Text returns the text of a segment.
func (t *Texts) Text(s Segment) string {
	if text, ok := t.cache.Load(s.ID); ok {
		return text.(string)
	}
	text := generateText(s)
	t.cache.Store(s.ID, text)
	return text
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// generateText returns s.Tokens pseudorandom words of three letters and a space,
// each of which is one token.
func generateText(s Segment) string {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(s.ID), 0))
	var b strings.Builder
	b.Grow(s.Tokens * engine.TokenBytes)
	for range s.Tokens {
		n := rng.Uint32()
		for range engine.TokenBytes - 1 {
			b.WriteByte(letters[n%26])
			n /= 26
		}
		b.WriteByte(' ')
	}
	return b.String()
}
