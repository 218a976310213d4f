package routing

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.3
	// slowFactor is the multiple of the median latency of all upstreams above
	// which an upstream is slow.
	slowFactor = 2.5
	// slowFailureCount is the number of consecutive failed calls after which an
	// upstream is slow.
	slowFailureCount = 2
	// probeInterval is the time without observations after which a slow upstream
	// is probed, and the minimum time between two probes.
	probeInterval = 500 * time.Millisecond
	// maxProbeAllowance is the upper bound of a probe's allowance.
	maxProbeAllowance = 1024
	// medianMaxAge is how long a computed median is reused.
	medianMaxAge = 20 * time.Millisecond
)

// Observer keeps a daemon's own observations of upstreams, which are more recent
// than the upstreams' load reports. It is not safe for concurrent use.
type Observer struct {
	upstreams map[api.UpstreamID]*upstreamState
	median    time.Duration
	medianAt  time.Time
	sorted    []time.Duration // reused buffer for computing the median
}

type upstreamState struct {
	latency        time.Duration // moving average; zero: unknown
	lastObserved   time.Time     // last observation
	failures       int           // consecutive failed calls
	lastProbe      time.Time     // last probe, or when the upstream became slow; zero while it is not slow
	replaceNext    bool          // a probe has started: the next latency replaces the average
	probeAllowance int           // number of times that Slow returns false in the next probe
	probeRemaining int           // number of times that Slow still returns false in the current probe
}

// NewObserver returns an observer without observations.
func NewObserver() *Observer {
	return &Observer{upstreams: make(map[api.UpstreamID]*upstreamState)}
}

// Done records the end of a call and its mean time per token (or per call). ok is
// false if the upstream failed the call, whose time is then ignored.
func (o *Observer) Done(id api.UpstreamID, perToken time.Duration, ok bool, now time.Time) {
	u := o.upstream(id)
	if !ok {
		u.failures++
		u.recordObservation(now)
		return
	}
	u.failures = 0
	u.updateLatency(perToken, now)
}

// Progress records the time per token of a chunk of a running call.
func (o *Observer) Progress(id api.UpstreamID, perToken time.Duration, now time.Time) {
	o.upstream(id).updateLatency(perToken, now)
}

// Stalled records that a running call has waited at least this long for its next
// token. A wait that alone makes the upstream slow replaces a lower average, as the
// time per token is at least that long; a shorter one is ignored, as the token may
// still arrive in time.
func (o *Observer) Stalled(id api.UpstreamID, atLeast time.Duration, now time.Time) {
	u := o.upstream(id)
	median := o.medianLatency(now)
	if median == 0 || atLeast <= u.latency || float64(atLeast) <= slowFactor*float64(median) {
		return
	}
	u.recordObservation(now)
	u.replaceNext = false
	u.latency = atLeast
}

// Latency returns the moving average of the time per token, or zero if unknown.
func (o *Observer) Latency(id api.UpstreamID) time.Duration {
	u, ok := o.upstreams[id]
	if !ok {
		return 0
	}
	return u.latency
}

// Median returns the lower median of the time per token over all upstreams, or
// zero if unknown.
func (o *Observer) Median(now time.Time) time.Duration { return o.medianLatency(now) }

// Slow reports whether the upstream should be avoided: its recent time per token
// exceeds slowFactor times the median, or its last calls failed. After probeInterval
// without observations Slow starts a probe: it resets the average to the median and
// returns false once, so that a request can show whether the upstream has recovered.
// As that request may still be routed elsewhere, each probe without an observation
// doubles the number of times that Slow returns false in the next one.
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

// Forget drops the observations of an upstream removed from the usage list.
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

// medianLatency returns the lower median, so that of two upstreams the faster one
// is the reference.
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

func (u *upstreamState) updateLatency(perToken time.Duration, now time.Time) {
	u.recordObservation(now)
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

// recordObservation records the time of an observation and ends the current probe.
func (u *upstreamState) recordObservation(now time.Time) {
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
