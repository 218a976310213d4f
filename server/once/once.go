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
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
)

// Book is the daemon's view of the log.
type Book interface {
	Propose(ctx context.Context, stream string, body api.Body, actor string) (ledger.Verdict, error)
	ProposeAsync(stream string, body api.Body, actor string, deadline time.Time, done func(ledger.Verdict, error)) error
	Claim(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error)
}

// Request identifies a once-only request.
type Request struct {
	Key         ledger.ClaimKey
	Fingerprint api.Fingerprint
}

// Guard decides who may run.
type Guard struct {
	book   Book
	daemon api.DaemonID
	now    func() time.Time
}

// New returns a guard that claims in the name of a daemon.
func New(book Book, daemon api.DaemonID, now func() time.Time) *Guard {
	return &Guard{book: book, daemon: daemon, now: now}
}

const (
	// maxKeptAnswer bounds the answer kept in the log for repeated calls, in bytes.
	maxKeptAnswer = 64 << 10
	// settleTime is how long the result of a run is tried to be recorded.
	settleTime = 10 * time.Minute
	// releaseTime is how long a caller waits until its unused key is free again.
	releaseTime = 2 * time.Second
	// pollEvery is how often an unsettled claim is looked at again.
	pollEvery = 50 * time.Millisecond
)

// Run calls run if and only if this call wins the claim; otherwise it answers
// from the log. replayed is true when the answer is that of an earlier call.
// ctx must carry the request's deadline.
func (g *Guard) Run(ctx context.Context, r Request, run func() work.Answer) (a work.Answer, replayed bool) {
	if state, found, err := g.book.Claim(ctx, r.Key); err != nil {
		return notRun(err), false
	} else if found && !state.Released {
		return g.replay(ctx, r, state), true
	}
	verdict, err := g.book.Propose(ctx, api.StreamClaims, api.Claim{
		Customer: r.Key.Customer, Key: r.Key.Key, Fingerprint: r.Fingerprint, Holder: g.daemon,
	}, string(g.daemon))
	if err != nil {
		// Nothing was dispatched, and this call will not, whatever became of the record.
		return notRun(err), false
	}
	if verdict.Err != nil {
		return g.lost(ctx, r, verdict.Err)
	}
	answer := run()
	g.settle(ctx, r, verdict.ID, answer)
	return answer, false
}

func notRun(err error) work.Answer { return work.Answer{Outcome: api.OutcomeNotRun, Err: err} }

// lost answers a call whose claim came second.
func (g *Guard) lost(ctx context.Context, r Request, refused error) (work.Answer, bool) {
	state, found, err := g.book.Claim(ctx, r.Key)
	if err != nil || !found {
		return work.Answer{Outcome: api.OutcomeUnknown, Err: refused}, true
	}
	return g.replay(ctx, r, state), true
}

// replay waits for the claim's result and returns it, or says that it is unknown.
func (g *Guard) replay(ctx context.Context, r Request, s ledger.ClaimState) work.Answer {
	if s.Fingerprint != r.Fingerprint {
		return notRun(api.Errorf(api.CodeConflict, "key %q was used for another request", r.Key.Key))
	}
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !s.Settled {
		select {
		case <-ctx.Done():
			return unsettled(s)
		case <-ticker.C:
		}
		next, found, err := g.book.Claim(ctx, r.Key)
		if err != nil || !found {
			return unsettled(s)
		}
		s = next
	}
	return fromClaim(s)
}

func unsettled(s ledger.ClaimState) work.Answer {
	err := api.Errorf(api.CodeDuplicateKey, "key %q is held by daemon %q without a result", s.Key, s.Holder)
	return work.Answer{Outcome: api.OutcomeUnknown, Err: err}
}

func fromClaim(s ledger.ClaimState) work.Answer {
	if s.Outcome == api.OutcomeComplete {
		return work.Answer{Outcome: s.Outcome, Status: s.Status, Body: s.Answer, ContentType: "application/json"}
	}
	err := api.Errorf(api.CodeDuplicateKey, "key %q was used at offset %d and ended as %s", s.Key, s.Offset, s.Outcome)
	return work.Answer{Outcome: s.Outcome, Err: err}
}

// settle records how a run ended. A key that was not used is freed before the
// caller hears of it, so that its next try may win.
func (g *Guard) settle(ctx context.Context, r Request, claim api.RecordID, a work.Answer) {
	body := api.Settle{
		Customer: r.Key.Customer, Key: r.Key.Key, Claim: claim,
		Outcome: a.Outcome, Status: a.Status,
	}
	if len(a.Body) <= maxKeptAnswer {
		body.Answer = a.Body
	}
	if a.Outcome == api.OutcomeNotRun {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
		defer cancel()
		_, _ = g.book.Propose(ctx, api.StreamClaims, body, string(g.daemon)) // unsettled: later calls hear unknown
		return
	}
	// Without a result in the log, later calls hear unknown, which is true.
	_ = g.book.ProposeAsync(api.StreamClaims, body, string(g.daemon), g.now().Add(settleTime), func(ledger.Verdict, error) {})
}
