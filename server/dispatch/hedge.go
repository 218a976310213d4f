package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quarantine"
)

const (
	// hedgeFactor is how many times the usual time of short work an attempt
	// takes before a second one starts.
	hedgeFactor = 3
	// hedgeMinGain is how many times as long as a whole run elsewhere the rest of
	// an attempt must be expected to take before a second one starts.
	hedgeMinGain = 1.5
	// latencySmoothing is the weight of a new time in the usual time.
	latencySmoothing = 0.05
)

// movingAverage is an exponential moving average.
type movingAverage struct{ mean time.Duration }

func (m *movingAverage) add(d time.Duration) {
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(latencySmoothing * float64(d-m.mean))
}

// hedge starts a second attempt of whole short repeatable requests that take
// far longer than usual; the first whole answer wins. The baselines, which
// stand for simple policies in measurements, do not hedge.
func (h *handler) hedge(now time.Time) {
	if h.cfg.HedgeRatio <= 0 || h.shortLatency.mean == 0 || h.ignoresWindows() {
		return
	}
	for _, f := range h.flights {
		for _, a := range f.running {
			if len(h.idleWorkers) == 0 {
				return
			}
			if h.hedgeable(a, now) && len(h.candidates(a.flight, now)) > 0 && h.hedgeBudget.Allow(now) {
				a.flight.hedged = h.start(a.flight, now)
				hedged.Add(1)
			}
		}
	}
}

func (h *handler) hedgeable(a *attempt, now time.Time) bool {
	f := a.flight
	if f.hedged || f.cancelled || f.job.Stream || !f.job.Repeatable || !f.short || f.job.Lane != api.LaneInteractive {
		return false
	}
	if now.Sub(a.started) < hedgeFactor*h.shortLatency.mean && !a.fasterElsewhere(now) {
		return false
	}
	return h.verdict(f.job.Fingerprint, now) == quarantine.Unrestricted
}

// fasterElsewhere reports whether an attempt is on an upstream that has become so
// slow that one begun elsewhere should be done well before it.
func (a *attempt) fasterElsewhere(now time.Time) bool {
	if !a.upstream.slow {
		return false
	}
	o := a.upstream.observer
	whole := int64(a.flight.job.CostTokens)
	left := whole - a.task.Tokens.Load()
	rest := time.Duration(left) * o.Latency(a.upstream.info.ID)
	again := time.Duration(whole) * o.Median(now)
	return rest > time.Duration(hedgeMinGain*float64(again))
}
