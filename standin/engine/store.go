package engine

import (
	"sync"
	"time"
)

// WeightStore is the store of weights that engines share. Its bandwidth is
// limited: concurrent loads beyond Free slow new ones down.
type WeightStore struct {
	// LoadTime is the duration of one load. Free is the number of loads that can run
	// concurrently at that duration.
	LoadTime          time.Duration
	MaxFullSpeedLoads int

	mu     sync.Mutex
	active int
	peak   int
}

// begin starts a load and returns its duration.
func (s *WeightStore) begin() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.peak = max(s.peak, s.active)
	excess := max(0, s.active-s.MaxFullSpeedLoads)
	return s.LoadTime * time.Duration(1+excess)
}

func (s *WeightStore) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// PeakLoads returns the peak number of concurrent loads.
func (s *WeightStore) PeakLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// KVStore is the store of KV cache that engines share. It evicts the least
// recently used block. Salts and weights are part of the hashes of blocks, so
// blocks computed with others never match.
type KVStore struct {
	// Capacity is in tokens.
	Capacity int

	mu     sync.Mutex
	blocks *Cache
	// downUntil is the end of the last outage.
	downUntil time.Time
	// slowFactor multiplies the duration of transfers until slowUntil.
	slowFactor float64
	slowUntil  time.Time
}

// put stores blocks, except during an outage.
func (s *KVStore) put(blocks []Block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if now := time.Now(); !now.Before(s.downUntil) {
		s.blocks.Add(blocks, now)
	}
}

// Outage empties the store and discards all blocks put into it for the next d.
func (s *KVStore) Outage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks = nil
	s.downUntil = time.Now().Add(d)
}

// Slow multiplies the duration of every transfer by factor for the next d.
func (s *KVStore) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.slowUntil = time.Now().Add(d)
}

// currentSlowdown returns the factor that applies now to the duration of a
// transfer.
func (s *KVStore) currentSlowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.slowUntil) {
		return s.slowFactor
	}
	return 1
}

// storedPrefix returns the longest prefix of blocks that is stored.
func (s *KVStore) storedPrefix(blocks []Block) []Block {
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
