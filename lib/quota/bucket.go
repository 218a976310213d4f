package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket for one daemon's share of a rate. It is not safe for
// concurrent use.
type Bucket struct {
	rate   float64 // tokens per second
	burst  float64 // capacity in tokens
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket that gains rate tokens per second and holds at
// most burst tokens. A burst below 1 counts as 1.
func NewBucket(rate, burst float64) *Bucket {
	b := &Bucket{rate: max(0, rate), burst: max(1, burst)}
	b.tokens = b.burst
	return b
}

// Allow takes one token and reports whether one was available.
func (b *Bucket) Allow(now time.Time) bool {
	b.refill(now)
	// Tolerates the rounding error of many small refills.
	const epsilon = 1e-9
	if b.tokens < 1-epsilon {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// SetRate changes the rate, in tokens per second. Tokens gained so far stay.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = max(0, rate)
}

// SetBurst changes the capacity in tokens. A burst below 1 counts as 1.
func (b *Bucket) SetBurst(burst float64) {
	b.burst = max(1, burst)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	elapsed := now.Sub(b.last).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = math.Min(b.burst, b.tokens+b.rate*elapsed)
	b.last = now
}
