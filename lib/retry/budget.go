package retry

import "time"

const (
	// bucketLength is the resolution of the sliding window.
	bucketLength = time.Second
	// bucketCount is the length of the sliding window in buckets.
	bucketCount = 10
)

// Budget limits retries to a ratio of the requests of the last ten seconds, so
// that retries do not amplify an overload. It is not safe for concurrent use.
type Budget struct {
	ratio        float64
	minPerSecond float64
	buckets      [bucketCount]bucket
	current      int       // index of the current bucket
	start        time.Time // of the current bucket
}

type bucket struct{ requests, retries int }

// NewBudget returns a budget of ratio retries per request plus minPerSecond
// retries per second, which allow retries at low request rates.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.current].requests++
}

// Allow reports whether one more retry is within the budget, and counts it if it
// is.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		requests += k.requests
		retries += k.retries
	}
	window := bucketLength.Seconds() * bucketCount
	if float64(retries+1) > b.ratio*float64(requests)+b.minPerSecond*window {
		return false
	}
	b.buckets[b.current].retries++
	return true
}

// advance clears the buckets that have left the window. A time before the current
// bucket belongs to the current bucket.
func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
		return
	}
	steps := int(now.Sub(b.start) / bucketLength)
	if steps <= 0 {
		return
	}
	b.start = b.start.Add(time.Duration(steps) * bucketLength)
	for range min(steps, bucketCount) {
		b.current = (b.current + 1) % bucketCount
		b.buckets[b.current] = bucket{}
	}
}
