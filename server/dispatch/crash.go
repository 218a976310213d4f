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
	"dotterelmount.example/server/worker"
)

const (
	// probeTimeout bounds the status call that distinguishes a crashed upstream
	// from a lost connection.
	probeTimeout = 500 * time.Millisecond
	// maxUnloggedStrikes bounds the strikes kept in memory during a log outage.
	maxUnloggedStrikes = 1024
	// maxCrashes is the number of crashes after which a request is not retried
	// if it was alone on the upstream in at least one of them; maxSharedCrashes
	// is the number if it was alone in none.
	maxCrashes       = 2
	maxSharedCrashes = 4
)

// crashCheck collects the flights that lost their connections to one upstream
// until a probe shows whether the upstream crashed. The upstream gets no work
// until then.
type crashCheck struct{ flights []*flight }

// connectionLost reports whether a call failed because its connection broke.
func connectionLost(call *upstream.CallError) bool {
	return call.Status == 0 && (call.Code == api.CodeTruncated || call.Code == api.CodeUpstreamFailed)
}

// checkForCrash probes the upstream of a lost connection and keeps the flight
// until the probe's result. Without an idle worker it retries at once.
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
	h.send(&worker.Task{
		Ctx: ctx, Cancel: cancel,
		Target: upstream.Target{ID: u.info.ID, Address: u.info.Address, NewConnection: true},
	})
}

// handleProbe ends a crash check. Only an upstream that refuses new connections
// counts as crashed.
func (h *handler) handleProbe(r worker.Result, now time.Time) {
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
	if f.tooManyCrashes() || h.quarantineDecision(f.job.Fingerprint, now) == quarantine.Refused {
		err := api.Errorf(api.CodeQuarantined, "the request was part of %d crashes: %w", f.crashes, f.lastErr)
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err, Text: f.text, Tokens: f.tokens, Versions: f.versions})
		return
	}
	h.retryOrFinish(f, now)
}

func (f *flight) tooManyCrashes() bool {
	return f.crashes >= maxSharedCrashes || f.crashes >= maxCrashes && f.aloneCrashes > 0
}

// recordStrikes records a strike for each fingerprint that was running on the
// crashed upstream.
func (h *handler) recordStrikes(check *crashCheck, u *upstreamState, now time.Time) {
	var fingerprints []api.Fingerprint
	for _, f := range check.flights {
		if !slices.Contains(fingerprints, f.job.Fingerprint) {
			fingerprints = append(fingerprints, f.job.Fingerprint)
		}
	}
	for _, fp := range fingerprints {
		s := api.Strike{Fingerprint: fp, Upstream: u.info.ID, Alone: len(fingerprints) == 1}
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
	unixMillis int64
}

// addUnloggedStrike keeps a strike until the log has it, so that it counts on
// this daemon during a log outage. The oldest strike is dropped when there are
// too many.
func (h *handler) addUnloggedStrike(s api.Strike, now time.Time) {
	if len(h.unloggedStrikes) >= maxUnloggedStrikes {
		h.unloggedStrikes = h.unloggedStrikes[1:]
	}
	h.unloggedStrikes = append(h.unloggedStrikes, unloggedStrike{Strike: s, unixMillis: now.UnixMilli()})
}

// removeUnloggedStrike drops a strike that is now in the log, where it is
// combined with other daemons' strikes for the same crash.
func (h *handler) removeUnloggedStrike(s api.Strike) {
	for i := range h.unloggedStrikes {
		if h.unloggedStrikes[i].Strike == s {
			h.unloggedStrikes = slices.Delete(h.unloggedStrikes, i, i+1)
			return
		}
	}
}

// clearStrikes removes the strikes of a request that has completed. A request
// that crashes its upstream never completes, so these strikes were not its fault.
func (h *handler) clearStrikes(f api.Fingerprint) {
	h.unloggedStrikes = slices.DeleteFunc(h.unloggedStrikes, func(s unloggedStrike) bool { return s.Fingerprint == f })
	if _, struck := h.state.Strikes[f]; struck && h.cfg.ClearStrikes != nil {
		h.cfg.ClearStrikes(f)
	}
}

// strikesOf returns the logged strikes of a fingerprint plus this daemon's
// unlogged ones.
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
		sum.LastMillis = max(sum.LastMillis, own.unixMillis)
	}
	return sum
}
