package prompt

import (
	"github.com/cespare/xxhash/v2"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// A prompt is cut into levels by these rules.
//
//  1. A key is a hash of the salt and of every byte of the prompt up to the end of
//     its level. Roles and texts are framed, so that different lists of messages
//     have different keys.
//  2. Whether a level ends at a position depends only on what precedes the position.
//     Prompts that share a prefix therefore share its levels. This rules out
//     choosing the levels by the length of the whole prompt.
//  3. A level ends at the end of a message, unless the last message end where a
//     level ended is too close: within MinTokens, or within 1/48 of the prefix.
//     Levels that end inside messages don't count as close, since prompts usually
//     diverge at the end of a long shared message.
//  4. Inside a long message, a level ends after each block of BlockTokens, or of 1/8
//     of the prefix if that is longer, so that the number of levels grows only with
//     the logarithm of the length.
//  5. After MaxLevels-1 levels, no more are added except the last one, which always
//     covers the whole prompt.
//
// The framing writes the role before the text of a message and the text's length
// after it. With the length before the text, a message and its continuation would
// have no blocks in common.

// The defaults of the fields of a Cutter.
const (
	DefaultBlockTokens = 256
	DefaultMinTokens   = 32
	DefaultMaxLevels   = 128
)

// BytesPerToken is the estimated length of a token.
const BytesPerToken = 4

const (
	blockDivisor   = 8  // a block has at least 1/8 of the prefix (rule 4)
	messageDivisor = 48 // levels at message ends are at least 1/48 of the prefix apart (rule 3)
)

// Message is one message of a prompt.
type Message struct {
	Role, Text string
}

// Cutter cuts prompts into levels. The zero value uses the defaults. All instances of
// a deployment need the same values, since they exchange keys.
type Cutter struct {
	// BlockTokens is the minimum length of a block inside a message.
	BlockTokens int
	// MinTokens is the minimum distance between two levels at message ends.
	MinTokens int
	// MaxLevels limits the number of levels of one prompt.
	MaxLevels int
}

// Tokens estimates the number of tokens in n bytes, at least 1.
func Tokens(n int) int {
	return max(1, n/BytesPerToken)
}

// Cut returns the levels of a prompt, shortest first. The last one covers the
// whole prompt.
func (c Cutter) Cut(salt Salt, messages []Message) []hbs.Level {
	st := cutState{Cutter: c.withDefaults()}
	salt.resetDigest(&st.digest)
	st.levels = make([]hbs.Level, 0, st.MaxLevels)
	for i := range messages {
		st.addMessage(&messages[i])
	}
	st.finish()
	return st.levels
}

// withDefaults returns c with the defaults in place of fields that are not positive.
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

// cutState is the state of one Cut.
type cutState struct {
	Cutter
	digest xxhash.Digest
	levels []hbs.Level
	// size is the number of bytes of roles and texts hashed. blockStart is the size
	// where the current block started, lastMessageEnd the size at the last message
	// end that was far enough from the one before (rule 3). Both also advance where
	// rule 5 adds no level.
	size, blockStart, lastMessageEnd int
}

// addMessage hashes m and adds the levels that end in it or at its end.
func (c *cutState) addMessage(m *Message) {
	writeField(&c.digest, m.Role)
	c.size += len(m.Role)
	text := m.Text
	for len(text) > 0 {
		n := min(len(text), c.untilBlockEnd())
		c.writeText(text[:n])
		text = text[n:]
		if len(text) > 0 {
			c.endLevel()
		}
	}
	writeLength(&c.digest, len(m.Text))
	if c.size-c.lastMessageEnd >= max(c.MinTokens*BytesPerToken, c.size/messageDivisor) {
		c.endLevel()
		c.lastMessageEnd = c.size
	}
}

// untilBlockEnd returns the number of bytes left in the current block, at least 1.
func (c *cutState) untilBlockEnd() int {
	want := max(c.BlockTokens*BytesPerToken, c.blockStart/blockDivisor)
	return max(1, want-(c.size-c.blockStart))
}

func (c *cutState) writeText(text string) {
	_, _ = c.digest.WriteString(text)
	c.size += len(text)
}

// endLevel starts a new block and adds a level for the prefix so far, within rule 5.
func (c *cutState) endLevel() {
	if len(c.levels) >= c.MaxLevels-1 {
		c.blockStart = c.size
		return
	}
	c.appendLevel()
}

// appendLevel adds a level for the prefix so far and starts a new block.
func (c *cutState) appendLevel() {
	c.levels = append(c.levels, hbs.Level{Key: hbs.LevelKey(c.digest.Sum64()), Tokens: c.estimateTokens()})
	c.blockStart = c.size
}

// estimateTokens estimates the number of tokens of the prefix. It returns more than
// the previous level has.
func (c *cutState) estimateTokens() int {
	n := Tokens(c.size)
	if k := len(c.levels); k > 0 {
		n = max(n, c.levels[k-1].Tokens+1)
	}
	return n
}

// finish adds a level for the whole prompt if the last one does not cover it.
func (c *cutState) finish() {
	key := hbs.LevelKey(c.digest.Sum64())
	if k := len(c.levels); k > 0 && c.levels[k-1].Key == key {
		return
	}
	c.appendLevel()
}
