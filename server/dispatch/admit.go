package dispatch

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/work"
)

// submit queues a job that passes validation and finishes any other as not run.
func (h *handler) submit(j *work.Job) {
	f := &flight{
		job:     j,
		short:   j.CostTokens <= h.cfg.ShortTokens,
		running: make(map[uint64]*attempt),
	}
	if _, ok := h.flights[j.ID]; ok {
		refuse(j, api.Errorf(api.CodeInvalid, "request id %q is in use", j.ID))
		return
	}
	now := h.cfg.Now()
	if err := h.validate(j, now); err != nil {
		refuse(j, err)
		return
	}
	h.flights[j.ID] = f
	h.plans[j.Plan].pending++
	h.retryBudget.CountRequest(now)
	h.hedgeBudget.CountRequest(now)
	h.enqueue(f, now)
}

func refuse(j *work.Job, err error) {
	refused.Add(string(api.CodeOf(err)), 1)
	j.Sink.Finish(work.Result{Outcome: api.OutcomeNotRun, Err: err})
}

// validate checks a job's deadline, its access by the usage list, its
// quarantine and its plan's limits.
func (h *handler) validate(j *work.Job, now time.Time) error {
	if !now.Before(j.Deadline) {
		return api.Errorf(api.CodeDeadlineExceeded, "the deadline has passed")
	}
	usage, err := h.state.PlanUsage(j.Plan)
	if err != nil {
		return err
	}
	if !slices.Contains(usage.Models, j.Model) {
		return api.Errorf(api.CodeUnknownModel, "plan %q may not use %q", j.Plan, j.Model)
	}
	if len(h.upstreamsFor(j)) == 0 {
		return api.Errorf(api.CodeUnknownModel, "no upstream of plan %q serves %q", j.Plan, j.Model)
	}
	if h.quarantineDecision(j, now) == quarantine.Refused {
		return api.Errorf(api.CodeQuarantined, "requests with fingerprint %s crashed upstreams", j.Fingerprint)
	}
	return h.admitPlan(usage, now)
}

// enqueue adds a flight to the queue. Rollouts that the queue sheds to make
// room are finished with CodeShed.
func (h *handler) enqueue(f *flight, now time.Time) {
	shed, err := h.queue.Push(admission.Item{
		ID: f.job.ID, Lane: f.job.Lane, Customer: f.job.Customer, Cost: f.job.CostTokens,
		Deadline: f.job.Deadline, Enqueued: now,
	}, now)
	f.queued = err == nil
	if err != nil {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err})
	}
	for _, it := range shed {
		h.shedFlight(it.ID)
	}
}

func (h *handler) shedFlight(id api.RequestID) {
	f, ok := h.flights[id]
	if !ok {
		return
	}
	f.queued = false
	h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: api.Errorf(api.CodeShed, "shed from the queue for higher-priority work")})
}

// upstreamsFor returns the upstreams that serve a job's model and that the
// usage list allows for its plan.
func (h *handler) upstreamsFor(j *work.Job) []*upstreamState {
	k := eligibleKey{plan: j.Plan, model: j.Model}
	if list, ok := h.eligible[k]; ok {
		return list
	}
	var list []*upstreamState
	usage, err := h.state.PlanUsage(j.Plan)
	if err != nil {
		return nil
	}
	for i := range h.state.Usage.Upstreams {
		info := &h.state.Usage.Upstreams[i]
		allowed := len(usage.Upstreams) == 0 || slices.Contains(usage.Upstreams, info.ID)
		if allowed && slices.Contains(info.Models, j.Model) {
			list = append(list, h.upstreams[info.ID])
		}
	}
	h.eligible[k] = list
	return list
}

// quarantineDecision decides by the strikes in the log and by this daemon's own
// strikes that are not logged yet, so that it works during a log outage too.
func (h *handler) quarantineDecision(j *work.Job, now time.Time) quarantine.Decision {
	if j.Owed {
		return quarantine.Unrestricted
	}
	return quarantine.Decide(h.strikesOf(j.Fingerprint), now.UnixMilli())
}
