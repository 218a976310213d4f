package routing

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.3
	// slowFactor is how many times the median of all upstreams a latency is
	// that counts as slow.
	slowFactor = 2.5
	// slowFailureCount is the number of failed calls in a row that counts as slow.
	slowFailureCount = 2
	// probeInterval is the time without an observation after which a slow
	// upstream is probed, and the time between two probes.
	probeInterval = 500 * time.Millisecond
	// maxProbeAllowance bounds the doubling of a probe's allowance.
	maxProbeAllowance = 1024
	// medianMaxAge is the time for which a computed median is used again.
	medianMaxAge = 20 * time.Millisecond
)

// Observer keeps one daemon's own observations of upstreams, which come ahead
// of their late load reports. It belongs to one duty: it is not safe for
// concurrent use.
type Observer struct {
	upstreams map[api.UpstreamID]*upstreamState
	median    time.Duration
	medianAt  time.Time
	sorted    []time.Duration // reused between computations of the median
}

type upstreamState struct {
	latency        time.Duration // moving average; zero is unknown
	lastObserved   time.Time     // last observation
	failures       int           // failed calls in a row
	lastProbe      time.Time     // last probe, or the moment it was found slow; zero while not slow
	replaceNext    bool          // a probe is out: the next observation replaces the average
	probeAllowance int           // how often the next probe lets the upstream pass for normal
	probeRemaining int           // how often the present probe still does
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{upstreams: make(map[api.UpstreamID]*upstreamState)}
}

// Done records the end of a call and its mean time per token (or per call).
// A failed call's time is not counted.
func (o *Observer) Done(id api.UpstreamID, perToken time.Duration, ok bool, now time.Time) {
	u := o.upstream(id)
	if !ok {
		u.failures++
		u.endProbe(now)
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
	u.endProbe(now)
	u.replaceNext = false
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
	if !u.replaceNext && !o.isSlow(u, now) {
		u.lastProbe = time.Time{}
		return false
	}
	if u.lastProbe.IsZero() {
		u.lastProbe = now
		return true
	}
	if now.Sub(u.lastProbe) >= probeInterval && now.Sub(u.lastObserved) >= probeInterval {
		u.startProbe(o.medianLatency(now), now)
	}
	if u.probeRemaining > 0 {
		u.probeRemaining--
		return false
	}
	return true
}

// Forget drops the observations of an upstream that left the usage list.
func (o *Observer) Forget(id api.UpstreamID) { delete(o.upstreams, id) }

func (o *Observer) upstream(id api.UpstreamID) *upstreamState {
	u, ok := o.upstreams[id]
	if !ok {
		u = &upstreamState{probeAllowance: 1}
		o.upstreams[id] = u
	}
	return u
}

func (o *Observer) isSlow(u *upstreamState, now time.Time) bool {
	if u.failures >= slowFailureCount {
		return true
	}
	median := o.medianLatency(now)
	return median > 0 && float64(u.latency) > slowFactor*float64(median)
}

// medianLatency returns the lower median, so that the faster of two upstreams
// is the measure for the other.
func (o *Observer) medianLatency(now time.Time) time.Duration {
	if !o.medianAt.IsZero() && now.Sub(o.medianAt) < medianMaxAge {
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

func (u *upstreamState) observe(perToken time.Duration, now time.Time) {
	u.endProbe(now)
	if perToken <= 0 {
		u.replaceNext = false
		return
	}
	if u.latency == 0 || u.replaceNext {
		u.latency = perToken
		u.replaceNext = false
		return
	}
	u.latency += time.Duration(latencySmoothing * float64(perToken-u.latency))
}

// endProbe ends a probe: the upstream has shown how it is.
func (u *upstreamState) endProbe(now time.Time) {
	u.lastObserved = now
	u.probeRemaining = 0
	u.probeAllowance = 1
}

func (u *upstreamState) startProbe(median time.Duration, now time.Time) {
	u.lastProbe = now
	u.replaceNext = true
	u.latency = median
	u.probeRemaining = u.probeAllowance
	u.probeAllowance = min(maxProbeAllowance, 2*u.probeAllowance)
}
