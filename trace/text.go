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

// Texts makes the text of segments, the same for the same id each time. Its
// methods are safe for concurrent use.
type Texts struct {
	known sync.Map // of string to string, by segment id
}

// Messages returns the prompt of q: a message for each segment. The last one
// names q's id, so that what ran can be told from the engine's side.
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
	if text, ok := t.known.Load(s.ID); ok {
		return text.(string)
	}
	text := words(s)
	t.known.Store(s.ID, text)
	return text
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// words returns words of three letters and a space: one token each.
func words(s Segment) string {
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
