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
	"dotterelmount.example/server/worker"
)

// handleResult processes the result of a probe or an attempt.
func (h *handler) handleResult(r worker.Result) {
	h.releaseWorker(r.Task)
	now := h.cfg.Now()
	if r.Task.Job == nil {
		h.handleProbe(r, now)
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
	h.endAttempt(u, a, r, now)
	f := a.flight
	if h.flights[f.job.ID] != f {
		return // another attempt completed it, or it was finished with an error
	}
	if r.Err == nil {
		h.complete(f, r)
		return
	}
	h.handleFailure(f, u, r, now)
}

// endAttempt removes an attempt from its upstream and reports its duration and
// result to the window and the observer.
func (h *handler) endAttempt(u *upstreamState, a *attempt, r worker.Result, now time.Time) {
	a.cancel()
	delete(u.running, a.id)
	delete(a.flight.running, a.id)
	h.countPlanEnd(a.flight)
	if n := len(r.Versions); n > 0 {
		u.observed[a.flight.job.Model] = observedVersion{version: r.Versions[n-1], at: now}
	}
	u.runsIsolated = u.runsIsolated && len(u.running) > 0
	perToken := r.Elapsed / time.Duration(max(1, r.Tokens))
	ok := r.Err == nil
	unrelated := unrelatedToUpstream(r.Err)
	if unrelated {
		perToken = 0
	}
	u.window.Done(a.flight.job.Lane, a.flight.short, perToken, ok || unrelated, now)
	if !unrelated {
		u.observer.Done(u.info.ID, perToken, ok, now)
	}
	if ok {
		u.consecutiveRefusals = 0
		if a.flight.short {
			h.shortLatency.add(r.Elapsed)
		}
	}
}

// unrelatedToUpstream reports whether a call failed because it was cancelled, or
// because it was no longer allowed when it was about to be sent.
func unrelatedToUpstream(err error) bool {
	switch api.CodeOf(apiError(err)) {
	case api.CodeCancelled, api.CodeNoUpstream:
		return true
	default:
		return false
	}
}

// apiError converts an upstream.CallError to an api.Error. It returns other errors
// unchanged.
func apiError(err error) error {
	var e *upstream.CallError
	if errors.As(err, &e) {
		return &api.Error{Code: e.Code, Detail: e.Error(), Cause: e}
	}
	return err
}

// complete finishes a flight with its complete result.
func (h *handler) complete(f *flight, r worker.Result) {
	h.appendOutput(f, r)
	h.clearStrikes(f.job.Fingerprint)
	res := f.completeResult(r.Finish.Reason)
	res.Status, res.ContentType, res.Body = r.Plain.Status, r.Plain.ContentType, r.Plain.Body
	h.finish(f, res)
}

func (f *flight) completeResult(reason string) work.Result {
	return work.Result{
		Outcome: api.OutcomeComplete, FinishReason: reason,
		Text: f.text, Tokens: f.tokens, Versions: f.versions,
	}
}

// hasAllTokens reports whether a generation has all its tokens, so that only its
// end marker can be missing.
func (h *handler) hasAllTokens(f *flight) bool {
	g := f.job.Call.Generate
	return g != nil && f.tokens >= g.MaxTokens
}

// appendOutput appends an attempt's output to the flight's.
func (h *handler) appendOutput(f *flight, r worker.Result) {
	f.text += r.Text
	f.tokens += r.Tokens
	for _, v := range r.Versions {
		if !slices.Contains(f.versions, v) {
			f.versions = append(f.versions, v)
		}
	}
	slices.Sort(f.versions)
}

// handleFailure finishes, requeues or retries a flight after a failed attempt.
func (h *handler) handleFailure(f *flight, u *upstreamState, r worker.Result, now time.Time) {
	var call *upstream.CallError
	if !errors.As(r.Err, &call) {
		call = &upstream.CallError{Upstream: u.info.ID, Sent: true, Code: api.CodeInternal, Cause: r.Err}
	}
	f.lastErr = apiError(call)
	f.responded = call.Status != 0
	if len(f.running) > 0 {
		f.maybeSent = f.maybeSent || call.Sent
		return // the other attempt continues
	}
	if call.Sent || f.job.Stream {
		h.appendOutput(f, r)
	}
	if !call.Sent {
		h.requeueUnsent(f, u, call, now)
		return
	}
	f.maybeSent = true
	if h.hasAllTokens(f) {
		h.finish(f, f.completeResult("length"))
		return
	}
	f.newConnection = call.Code == api.CodeUpstreamSilent || call.Code == api.CodeTruncated
	if connectionLost(call) {
		h.checkForCrash(f, u, now)
		return
	}
	h.retryOrFinish(f, now)
}

// retryOrFinish requeues a flight if the retry policy and budget allow it, and
// finishes it otherwise.
func (h *handler) retryOrFinish(f *flight, now time.Time) {
	d := retry.Decide(retry.Failure{
		Code: api.CodeOf(f.lastErr), Sent: f.maybeSent, Responded: f.responded,
		Repeatable: f.job.Repeatable, Deadline: f.job.Deadline, Attempts: f.attempts,
	}, now)
	if f.cancelled || !d.Retry || !h.retryBudget.Allow(now) {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: f.lastErr, Text: f.text, Tokens: f.tokens, Versions: f.versions})
		return
	}
	retried.Add(1)
	h.enqueue(f, now)
}

const (
	// firstSuspension and maxSuspension bound the time for which an upstream that
	// refuses connections gets no calls. The time doubles with each refusal.
	firstSuspension = 100 * time.Millisecond
	maxSuspension   = 2 * time.Second
)

// requeueUnsent requeues a flight whose attempt was not sent. Such retries are
// bounded only by the deadline, as they put no load on upstreams.
func (h *handler) requeueUnsent(f *flight, u *upstreamState, call *upstream.CallError, now time.Time) {
	if call.Code != api.CodeNoUpstream && call.Code != api.CodeCancelled {
		h.suspend(u, now)
	}
	if f.cancelled {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: f.lastErr})
		return
	}
	h.enqueue(f, now)
}

func (h *handler) suspend(u *upstreamState, now time.Time) {
	pause := min(maxSuspension, firstSuspension<<min(u.consecutiveRefusals, 10))
	u.consecutiveRefusals++
	u.suspendedUntil = now.Add(pause)
}
