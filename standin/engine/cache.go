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

// Block is the chained hash of a block of text and all text before it.
type Block uint64

// Blocks returns the hashes of the whole blocks of text; a partial block at the
// end is left out. Blocks with different salts never match.
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

// Cache is a prefix cache that evicts the least recently used block.
type Cache struct {
	lru *simplelru.LRU[Block, time.Time]
}

// NewCache returns an empty cache with a capacity of the given number of tokens.
// onEvict, which may be nil, is called with each evicted block and the time of its
// last use.
func NewCache(tokens int, onEvict func(Block, time.Time)) *Cache {
	lru, err := simplelru.NewLRU(max(1, tokens/BlockTokens), simplelru.EvictCallback[Block, time.Time](onEvict))
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Cache{lru: lru}
}

// Hit returns the length of the longest cached prefix of blocks, in blocks, and
// marks that prefix as used at now.
func (c *Cache) Hit(blocks []Block, now time.Time) (n int) {
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	c.Add(blocks[:n], now)
	return n
}

// Add stores blocks. The last block becomes the first candidate for eviction,
// because the blocks before it are useful without it but not the reverse.
func (c *Cache) Add(blocks []Block, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.lru.Add(blocks[i], now)
	}
}

// Has reports whether block is cached.
func (c *Cache) Has(block Block) bool { return c.lru.Contains(block) }

// Tokens returns the number of cached tokens.
func (c *Cache) Tokens() int { return c.lru.Len() * BlockTokens }
