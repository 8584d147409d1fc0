package engine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Sizes of prompts.
const (
	// TokenBytes is the number of bytes of prompt text in one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 32
)

// Block identifies a cached block together with all text before it.
type Block uint64

// Blocks cuts text into whole blocks. Those of another salt never match.
func Blocks(salt, text string) []Block {
	const size = TokenBytes * BlockTokens
	blocks := make([]Block, 0, len(text)/size)
	chain := xxhash.Sum64String(salt)
	var buf [16]byte
	for len(text) >= size {
		binary.LittleEndian.PutUint64(buf[:], chain)
		binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(text[:size]))
		chain = xxhash.Sum64(buf[:])
		blocks = append(blocks, Block(chain))
		text = text[size:]
	}
	return blocks
}

// Tokens returns the length of text in tokens.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

// Cache is a prefix cache that evicts the block unused for longest.
type Cache struct {
	lru *simplelru.LRU[Block, time.Time]
}

// NewCache returns an empty cache of so many tokens. onEvict, which may be nil,
// gets each evicted block and the time of its last use.
func NewCache(tokens int, onEvict func(Block, time.Time)) *Cache {
	lru, err := simplelru.NewLRU(max(1, tokens/BlockTokens), simplelru.EvictCallback[Block, time.Time](onEvict))
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Cache{lru: lru}
}

// Hit returns how many of the first blocks are cached and marks them used now.
func (c *Cache) Hit(blocks []Block, now time.Time) (n int) {
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	c.Add(blocks[:n], now)
	return n
}

// Add stores blocks. The deepest becomes the first to be evicted.
func (c *Cache) Add(blocks []Block, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.lru.Add(blocks[i], now)
	}
}

// Has reports whether block is cached.
func (c *Cache) Has(block Block) bool { return c.lru.Contains(block) }

// Tokens returns how many tokens are cached.
func (c *Cache) Tokens() int { return c.lru.Len() * BlockTokens }
