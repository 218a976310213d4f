package main

import (
	"strings"
	"time"

	"dotterelmount.example/api"
)

// injectedFault is a fault that was brought about.
type injectedFault struct {
	Kind       kind
	Subject    string // process or link
	Begin, End time.Time
}

// faultEffectTime is how long a fault may still show in requests that begin later.
const faultEffectTime = time.Second

// mayInterrupt reports whether a fault may break a request through a daemon off:
// everything at upstreams and the way to them, and at the daemon itself.
func (h injectedFault) mayInterrupt(daemon string) bool {
	switch h.Kind {
	case drainRace, drainLogOutage, hostLeaving, listRace, weightSwap, weightSwapPartway, logOutage, logSlow, logLostResponses, centreParted, trainerKill, trainerStale:
		return false
	case daemonKill, daemonPause, daemonTerm:
		return h.Subject == daemon
	case linkCut, linkSilent, linkSilentOld:
		// The way to the log takes no part in requests in progress.
		return !strings.Contains(h.Subject, "daemon-") || h.Subject == "caller:"+daemon
	default:
		return true
	}
}

// mayBeInterrupted reports whether another fault than skip may have broken a request off.
func mayBeInterrupted(a requestRecord, faults []injectedFault, skip kind) bool {
	daemon := daemonName(a.Daemon)
	for _, h := range faults {
		if h.Kind != skip && h.mayInterrupt(daemon) && h.Begin.Before(a.End) && h.End.Add(faultEffectTime).After(a.Begin) {
			return true
		}
	}
	return false
}

// evaluateInterruptions counts requests in progress that a drain or a graceful
// stop broke off. Only those count that no other fault can have broken off.
func (r *Result) evaluateInterruptions(requests []requestRecord, e *journalIndex, drains []drainPeriod, faults []injectedFault) {
	for _, a := range requests {
		for _, d := range drains {
			if e.inProgressAtDrain(a, d) && !mayBeInterrupted(a, faults, "") {
				r.InProgressAtDrains++
				if a.Outcome != api.OutcomeComplete {
					r.CutByDrain++
					r.Errorf("request %s in progress at %s when it was marked: %s %s", a.RequestID, d.Upstream, a.Outcome, a.Error)
				}
			}
		}
		for _, h := range faults {
			if h.Kind != daemonTerm || h.Subject != daemonName(a.Daemon) || !e.inProgressAt(a, h.Begin) || mayBeInterrupted(a, faults, daemonTerm) {
				continue
			}
			r.InProgressAtStops++
			if a.Outcome != api.OutcomeComplete {
				r.CutByStop++
				r.Errorf("request %s in progress at the stop of %s: %s %s", a.RequestID, h.Subject, a.Outcome, a.Error)
			}
		}
	}
}

// inProgressAtDrain reports whether a request was at an upstream when it was marked.
func (e *journalIndex) inProgressAtDrain(a requestRecord, d drainPeriod) bool {
	if !a.Begin.Before(d.Accepted) || !a.End.After(d.Accepted) {
		return false
	}
	for _, arrived := range e.arrivals[d.Upstream] {
		if arrived.request == a.RequestID && arrived.time.Before(d.Accepted) {
			return true
		}
	}
	return false
}

// inProgressAt reports whether an upstream had a request before the moment at, at
// which its caller still waited.
func (e *journalIndex) inProgressAt(a requestRecord, at time.Time) bool {
	if !a.Begin.Before(at) || !a.End.After(at) {
		return false
	}
	first, ok := e.firstArrival[a.RequestID]
	return ok && a.RequestID != "" && first.Before(at)
}
