package prompt

import (
	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// The cutting follows these rules.
//
//  1. A key covers the salt and every byte of the prompt up to its level.
//     Roles and texts are framed, so that two lists of messages that differ
//     have different keys.
//  2. Whether a level is cut at some position hangs only on what stands before
//     that position. Prompts that share a prefix therefore share its levels.
//     This forbids choosing the levels by the prompt's whole length.
//  3. A level ends at the end of a message, unless it is too near to the last
//     end of a message that has one: within MinTokens, or within 1/48 of the
//     prefix. Levels inside messages don't count here, since the end of a long
//     shared message is where prompts part.
//  4. Inside a long message a level ends after a block of BlockTokens, or of
//     1/8 of the prefix where that is longer, so that their number grows with
//     the logarithm of the length.
//  5. After MaxLevels-1 levels no more are cut. The last level always covers
//     the whole prompt.
//
// The framing writes the role at the start of a message and the separator at
// its end, never the text's length at the start: a message that is continued
// shares the blocks before the continuation.

// The defaults of a Cutter.
const (
	DefaultBlockTokens = 256
	DefaultMinTokens   = 32
	DefaultMaxLevels   = 128
)

// BytesPerToken is the estimate of a token's length.
const BytesPerToken = 4

const (
	blockShare   = 8  // rule 4
	messageShare = 48 // rule 3
)

// Message is one message of a prompt.
type Message struct {
	Role, Text string
}

// Cutter cuts prompts into levels. The zero value uses the defaults. All
// instances of a deployment need the same values.
type Cutter struct {
	// BlockTokens is the smallest block inside a message.
	BlockTokens int
	// MinTokens is the smallest distance of two ends of messages with levels.
	MinTokens int
	// MaxLevels bounds the number of levels of one prompt.
	MaxLevels int
}

// Tokens estimates the number of tokens of n bytes, at least 1.
func Tokens(n int) int {
	return max(1, n/BytesPerToken)
}

// Cut returns the levels of a prompt, shortest first. The last one covers the
// whole prompt.
func (c Cutter) Cut(salt Salt, messages []Message) []hbs.Level {
	run := cutting{Cutter: c.withDefaults()}
	salt.digest(&run.digest)
	run.levels = make([]hbs.Level, 0, run.MaxLevels)
	for i := range messages {
		run.message(&messages[i])
	}
	run.finish()
	return run.levels
}

func (c Cutter) withDefaults() Cutter {
	if c.BlockTokens <= 0 {
		c.BlockTokens = DefaultBlockTokens
	}
	if c.MinTokens <= 0 {
		c.MinTokens = DefaultMinTokens
	}
	if c.MaxLevels <= 0 {
		c.MaxLevels = DefaultMaxLevels
	}
	return c
}

// cutting is the state of one Cut.
type cutting struct {
	Cutter
	digest xxhash.Digest
	levels []hbs.Level
	// size is the number of bytes hashed, last that at the newest level and
	// lastEnd that at the newest level at the end of a message.
	size, last, lastEnd int
}

func (c *cutting) message(m *Message) {
	writeField(&c.digest, m.Role)
	c.size += len(m.Role)
	text := m.Text
	for len(text) > 0 {
		n := min(len(text), c.block())
		c.write(text[:n])
		text = text[n:]
		if len(text) > 0 {
			c.cut()
		}
	}
	writeLength(&c.digest, len(m.Text))
	if c.size-c.lastEnd >= max(c.MinTokens*BytesPerToken, c.size/messageShare) {
		c.cut()
		c.lastEnd = c.size
	}
}

// block returns the number of bytes from here to the next end of a block.
func (c *cutting) block() int {
	want := max(c.BlockTokens*BytesPerToken, c.last/blockShare)
	return max(1, want-(c.size-c.last))
}

func (c *cutting) write(text string) {
	_, _ = c.digest.WriteString(text)
	c.size += len(text)
}

func (c *cutting) cut() {
	if len(c.levels) >= c.MaxLevels-1 {
		c.last = c.size
		return
	}
	c.append()
}

func (c *cutting) append() {
	c.levels = append(c.levels, hbs.Level{Key: hbs.LevelKey(c.digest.Sum64()), Tokens: c.tokens()})
	c.last = c.size
}

// tokens estimates the prefix's length; it grows from level to level.
func (c *cutting) tokens() int {
	n := Tokens(c.size)
	if k := len(c.levels); k > 0 {
		n = max(n, c.levels[k-1].Tokens+1)
	}
	return n
}

// finish makes sure that the last level covers the whole prompt.
func (c *cutting) finish() {
	key := hbs.LevelKey(c.digest.Sum64())
	if k := len(c.levels); k > 0 && c.levels[k-1].Key == key {
		return
	}
	c.append()
}
