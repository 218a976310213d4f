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
	// if one is attributed to it alone, with the strikes of all daemons, and was
	// not one of a series; maxSharedCrashes is the number if none is.
	maxCrashes       = 2
	maxSharedCrashes = 4
	// attributionWait is how long a request is held between a crash and its refusal.
	// Meanwhile the other daemons' strikes arrive, for the same crash and for others of
	// a series: a probe, and the way through the log or from peer to peer.
	attributionWait = probeTimeout + 500*time.Millisecond
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
	switch {
	case f.job.Owed:
		h.retryOrFinish(f, now)
	case f.crashes >= maxSharedCrashes:
		h.refuseAfterCrashes(f)
	case h.isSuspect(f, now):
		f.attributedAt = now.Add(attributionWait)
	default:
		h.retryOrFinish(f, now)
	}
}

// isSuspect reports whether a request that lost its connection must not run again, by
// the strikes known now.
func (h *handler) isSuspect(f *flight, now time.Time) bool {
	return h.quarantineDecision(f.job, now) == quarantine.Refused ||
		f.crashes >= maxCrashes && h.strikesOf(f.job.Fingerprint).Alone > 0
}

func (h *handler) refuseAfterCrashes(f *flight) {
	err := api.Errorf(api.CodeQuarantined, "the request was part of %d crashes: %w", f.crashes, f.lastErr)
	h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err, Text: f.text, Tokens: f.tokens, Versions: f.versions})
}

// resolveAttributions ends the hold of requests after their crashes. A request is
// refused if the strikes still speak against it.
func (h *handler) resolveAttributions(now time.Time) {
	for _, f := range h.flights {
		if f.attributedAt.IsZero() || now.Before(f.attributedAt) {
			continue
		}
		f.attributedAt = time.Time{}
		if h.isSuspect(f, now) {
			h.refuseAfterCrashes(f)
		} else {
			h.retryOrFinish(f, now)
		}
	}
}

// recordStrikes records a strike for each fingerprint that was running on the
// crashed upstream. Those of owed requests are not held against them, but show that
// others were not alone there.
func (h *handler) recordStrikes(check *crashCheck, u *upstreamState, now time.Time) {
	var fingerprints []api.Fingerprint
	for _, f := range check.flights {
		if !slices.Contains(fingerprints, f.job.Fingerprint) {
			fingerprints = append(fingerprints, f.job.Fingerprint)
		}
	}
	for _, fp := range fingerprints {
		s := api.Strike{Fingerprint: fp, Upstream: u.info.ID, Alone: len(fingerprints) == 1, AtMillis: now.UnixMilli()}
		h.addUnloggedStrike(unloggedStrike{Strike: s})
		crashStrikes.Add(1)
		if h.cfg.ReportStrike != nil {
			h.cfg.ReportStrike(s)
		}
	}
}

// unloggedStrike is a strike that is not known to be in the log.
type unloggedStrike struct {
	api.Strike
	fromPeer bool // another daemon's
}

// addUnloggedStrike keeps a strike until the log has it, so that it counts on
// this daemon during a log outage. The oldest strike is dropped when there are
// too many.
func (h *handler) addUnloggedStrike(s unloggedStrike) {
	if len(h.unloggedStrikes) >= maxUnloggedStrikes {
		h.unloggedStrikes = h.unloggedStrikes[1:]
	}
	h.unloggedStrikes = append(h.unloggedStrikes, s)
}

// addPeerStrike keeps another daemon's strike, unless the crash is already counted for
// its fingerprint.
func (h *handler) addPeerStrike(s api.Strike) {
	known := slices.ContainsFunc(h.unloggedStrikes, func(o unloggedStrike) bool {
		return o.Fingerprint == s.Fingerprint && o.Upstream == s.Upstream && ledger.SameCrash(o.AtMillis, s.AtMillis)
	})
	if !known && !h.isLogged(s) {
		h.addUnloggedStrike(unloggedStrike{Strike: s, fromPeer: true})
	}
}

// isLogged reports whether the log has the strike, or another one of the same
// fingerprint for the same crash.
func (h *handler) isLogged(s api.Strike) bool {
	logged := h.state.Strikes[s.Fingerprint]
	return logged.HasCrash(s)
}

// removeLoggedPeerStrikes drops other daemons' strikes that are now in the log.
func (h *handler) removeLoggedPeerStrikes() {
	h.unloggedStrikes = slices.DeleteFunc(h.unloggedStrikes, func(s unloggedStrike) bool {
		return s.fromPeer && h.isLogged(s.Strike)
	})
}

// removeUnloggedStrike drops a strike that is now in the log, where it is
// combined with other daemons' strikes for the same crash.
func (h *handler) removeUnloggedStrike(s api.Strike) {
	for i, o := range h.unloggedStrikes {
		if !o.fromPeer && o.Strike == s {
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
