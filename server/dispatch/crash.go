package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/carrier"
)

const (
	// probeTimeout bounds the call that tells a crashed upstream from a lost connection.
	probeTimeout = 500 * time.Millisecond
	// maxUnloggedStrikes bounds the strikes kept for the time when the log is out.
	maxUnloggedStrikes = 1024
	// maxCrashes is the number of crashes after which a request is not tried
	// again if it was alone in one of them, and maxSharedCrashes if in none.
	maxCrashes       = 2
	maxSharedCrashes = 4
)

// crashCheck collects the flights whose connections to one upstream were lost
// together, until a probe tells whether it crashed. The upstream gets no work
// meanwhile.
type crashCheck struct{ flights []*flight }

// connectionLost reports whether a call ended because the connection went away.
func connectionLost(call *upstream.CallError) bool {
	return call.Status == 0 && (call.Code == api.CodeTruncated || call.Code == api.CodeUpstreamFailed)
}

// checkForCrash holds a flight whose connection was lost back until the probe.
func (h *handler) checkForCrash(f *flight, u *upstreamState, now time.Time) {
	if u.crashCheck != nil {
		u.crashCheck.flights = append(u.crashCheck.flights, f)
		return
	}
	if len(h.idleWorkers) == 0 {
		h.retryOrFinish(f, now)
		return
	}
	u.crashCheck = &crashCheck{flights: []*flight{f}}
	ctx, cancel := context.WithTimeout(h.callsCtx, probeTimeout)
	h.send(&carrier.Task{
		Ctx: ctx, Cancel: cancel,
		Target: upstream.Target{ID: u.info.ID, Address: u.info.Address, NewConnection: true},
	})
}

// handleProbe takes in the probe's result: only an upstream that refuses new
// connections counts as crashed.
func (h *handler) handleProbe(r carrier.Result, now time.Time) {
	u := h.upstreams[r.Task.Target.ID]
	if u == nil || u.crashCheck == nil {
		return
	}
	check := u.crashCheck
	u.crashCheck = nil
	crashed := refusedConnection(r.Err)
	if crashed {
		h.suspend(u, now)
		h.recordStrikes(check, u, now)
	}
	for _, f := range check.flights {
		if h.flights[f.job.ID] == f {
			if crashed {
				f.crashes++
			}
			if crashed && len(check.flights) == 1 {
				f.aloneCrashes++
			}
			h.retryAfterLoss(f, now)
		}
	}
}

func refusedConnection(err error) bool {
	var call *upstream.CallError
	if !errors.As(err, &call) || call.Sent {
		return false
	}
	return call.Code != api.CodeCancelled && call.Code != api.CodeDeadlineExceeded
}

func (h *handler) retryAfterLoss(f *flight, now time.Time) {
	if f.tooManyCrashes() || h.verdict(f.job.Fingerprint, now) == quarantine.Refused {
		err := api.Errorf(api.CodeQuarantined, "the request was part of %d crashes: %w", f.crashes, f.lastErr)
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err, Text: f.text, Tokens: f.tokens, Versions: f.versions})
		return
	}
	h.retryOrFinish(f, now)
}

func (f *flight) tooManyCrashes() bool {
	return f.crashes >= maxSharedCrashes || f.crashes >= maxCrashes && f.aloneCrashes > 0
}

// recordStrikes records a crash against each fingerprint that was part of it.
func (h *handler) recordStrikes(check *crashCheck, u *upstreamState, now time.Time) {
	var prints []api.Fingerprint
	for _, f := range check.flights {
		if !slices.Contains(prints, f.job.Fingerprint) {
			prints = append(prints, f.job.Fingerprint)
		}
	}
	for _, p := range prints {
		s := api.Strike{Fingerprint: p, Upstream: u.info.ID, Alone: len(prints) == 1}
		h.addUnloggedStrike(s, now)
		crashStrikes.Add(1)
		if h.cfg.ReportStrike != nil {
			h.cfg.ReportStrike(s)
		}
	}
}

// unloggedStrike is a strike that is not known to be in the log.
type unloggedStrike struct {
	api.Strike
	atMillis int64
}

// addUnloggedStrike remembers a strike until the log has it, so that it counts here
// also while the log is out.
func (h *handler) addUnloggedStrike(s api.Strike, now time.Time) {
	if len(h.unloggedStrikes) >= maxUnloggedStrikes {
		h.unloggedStrikes = h.unloggedStrikes[1:]
	}
	h.unloggedStrikes = append(h.unloggedStrikes, unloggedStrike{Strike: s, atMillis: now.UnixMilli()})
}

// removeUnloggedStrike forgets a strike that is in the log, where it is seen beside what
// other daemons saw of the crash.
func (h *handler) removeUnloggedStrike(s api.Strike) {
	for i := range h.unloggedStrikes {
		if h.unloggedStrikes[i].Strike == s {
			h.unloggedStrikes = slices.Delete(h.unloggedStrikes, i, i+1)
			return
		}
	}
}

// clearStrikes takes the strikes off a request that has completed: one that crashes
// what runs it never does.
func (h *handler) clearStrikes(f api.Fingerprint) {
	h.unloggedStrikes = slices.DeleteFunc(h.unloggedStrikes, func(s unloggedStrike) bool { return s.Fingerprint == f })
	if _, struck := h.state.Strikes[f]; struck && h.cfg.ClearStrikes != nil {
		h.cfg.ClearStrikes(f)
	}
}

// strikesOf adds this daemon's own strikes to those of the log.
func (h *handler) strikesOf(f api.Fingerprint) ledger.StrikeState {
	sum := h.state.Strikes[f]
	for _, own := range h.unloggedStrikes {
		if own.Fingerprint != f {
			continue
		}
		if own.Alone {
			sum.Alone++
		} else {
			sum.Shared++
		}
		if !slices.Contains(sum.Upstreams, own.Upstream) {
			sum.Upstreams = append(slices.Clone(sum.Upstreams), own.Upstream)
		}
		sum.LastMillis = max(sum.LastMillis, own.atMillis)
	}
	return sum
}
