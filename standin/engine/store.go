package engine

import (
	"sync"
	"time"
)

// WeightStore is the rate-limited store of weights that engines share.
type WeightStore struct {
	// LoadTime is how long one load takes, Free how many run side by side
	// without slowing each other.
	LoadTime time.Duration
	Free     int

	mu     sync.Mutex
	active int
	most   int
}

// begin starts a load and returns how long it takes.
func (s *WeightStore) begin() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.most = max(s.most, s.active)
	over := max(0, s.active-s.Free)
	return s.LoadTime * time.Duration(1+over)
}

func (s *WeightStore) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// MostAtOnce returns the largest number of loads that ran at the same time.
func (s *WeightStore) MostAtOnce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// KVStore is the store of kept KV cache that engines share. It forgets the
// block unused for longest. Salts and weights are part of the blocks' hashes.
type KVStore struct {
	// Capacity is in tokens.
	Capacity int

	mu     sync.Mutex
	blocks *Cache
	// down is the end of an outage.
	down time.Time
	// slowFactor multiplies the time of transfers until slowUntil.
	slowFactor float64
	slowUntil  time.Time
}

// put keeps blocks.
func (s *KVStore) put(blocks []Block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if now := time.Now(); !now.Before(s.down) {
		s.blocks.Add(blocks, now)
	}
}

// Outage empties the store and takes and gives nothing for d.
func (s *KVStore) Outage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks = nil
	s.down = time.Now().Add(d)
}

// Slow multiplies the time of every transfer by factor for d.
func (s *KVStore) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.slowUntil = time.Now().Add(d)
}

// slowed returns what the time of a transfer is multiplied by now.
func (s *KVStore) slowed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.slowUntil) {
		return s.slowFactor
	}
	return 1
}

// longest returns the first blocks that are kept.
func (s *KVStore) longest(blocks []Block) []Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return blocks[:s.blocks.Hit(blocks, time.Now())]
}

func (s *KVStore) init() {
	if s.blocks == nil {
		s.blocks = NewCache(s.Capacity, nil)
	}
}
