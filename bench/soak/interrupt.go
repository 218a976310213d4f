package main

import (
	"strings"
	"time"

	"dotterelmount.example/api"
)

// injectedFault records which process or link a fault hit and when it was in effect.
type injectedFault struct {
	Kind       kind
	Subject    string // name of the process or link
	Begin, End time.Time
}

// faultEffectTime is the time after the end of a fault during which it may still
// interrupt requests that begin.
const faultEffectTime = time.Second

// mayInterrupt reports whether a fault may interrupt requests through a daemon. Faults
// of upstreams, of the links to them, of the daemon itself and of its caller link may.
func (f injectedFault) mayInterrupt(daemon string) bool {
	switch f.Kind {
	case drainRace, drainLogOutage, hostLeaving, listRace, weightSwap, weightSwapPartway, logOutage, logSlow, logLostResponses, centreParted, trainerKill, trainerStale:
		return false
	case daemonKill, daemonPause, daemonTerm:
		return f.Subject == daemon
	case linkCut, linkSilent, linkSilentOld:
		// Requests in progress don't use the links to the log and the peers.
		return !strings.Contains(f.Subject, "daemon-") || f.Subject == "caller:"+daemon
	default:
		return true
	}
}

// mayHaveBeenInterrupted reports whether a fault of a kind other than skip may have
// interrupted a request.
func mayHaveBeenInterrupted(req requestRecord, faults []injectedFault, skip kind) bool {
	daemon := daemonName(req.Daemon)
	for _, f := range faults {
		if f.Kind != skip && f.mayInterrupt(daemon) && f.Begin.Before(req.End) && f.End.Add(faultEffectTime).After(req.Begin) {
			return true
		}
	}
	return false
}

// evaluateInterruptions counts the requests in progress at drains and graceful stops,
// and those interrupted by them. It leaves out requests that another fault may have
// interrupted.
func (r *Result) evaluateInterruptions(requests []requestRecord, index *journalIndex, drains []drainPeriod, faults []injectedFault) {
	for _, req := range requests {
		for _, d := range drains {
			if index.inProgressAtDrain(req, d) && !mayHaveBeenInterrupted(req, faults, "") {
				r.InProgressAtDrains++
				if req.Outcome != api.OutcomeComplete {
					r.CutByDrain++
					r.Errorf("request %s in progress at %s when it was drained: %s %s", req.RequestID, d.Upstream, req.Outcome, req.Error)
				}
			}
		}
		for _, f := range faults {
			if f.Kind != daemonTerm || f.Subject != daemonName(req.Daemon) || !index.inProgressAt(req, f.Begin) || mayHaveBeenInterrupted(req, faults, daemonTerm) {
				continue
			}
			r.InProgressAtStops++
			if req.Outcome != api.OutcomeComplete {
				r.CutByStop++
				r.Errorf("request %s in progress at the stop of %s: %s %s", req.RequestID, f.Subject, req.Outcome, req.Error)
			}
		}
	}
}

// inProgressAtDrain reports whether a request was in progress at an upstream when its
// drain began.
func (index *journalIndex) inProgressAtDrain(req requestRecord, d drainPeriod) bool {
	if !req.Begin.Before(d.Accepted) || !req.End.After(d.Accepted) {
		return false
	}
	for _, arrived := range index.arrivals[d.Upstream] {
		if arrived.request == req.RequestID && arrived.time.Before(d.Accepted) {
			return true
		}
	}
	return false
}

// inProgressAt reports whether, at the given time, a request had reached an upstream
// and its caller was still waiting.
func (index *journalIndex) inProgressAt(req requestRecord, at time.Time) bool {
	if !req.Begin.Before(at) || !req.End.After(at) {
		return false
	}
	first, ok := index.firstArrival[req.RequestID]
	return ok && req.RequestID != "" && first.Before(at)
}
