package dispatch

import (
	"errors"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/retry"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/carrier"
)

// result takes in the end of a task.
func (h *handler) result(r carrier.Result) {
	h.release(r.Task)
	now := h.cfg.Now()
	if r.Task.Job == nil {
		h.probed(r, now)
		return
	}
	u, ok := h.upstreams[r.Task.Target.ID]
	if !invariant.Check(ok, "attempt-has-upstream", "attempt %d at %s", r.Task.Attempt, r.Task.Target.ID) {
		return
	}
	a := u.running[r.Task.Attempt]
	if !invariant.Check(a != nil, "attempt-ends-once", "attempt %d at %s", r.Task.Attempt, r.Task.Target.ID) {
		return
	}
	h.end(u, a, r, now)
	f := a.flight
	if h.flights[f.job.ID] != f {
		return // another attempt won, or the flight was given up
	}
	if r.Err == nil {
		h.complete(f, r)
		return
	}
	h.failed(f, u, r, now)
}

// end books an attempt out of its upstream.
func (h *handler) end(u *upstreamState, a *attempt, r carrier.Result, now time.Time) {
	a.cancel()
	delete(u.running, a.id)
	delete(a.flight.running, a.id)
	h.planEnds(a.flight)
	if n := len(r.Versions); n > 0 {
		u.seen[a.flight.job.Model] = seenVersion{version: r.Versions[n-1], at: now}
	}
	u.solo = u.solo && len(u.running) > 0
	perToken := r.Elapsed / time.Duration(max(1, r.Tokens))
	ok := r.Err == nil
	blameless := blameless(r.Err)
	if blameless {
		perToken = 0
	}
	u.window.Done(a.flight.job.Lane, a.flight.short, perToken, ok || blameless, now)
	if !blameless {
		u.observer.Done(u.info.ID, perToken, ok, now)
	}
	if ok {
		u.refusals = 0
		if a.flight.short {
			h.short.add(r.Elapsed)
		}
	}
}

// blameless reports whether a failure says nothing about the upstream.
func blameless(err error) bool {
	switch api.CodeOf(callCode(err)) {
	case api.CodeCancelled, api.CodeNoUpstream:
		return true
	default:
		return false
	}
}

// callCode turns a call's error into one with a code of package api.
func callCode(err error) error {
	var e *upstream.CallError
	if errors.As(err, &e) {
		return &api.Error{Code: e.Code, Detail: e.Error(), Cause: e}
	}
	return err
}

// complete ends a flight with its whole answer.
func (h *handler) complete(f *flight, r carrier.Result) {
	h.keep(f, r)
	h.clear(f.job.Fingerprint)
	a := f.whole(r.Finish.Reason)
	a.Status, a.ContentType, a.Body = r.Plain.Status, r.Plain.ContentType, r.Plain.Body
	h.finish(f, a)
}

func (f *flight) whole(reason string) work.Answer {
	return work.Answer{
		Outcome: api.OutcomeComplete, FinishReason: reason,
		Text: f.text, Tokens: f.tokens, Versions: f.versions,
	}
}

// allTokens reports whether only the end marker of a generation is missing.
func (h *handler) allTokens(f *flight) bool {
	g := f.job.Call.Generate
	return g != nil && f.tokens >= g.MaxTokens
}

// keep adds an attempt's part to the answer.
func (h *handler) keep(f *flight, r carrier.Result) {
	f.text += r.Text
	f.tokens += r.Tokens
	for _, v := range r.Versions {
		if !slices.Contains(f.versions, v) {
			f.versions = append(f.versions, v)
		}
	}
	slices.Sort(f.versions)
}

// failed decides what becomes of a flight after a failed attempt.
func (h *handler) failed(f *flight, u *upstreamState, r carrier.Result, now time.Time) {
	var call *upstream.CallError
	if !errors.As(r.Err, &call) {
		call = &upstream.CallError{Upstream: u.info.ID, Sent: true, Code: api.CodeInternal, Cause: r.Err}
	}
	f.lastErr = callCode(call)
	f.answered = call.Status != 0
	if len(f.running) > 0 {
		f.sent = f.sent || call.Sent
		return // the hedge goes on
	}
	if call.Sent || f.job.Stream {
		h.keep(f, r)
	}
	if !call.Sent {
		h.unsent(f, u, call, now)
		return
	}
	f.sent = true
	if h.allTokens(f) {
		h.finish(f, f.whole("length"))
		return
	}
	f.fresh = call.Code == api.CodeUpstreamSilent || call.Code == api.CodeTruncated
	if lost(call) {
		h.suspect(f, u, now)
		return
	}
	h.again(f, now)
}

// again retries a flight if the decision and the budget allow, else ends it.
func (h *handler) again(f *flight, now time.Time) {
	d := retry.Decide(retry.Failure{
		Code: api.CodeOf(f.lastErr), Sent: f.sent, Answered: f.answered,
		Repeatable: f.job.Repeatable, Deadline: f.job.Deadline, Attempts: f.started,
	}, now)
	if f.cancelled || !d.Retry || !h.retries.Allow(now) {
		h.finish(f, work.Answer{Outcome: h.giveUp(f), Err: f.lastErr, Text: f.text, Tokens: f.tokens, Versions: f.versions})
		return
	}
	retried.Add(1)
	h.enqueue(f, now)
}

const (
	// firstSuspension and maxSuspension bound the time for which an upstream
	// that takes no connections is left alone; it doubles with each refusal.
	firstSuspension = 100 * time.Millisecond
	maxSuspension   = 2 * time.Second
)

// unsent puts a flight back that certainly did not reach its upstream. Only
// its deadline ends it, as it costs the upstreams nothing.
func (h *handler) unsent(f *flight, u *upstreamState, call *upstream.CallError, now time.Time) {
	if call.Code != api.CodeNoUpstream && call.Code != api.CodeCancelled {
		h.suspend(u, now)
	}
	if f.cancelled {
		h.finish(f, work.Answer{Outcome: h.giveUp(f), Err: f.lastErr})
		return
	}
	h.enqueue(f, now)
}

func (h *handler) suspend(u *upstreamState, now time.Time) {
	pause := min(maxSuspension, firstSuspension<<min(u.refusals, 10))
	u.refusals++
	u.suspended = now.Add(pause)
}
