package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

// planState is this daemon's part in the limits of one plan.
type planState struct {
	usage   api.Usage
	running int // requests with a call in progress
	pending int // requests taken and not ended
	bucket  *quota.Bucket
	rate    float64 // requests a second of this daemon
}

// applyPlans takes over the limits of a usage list.
func (h *handler) applyPlans() {
	for _, p := range h.plans {
		p.usage.RequestsPerSecond, p.usage.Concurrency = 0, 0
	}
	for _, usage := range h.state.Usage.Usages {
		p, ok := h.plans[usage.Plan]
		if !ok {
			p = &planState{}
			h.plans[usage.Plan] = p
		}
		p.usage = usage
	}
}

// admitPlan refuses a request beyond its plan's limits. Requests may wait for
// a slot of the plan's concurrency, as many as the plan may have in progress.
// Errors: CodeQuotaExceeded.
func (h *handler) admitPlan(usage *api.Usage, now time.Time) error {
	p := h.plans[usage.Plan]
	if limit := p.usage.Concurrency; limit > 0 && p.pending >= limit+h.concurrency(p) {
		return api.Errorf(api.CodeQuotaExceeded, "plan %q has %d requests in progress", usage.Plan, p.pending)
	}
	if p.usage.RequestsPerSecond > 0 && !h.takeToken(p, now) {
		return api.Errorf(api.CodeQuotaExceeded, "plan %q is at its %g requests a second", usage.Plan, p.usage.RequestsPerSecond)
	}
	return nil
}

// takeToken takes one token of this daemon's even part of the plan's rate,
// which keeps up to a second's worth.
func (h *handler) takeToken(p *planState, now time.Time) bool {
	rate := p.usage.RequestsPerSecond / float64(h.liveDaemons())
	switch {
	case p.bucket == nil:
		p.bucket = quota.NewBucket(rate, rate)
	case rate != p.rate:
		p.bucket.SetRate(rate, now)
		p.bucket.SetBurst(rate)
	}
	p.rate = rate
	return p.bucket.Allow(now)
}

func (h *handler) liveDaemons() int {
	if h.cfg.LiveDaemons == nil {
		return 1
	}
	return max(1, h.cfg.LiveDaemons())
}

// concurrency returns this daemon's part of a limited plan's concurrency.
func (h *handler) concurrency(p *planState) int {
	if h.cfg.Shares == nil {
		return p.usage.Concurrency
	}
	return h.cfg.Shares.Concurrency(p.usage.Plan)
}

// atConcurrencyLimit reports whether a plan may start nothing now.
func (h *handler) atConcurrencyLimit(name api.PlanName) bool {
	p, ok := h.plans[name]
	return ok && p.usage.Concurrency > 0 && p.running >= h.concurrency(p)
}

// countPlanStart counts a flight of which a first call is about to start.
func (h *handler) countPlanStart(f *flight) {
	if len(f.running) == 0 {
		h.plans[f.job.Plan].running++
	}
}

// countPlanEnd counts a flight out whose last call in progress has ended.
func (h *handler) countPlanEnd(f *flight) {
	if len(f.running) == 0 {
		h.plans[f.job.Plan].running--
	}
}

// addPlanDemands finds the needs of the plans that have a concurrency.
func (h *handler) addPlanDemands() {
	for name, p := range h.plans {
		if p.usage.Concurrency > 0 {
			n := quota.Demand{Wanted: max(p.pending, p.running), InUse: p.running}
			h.addDemand(quota.Resource{Kind: quota.KindPlan, Name: string(name)}, n)
		}
	}
}
