package routing

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// smoothing is the weight of a new observation in the moving average.
	smoothing = 0.3
	// slowFactor is how many times the median of all upstreams a latency is
	// that counts as slow.
	slowFactor = 2.5
	// failuresInRow is the number of failed calls in a row that counts as slow.
	failuresInRow = 2
	// probeInterval is the time without an observation after which a slow
	// upstream is probed, and the time between two probes.
	probeInterval = 500 * time.Millisecond
	// maxAllowance bounds the doubling of a probe's allowance.
	maxAllowance = 1024
	// medianLife is the time for which a computed median is used again.
	medianLife = 20 * time.Millisecond
)

// Observer keeps one daemon's own observations of upstreams, which come ahead
// of their late load reports. It belongs to one duty: it is not safe for
// concurrent use.
type Observer struct {
	upstreams map[api.UpstreamID]*observed
	median    time.Duration
	medianAt  time.Time
	sorted    []time.Duration // reused between computations of the median
}

type observed struct {
	latency   time.Duration // moving average; zero is unknown
	seen      time.Time     // last observation
	failures  int           // failed calls in a row
	probed    time.Time     // last probe, or the moment it was found slow; zero while not slow
	fresh     bool          // a probe is out: the next observation replaces the average
	allowance int           // how often the next probe lets the upstream pass for normal
	left      int           // how often the present probe still does
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{upstreams: make(map[api.UpstreamID]*observed)}
}

// Done records the end of a call and its mean time per token (or per call).
// A failed call's time is not counted.
func (o *Observer) Done(id api.UpstreamID, perToken time.Duration, ok bool, now time.Time) {
	u := o.upstream(id)
	if !ok {
		u.failures++
		u.saw(now)
		return
	}
	u.failures = 0
	u.observe(perToken, now)
}

// Progress records the time per token of a piece of a running call.
func (o *Observer) Progress(id api.UpstreamID, perToken time.Duration, now time.Time) {
	o.upstream(id).observe(perToken, now)
}

// Stalled records that a running call has waited for its next token for at
// least this long. Where that alone is slow it takes the place of a smaller
// average, as it is certain; a shorter wait says nothing yet.
func (o *Observer) Stalled(id api.UpstreamID, atLeast time.Duration, now time.Time) {
	u := o.upstream(id)
	median := o.medianLatency(now)
	if median == 0 || atLeast <= u.latency || float64(atLeast) <= slowFactor*float64(median) {
		return
	}
	u.saw(now)
	u.fresh = false
	u.latency = atLeast
}

// Latency returns the moving average of the time per token; zero is unknown.
func (o *Observer) Latency(id api.UpstreamID) time.Duration {
	u, ok := o.upstreams[id]
	if !ok {
		return 0
	}
	return u.latency
}

// Median returns the lower median of the times per token of all upstreams;
// zero is unknown.
func (o *Observer) Median(now time.Time) time.Duration { return o.medianLatency(now) }

// Slow reports whether the upstream is to be avoided: its recent time per
// token is several times the median of all, or its last calls failed. After a
// probe interval in which running calls told nothing of it, Slow returns false
// once and forgets the old average, so that one request can show that the
// upstream has recovered. A request may well go elsewhere then; so each probe
// that led to no observation doubles the allowance of the next.
func (o *Observer) Slow(id api.UpstreamID, now time.Time) bool {
	u, ok := o.upstreams[id]
	if !ok {
		return false
	}
	if !u.fresh && !o.exceeds(u, now) {
		u.probed = time.Time{}
		return false
	}
	if u.probed.IsZero() {
		u.probed = now
		return true
	}
	if now.Sub(u.probed) >= probeInterval && now.Sub(u.seen) >= probeInterval {
		u.probe(o.medianLatency(now), now)
	}
	if u.left > 0 {
		u.left--
		return false
	}
	return true
}

// Forget drops the observations of an upstream that left the usage list.
func (o *Observer) Forget(id api.UpstreamID) { delete(o.upstreams, id) }

func (o *Observer) upstream(id api.UpstreamID) *observed {
	u, ok := o.upstreams[id]
	if !ok {
		u = &observed{allowance: 1}
		o.upstreams[id] = u
	}
	return u
}

func (o *Observer) exceeds(u *observed, now time.Time) bool {
	if u.failures >= failuresInRow {
		return true
	}
	median := o.medianLatency(now)
	return median > 0 && float64(u.latency) > slowFactor*float64(median)
}

// medianLatency returns the lower median, so that the faster of two upstreams
// is the measure for the other.
func (o *Observer) medianLatency(now time.Time) time.Duration {
	if !o.medianAt.IsZero() && now.Sub(o.medianAt) < medianLife {
		return o.median
	}
	o.sorted = o.sorted[:0]
	for _, u := range o.upstreams {
		if u.latency > 0 {
			o.sorted = append(o.sorted, u.latency)
		}
	}
	o.median, o.medianAt = 0, now
	if len(o.sorted) > 0 {
		slices.Sort(o.sorted)
		o.median = o.sorted[(len(o.sorted)-1)/2]
	}
	return o.median
}

func (u *observed) observe(perToken time.Duration, now time.Time) {
	u.saw(now)
	if perToken <= 0 {
		u.fresh = false
		return
	}
	if u.latency == 0 || u.fresh {
		u.latency = perToken
		u.fresh = false
		return
	}
	u.latency += time.Duration(smoothing * float64(perToken-u.latency))
}

// saw ends a probe: the upstream has shown how it is.
func (u *observed) saw(now time.Time) {
	u.seen = now
	u.left = 0
	u.allowance = 1
}

func (u *observed) probe(median time.Duration, now time.Time) {
	u.probed = now
	u.fresh = true
	u.latency = median
	u.left = u.allowance
	u.allowance = min(maxAllowance, 2*u.allowance)
}
