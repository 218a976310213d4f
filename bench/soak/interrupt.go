package main

import (
	"strings"
	"time"

	"dotterelmount.example/api"
)

// happened is a fault that was brought about.
type happened struct {
	Kind       kind
	Subject    string // process or link
	Begin, End time.Time
}

// aftermath is how long a fault may still show in requests that begin later.
const aftermath = time.Second

// harms reports whether a fault may break a request through a daemon off:
// everything at upstreams and the way to them, and at the daemon itself.
func (h happened) harms(daemon string) bool {
	switch h.Kind {
	case drainRace, drainOutage, hostLeaving, listRace, weightSwap, weightPartway, logOutage, logSlow, logLost, centreParted, trainerKill, trainerStale:
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

// disturbed reports whether another fault than skip may have broken a request off.
func disturbed(a asked, faults []happened, skip kind) bool {
	daemon := daemonName(a.Daemon)
	for _, h := range faults {
		if h.Kind != skip && h.harms(daemon) && h.Begin.Before(a.End) && h.End.Add(aftermath).After(a.Begin) {
			return true
		}
	}
	return false
}

// judgeInterruptions counts requests in progress that a drain or a graceful
// stop broke off. Only those count that no other fault can have broken off.
func (r *Result) judgeInterruptions(requests []asked, e *evidence, drains []drained, faults []happened) {
	for _, a := range requests {
		for _, d := range drains {
			if e.inProgress(a, d) && !disturbed(a, faults, "") {
				r.DrainsJudged++
				if a.Outcome != api.OutcomeComplete {
					r.CutByDrain++
					r.Note("request %s in progress at %s when it was marked: %s %s", a.RequestID, d.Upstream, a.Outcome, a.Error)
				}
			}
		}
		for _, h := range faults {
			if h.Kind != daemonTerm || h.Subject != daemonName(a.Daemon) || !e.running(a, h.Begin) || disturbed(a, faults, daemonTerm) {
				continue
			}
			r.StopsJudged++
			if a.Outcome != api.OutcomeComplete {
				r.CutByStop++
				r.Note("request %s in progress at the stop of %s: %s %s", a.RequestID, h.Subject, a.Outcome, a.Error)
			}
		}
	}
}

// inProgress reports whether a request was at an upstream when it was marked.
func (e *evidence) inProgress(a asked, d drained) bool {
	if !a.Begin.Before(d.Accepted) || !a.End.After(d.Accepted) {
		return false
	}
	for _, arrived := range e.arrivals[d.Upstream] {
		if arrived.request == a.RequestID && arrived.at.Before(d.Accepted) {
			return true
		}
	}
	return false
}

// running reports whether an upstream had a request before the moment at, at
// which its caller still waited.
func (e *evidence) running(a asked, at time.Time) bool {
	if !a.Begin.Before(at) || !a.End.After(at) {
		return false
	}
	first, ok := e.firstArrival[a.RequestID]
	return ok && a.RequestID != "" && first.Before(at)
}
