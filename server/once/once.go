// Package once runs a request with an idempotency key at most once. A daemon must
// win a claim for the key in the platform's log before it dispatches the request.
// All other calls with the same key, on any daemon, get the claim's result from
// the log.
//
// A claim is never taken over. If its holder dies or pauses before it records a
// result, calls with the key get api.OutcomeUnknown, because no other daemon can tell
// whether the request ran.
package once

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/statereplica"
)

// ClaimLog proposes records to the log and reads the claims applied from it.
type ClaimLog interface {
	Propose(ctx context.Context, stream string, body api.RecordBody, actor string) (ledger.Verdict, error)
	ProposeAsync(p statereplica.Proposal) error
	LookupClaim(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error)
}

// Request identifies a once-only request. The fingerprint detects the reuse of a
// key for another request.
type Request struct {
	Key         ledger.ClaimKey
	Fingerprint api.Fingerprint
}

// Guard runs each once-only request at most once.
type Guard struct {
	claimLog ClaimLog
	daemon   api.DaemonID
	now      func() time.Time
}

// New returns a guard that claims keys for a daemon.
func New(claimLog ClaimLog, daemon api.DaemonID, now func() time.Time) *Guard {
	return &Guard{claimLog: claimLog, daemon: daemon, now: now}
}

const (
	// maxStoredResponseBytes bounds the response stored in the log for replay.
	maxStoredResponseBytes = 64 << 10
	// settleTimeout bounds the attempts to record the result of a run.
	settleTimeout = 10 * time.Minute
	// releaseTimeout bounds the time that a caller waits for the release of a key
	// whose request was not run.
	releaseTimeout = 2 * time.Second
	// pollInterval is the time between lookups of an unsettled claim.
	pollInterval = 50 * time.Millisecond
)

// Run calls run if and only if this call wins the claim, and otherwise returns the
// claim's result from the log. replayed reports whether the result is that of
// another call. ctx must have the request's deadline.
func (g *Guard) Run(ctx context.Context, r Request, run func() work.Result) (result work.Result, replayed bool) {
	for {
		state, found, err := g.lookUp(ctx, r.Key)
		if err != nil {
			return notRun(err), false
		}
		if found && !state.Released {
			if res, ended := g.replayResult(ctx, r, state); ended {
				return res, true
			}
			continue // the claim was released, so the key can be claimed again
		}
		verdict, err := g.proposeClaim(ctx, r)
		if err != nil {
			// This call dispatches nothing, whether or not the claim reaches the log.
			return notRun(err), false
		}
		if verdict.Err == nil {
			res := run()
			g.settle(ctx, r, verdict.ID, res)
			return res, false
		}
	}
}

// lookUp returns a claim. On a daemon that has just started it waits until all
// claims are read.
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

// proposeClaim proposes a claim and waits for the verdict. A claim that is won
// after ctx has ended is released, because the call has ended as not run by then.
func (g *Guard) proposeClaim(ctx context.Context, r Request) (ledger.Verdict, error) {
	deadline, _ := ctx.Deadline()
	var decided atomic.Bool // set by the verdict or the deadline, whichever is first
	slot := ring.NewSlot[claimResult]()
	releaseIfWon := func(v ledger.Verdict) {
		if v.Err == nil {
			g.release(r, v.ID)
		}
	}
	err := g.claimLog.ProposeAsync(statereplica.Proposal{
		Stream: api.StreamClaims, Actor: string(g.daemon), Deadline: deadline, OnLateVerdict: releaseIfWon,
		Body: api.Claim{Customer: r.Key.Customer, Key: r.Key.Key, Fingerprint: r.Fingerprint, Holder: g.daemon},
		Done: func(v ledger.Verdict, err error) {
			if decided.CompareAndSwap(false, true) {
				slot.Put(claimResult{v, err})
			} else if err == nil {
				releaseIfWon(v)
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
	if decided.CompareAndSwap(false, true) {
		return ledger.Verdict{}, api.Errorf(api.CodeDeadlineExceeded, "key %q was not claimed before the deadline: %w", r.Key.Key, err)
	}
	c, _ = slot.Wait(context.WithoutCancel(ctx)) // the verdict came first
	return c.verdict, c.err
}

type claimResult struct {
	verdict ledger.Verdict
	err     error
}

// release releases the claim of a request that this daemon will not dispatch.
func (g *Guard) release(r Request, claim api.RecordID) {
	body := api.Settle{Customer: r.Key.Customer, Key: r.Key.Key, Claim: claim, Outcome: api.OutcomeNotRun}
	g.record(body) // if it is lost, later calls get OutcomeUnknown, which is safe
}

// record proposes the result of a claim without waiting for it.
func (g *Guard) record(body api.Settle) {
	_ = g.claimLog.ProposeAsync(statereplica.Proposal{
		Stream: api.StreamClaims, Body: body, Actor: string(g.daemon),
		Deadline: g.now().Add(settleTimeout), Done: func(ledger.Verdict, error) {},
	})
}

func notRun(err error) work.Result { return work.Result{Outcome: api.OutcomeNotRun, Err: err} }

// replayResult waits for a claim's result until ctx ends and returns it, or a result
// with OutcomeUnknown if there is none. It reports false if the claim was released.
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
	err := api.Errorf(api.CodeDuplicateKey, "key %q was used at offset %d with outcome %s; its response of %d bytes is not stored",
		s.Key, s.Offset, s.Outcome, s.ResponseBytes)
	return work.Result{Outcome: s.Outcome, Err: err}
}

// settle records the result of a run. If the request was not run, it waits for the
// release of the key, so that the caller's next call can claim it.
func (g *Guard) settle(ctx context.Context, r Request, claim api.RecordID, res work.Result) {
	body := api.Settle{
		Customer: r.Key.Customer, Key: r.Key.Key, Claim: claim,
		Outcome: res.Outcome, Status: res.Status, ResponseBytes: len(res.Body), ContentType: res.ContentType,
	}
	if len(res.Body) <= maxStoredResponseBytes {
		body.Response = res.Body
	}
	if res.Outcome == api.OutcomeNotRun {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_, _ = g.claimLog.Propose(ctx, api.StreamClaims, body, string(g.daemon)) // if it fails, later calls get OutcomeUnknown
		return
	}
	g.record(body) // if it is lost, later calls get OutcomeUnknown, which is correct
}
