// Package once runs a request with a caller's key at most once. The right to
// run it is a claim in the platform's log that must be won before the request
// is dispatched; every other call with the same key, on any daemon, is
// answered from what the log says of that claim.
//
// A claim is never taken over. A holder that dies or pauses between winning
// and dispatching therefore leaves a claim without a result, which is answered
// as unknown: nobody else may know whether it ran.
package once

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/logbook"
)

// ClaimLog is the daemon's view of the log.
type ClaimLog interface {
	Propose(ctx context.Context, stream string, body api.RecordBody, actor string) (ledger.Verdict, error)
	ProposeAsync(p logbook.Proposal) error
	LookupClaim(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error)
}

// Request identifies a once-only request.
type Request struct {
	Key         ledger.ClaimKey
	Fingerprint api.Fingerprint
}

// Guard decides who may run.
type Guard struct {
	claimLog ClaimLog
	daemon   api.DaemonID
	now      func() time.Time
}

// New returns a guard that claims in the name of a daemon.
func New(book ClaimLog, daemon api.DaemonID, now func() time.Time) *Guard {
	return &Guard{claimLog: book, daemon: daemon, now: now}
}

const (
	// maxStoredResponseBytes bounds the answer kept in the log for repeated calls, in bytes.
	maxStoredResponseBytes = 64 << 10
	// settleTimeout is how long the result of a run is tried to be recorded.
	settleTimeout = 10 * time.Minute
	// releaseTimeout is how long a caller waits until its unused key is free again.
	releaseTimeout = 2 * time.Second
	// pollInterval is how often an unsettled claim is looked at again.
	pollInterval = 50 * time.Millisecond
)

// Run calls run if and only if this call wins the claim; otherwise it answers
// from the log. replayed is true when the answer is that of an earlier call.
// ctx must carry the request's deadline.
func (g *Guard) Run(ctx context.Context, r Request, run func() work.Result) (a work.Result, replayed bool) {
	for {
		state, found, err := g.lookUp(ctx, r.Key)
		if err != nil {
			return notRun(err), false
		}
		if found && !state.Released {
			if a, ended := g.replayResult(ctx, r, state); ended {
				return a, true
			}
			continue // released meanwhile: the key may be won again
		}
		verdict, err := g.proposeClaim(ctx, r)
		if err != nil {
			// Nothing was dispatched, and this call will not, whatever became of the record.
			return notRun(err), false
		}
		if verdict.Err == nil {
			answer := run()
			g.settle(ctx, r, verdict.ID, answer)
			return answer, false
		}
	}
}

// lookUp reads a claim; a daemon that has just started first has to read them all.
func (g *Guard) lookUp(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		state, found, err := g.claimLog.LookupClaim(ctx, k)
		if api.CodeOf(err) != api.CodeNotReady {
			return state, found, err
		}
		select {
		case <-ctx.Done():
			return state, found, err
		case <-ticker.C:
		}
	}
}

// proposeClaim proposes the claim and waits for the verdict. A claim that is won only
// after the caller was told that nothing ran is released at once.
func (g *Guard) proposeClaim(ctx context.Context, r Request) (ledger.Verdict, error) {
	deadline, _ := ctx.Deadline()
	var told atomic.Bool // by the verdict or by the deadline, whichever was first
	slot := ring.NewSlot[claimResult]()
	late := func(v ledger.Verdict) {
		if v.Err == nil {
			g.release(r, v.ID)
		}
	}
	err := g.claimLog.ProposeAsync(logbook.Proposal{
		Stream: api.StreamClaims, Actor: string(g.daemon), Deadline: deadline, OnLateVerdict: late,
		Body: api.Claim{Customer: r.Key.Customer, Key: r.Key.Key, Fingerprint: r.Fingerprint, Holder: g.daemon},
		Done: func(v ledger.Verdict, err error) {
			if told.CompareAndSwap(false, true) {
				slot.Put(claimResult{v, err})
			} else if err == nil {
				late(v)
			}
		},
	})
	if err != nil {
		return ledger.Verdict{}, err
	}
	c, err := slot.Wait(ctx)
	if err == nil {
		return c.verdict, c.err
	}
	if told.CompareAndSwap(false, true) {
		return ledger.Verdict{}, api.Errorf(api.CodeDeadlineExceeded, "key %q was not claimed in time: %w", r.Key.Key, err)
	}
	c, _ = slot.Wait(context.WithoutCancel(ctx)) // the verdict came first
	return c.verdict, c.err
}

type claimResult struct {
	verdict ledger.Verdict
	err     error
}

// release frees a key whose request this daemon will not dispatch.
func (g *Guard) release(r Request, claim api.RecordID) {
	body := api.Settle{Customer: r.Key.Customer, Key: r.Key.Key, Claim: claim, Outcome: api.OutcomeNotRun}
	g.record(body) // without it later calls hear unknown, which is safe
}

// record proposes the result of a claim without waiting for it.
func (g *Guard) record(body api.Settle) {
	_ = g.claimLog.ProposeAsync(logbook.Proposal{
		Stream: api.StreamClaims, Body: body, Actor: string(g.daemon),
		Deadline: g.now().Add(settleTimeout), Done: func(ledger.Verdict, error) {},
	})
}

func notRun(err error) work.Result { return work.Result{Outcome: api.OutcomeNotRun, Err: err} }

// replayResult waits for the claim's result and returns it, or says that it is
// unknown. It reports false when the claim was released.
func (g *Guard) replayResult(ctx context.Context, r Request, s ledger.ClaimState) (work.Result, bool) {
	if s.Fingerprint != r.Fingerprint {
		return notRun(api.Errorf(api.CodeConflict, "key %q was used for another request", r.Key.Key)), true
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !s.Settled {
		select {
		case <-ctx.Done():
			return unsettledResult(s), true
		case <-ticker.C:
		}
		next, found, err := g.claimLog.LookupClaim(ctx, r.Key)
		if err != nil || !found {
			return unsettledResult(s), true
		}
		s = next
	}
	return resultOf(s), !s.Released
}

func unsettledResult(s ledger.ClaimState) work.Result {
	err := api.Errorf(api.CodeDuplicateKey, "key %q is held by daemon %q without a result", s.Key, s.Holder)
	return work.Result{Outcome: api.OutcomeUnknown, Err: err}
}

func resultOf(s ledger.ClaimState) work.Result {
	if s.Outcome == api.OutcomeComplete && len(s.Response) == s.ResponseBytes {
		return work.Result{Outcome: s.Outcome, Status: s.Status, Body: s.Response, ContentType: s.ContentType}
	}
	err := api.Errorf(api.CodeDuplicateKey, "key %q was used at offset %d and ended as %s; its answer of %d bytes is not kept",
		s.Key, s.Offset, s.Outcome, s.ResponseBytes)
	return work.Result{Outcome: s.Outcome, Err: err}
}

// settle records how a run ended. A key that was not used is freed before the
// caller hears of it, so that its next try may win.
func (g *Guard) settle(ctx context.Context, r Request, claim api.RecordID, a work.Result) {
	body := api.Settle{
		Customer: r.Key.Customer, Key: r.Key.Key, Claim: claim,
		Outcome: a.Outcome, Status: a.Status, ResponseBytes: len(a.Body), ContentType: a.ContentType,
	}
	if len(a.Body) <= maxStoredResponseBytes {
		body.Response = a.Body
	}
	if a.Outcome == api.OutcomeNotRun {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_, _ = g.claimLog.Propose(ctx, api.StreamClaims, body, string(g.daemon)) // unsettled: later calls hear unknown
		return
	}
	g.record(body) // without it later calls hear unknown, which is true
}
