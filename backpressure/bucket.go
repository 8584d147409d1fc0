package backpressure

import (
	"math"
	"time"
)

// maxWait bounds the time for which a bucket has no token.
const maxWait = time.Hour

// bucket is a token bucket. The zero value never has a token.
type bucket struct {
	// rate is in tokens per second, burst the largest number of tokens; not negative.
	rate, burst float64
	// tokens is the number of tokens at updated, at most burst.
	tokens  float64
	updated time.Time
}

// resize changes the rate and the size.
func (b *bucket) resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.updated).Seconds()))
	b.updated = now
}

// fill adds all tokens that there is room for.
func (b *bucket) fill(now time.Time) { b.tokens, b.updated = b.burst, now }

// next returns when there is a token; now if there is one already.
func (b *bucket) next(now time.Time) time.Time {
	b.refill(now)
	if b.tokens >= 1 {
		return now
	}
	wait := min((1-b.tokens)/b.rate, maxWait.Seconds())
	return now.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
}

func (b *bucket) take(now time.Time) {
	b.refill(now)
	b.tokens = max(0, b.tokens-1)
}

func (b *bucket) put(now time.Time) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+1)
}
