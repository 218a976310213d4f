package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quarantine"
)

const (
	// hedgeFactor is the multiple of the mean duration of short calls after which
	// an attempt is hedged.
	hedgeFactor = 3
	// hedgeMinGain is the minimum ratio of an attempt's expected remaining time to
	// that of a full run elsewhere for a hedge on a slow upstream.
	hedgeMinGain = 1.5
	// latencySmoothing is the weight of a new sample in a movingAverage.
	latencySmoothing = 0.05
)

// movingAverage is an exponentially weighted moving average.
type movingAverage struct{ mean time.Duration }

func (m *movingAverage) add(d time.Duration) {
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(latencySmoothing * float64(d-m.mean))
}

// hedge starts a second attempt of short, repeatable, non-streaming requests that
// take far longer than usual. The first complete response wins. The baseline
// policies, which measurements compare against, do not hedge.
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
	return h.quarantineDecision(f.job, now) == quarantine.Unrestricted
}

// fasterElsewhere reports whether an attempt's upstream has become so slow that a
// new attempt elsewhere is expected to end well before it.
func (a *attempt) fasterElsewhere(now time.Time) bool {
	if !a.upstream.slow {
		return false
	}
	o := a.upstream.observer
	total := int64(a.flight.job.CostTokens)
	left := total - a.task.Tokens.Load()
	remaining := time.Duration(left) * o.Latency(a.upstream.info.ID)
	elsewhere := time.Duration(total) * o.Median(now)
	return remaining > time.Duration(hedgeMinGain*float64(elsewhere))
}
