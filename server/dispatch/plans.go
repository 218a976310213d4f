package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

// planState is this daemon's use of one plan's limits.
type planState struct {
	usage   api.Usage
	running int // requests with a call in progress
	pending int // requests accepted and not finished
	bucket  *quota.Bucket
	rate    float64 // requests per second on this daemon
}

// applyPlans applies the limits of the current usage list. Plans that it no
// longer has become unlimited for the requests that are still in progress.
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

// admitPlan checks a request against its plan's limits. As many requests may wait
// for a concurrency slot as the plan may have in progress.
// Errors: CodeQuotaExceeded.
func (h *handler) admitPlan(usage *api.Usage, now time.Time) error {
	p := h.plans[usage.Plan]
	if limit := p.usage.Concurrency; limit > 0 && p.pending >= limit+h.concurrency(p) {
		return api.Errorf(api.CodeQuotaExceeded, "plan %q has %d requests in progress", usage.Plan, p.pending)
	}
	if p.usage.RequestsPerSecond > 0 && !h.takeToken(p, now) {
		return api.Errorf(api.CodeQuotaExceeded, "plan %q is at its limit of %g requests per second", usage.Plan, p.usage.RequestsPerSecond)
	}
	return nil
}

// takeToken takes one token from the bucket for this daemon's equal share of the
// plan's rate. The bucket's burst is one second of that rate.
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

// concurrency returns this daemon's share of a plan's concurrency limit.
func (h *handler) concurrency(p *planState) int {
	if h.cfg.Shares == nil {
		return p.usage.Concurrency
	}
	return h.cfg.Shares.Concurrency(p.usage.Plan)
}

// atConcurrencyLimit reports whether a plan's concurrency limit is reached on this
// daemon.
func (h *handler) atConcurrencyLimit(name api.PlanName) bool {
	p, ok := h.plans[name]
	return ok && p.usage.Concurrency > 0 && p.running >= h.concurrency(p)
}

// countPlanStart counts a flight as running if it has no call in progress yet.
func (h *handler) countPlanStart(f *flight) {
	if len(f.running) == 0 {
		h.plans[f.job.Plan].running++
	}
}

// countPlanEnd stops counting a flight as running if it has no call in progress
// left.
func (h *handler) countPlanEnd(f *flight) {
	if len(f.running) == 0 {
		h.plans[f.job.Plan].running--
	}
}

// addPlanDemands adds the demands of the plans with a concurrency limit.
func (h *handler) addPlanDemands() {
	for name, p := range h.plans {
		if p.usage.Concurrency > 0 {
			d := quota.Demand{Wanted: max(p.pending, p.running), InUse: p.running}
			h.addDemand(quota.Resource{Kind: quota.KindPlan, Name: string(name)}, d)
		}
	}
}
