package ratelimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"dotterelmount.example/api"
)

// depthTime is the time whose tokens a bucket holds, at least one token.
const depthTime = time.Second

// Never is the wait of a request to an upstream that this daemon has no share of.
const Never time.Duration = math.MaxInt64

// Buckets are the token buckets of a daemon, one for each upstream with a limit. It is
// safe for concurrent use.
type Buckets struct {
	mu      sync.Mutex
	buckets map[api.UpstreamID]*bucket
}

type bucket struct {
	rate       float64 // tokens a second
	tokens     float64
	refilledAt time.Time
	wanted     int // requests since the last call of TakeWanted
}

// NewBuckets returns Buckets without limits.
func NewBuckets() *Buckets { return &Buckets{buckets: make(map[api.UpstreamID]*bucket)} }

// SetRates replaces the rates, in requests a second. Other upstreams have no limit. A new
// bucket is empty.
func (b *Buckets) SetRates(rates map[api.UpstreamID]float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, rate := range rates {
		k, ok := b.buckets[id]
		if !ok {
			k = &bucket{refilledAt: now}
			b.buckets[id] = k
		}
		k.refill(now)
		k.rate = rate
	}
	maps.DeleteFunc(b.buckets, func(id api.UpstreamID, _ *bucket) bool {
		_, ok := rates[id]
		return !ok
	})
}

func (k *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(k.refilledAt).Seconds())
	k.refilledAt = now
	k.tokens = min(max(1, k.rate*depthTime.Seconds()), k.tokens+k.rate*elapsed)
}

// wait returns the time until there is a token.
func (k *bucket) wait(now time.Time) time.Duration {
	k.refill(now)
	switch {
	case k.tokens >= 1:
		return 0
	case k.rate <= 0:
		return Never
	default:
		return max(time.Millisecond, time.Duration((1-k.tokens)/k.rate*float64(time.Second)))
	}
}

// Wait returns the time until a request may be sent to an upstream, Never if this daemon
// has no share of it.
func (b *Buckets) Wait(id api.UpstreamID, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.buckets[id]; ok {
		return k.wait(now)
	}
	return 0
}

// Take returns 0 and takes a token if a request may be sent now; otherwise it returns the
// time as Wait does.
func (b *Buckets) Take(id api.UpstreamID, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.buckets[id]
	if !ok {
		return 0
	}
	wait := k.wait(now)
	if wait == 0 {
		k.tokens--
	}
	return wait
}

// Rate returns the rate at which this daemon may send requests to an upstream, in
// requests a second; false if it has no limit.
func (b *Buckets) Rate(id api.UpstreamID) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.buckets[id]
	if !ok {
		return 0, false
	}
	return k.rate, true
}

// Want counts a request that would be sent to an upstream if it had no limit.
func (b *Buckets) Want(id api.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.buckets[id]; ok {
		k.wanted++
	}
}

// TakeWanted returns the requests counted by Want since the last call, for each upstream
// with a limit.
func (b *Buckets) TakeWanted() map[api.UpstreamID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[api.UpstreamID]int, len(b.buckets))
	for id, k := range b.buckets {
		out[id], k.wanted = k.wanted, 0
	}
	return out
}
