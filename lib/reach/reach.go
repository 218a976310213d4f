// Package reach decides from the outcomes of connections whether this daemon is cut off
// from all upstreams. A single upstream that can't be reached may be down; if
// several at once can't be, the fault is on this daemon's side. The package does no I/O.
package reach

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
)

// State is what a daemon knows about its links to the upstreams.
type State uint8

// States of a daemon's links.
const (
	Reachable State = iota
	Suspected       // attempts failed; probes of other upstreams are in progress
	CutOff          // no probed upstream could be reached
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"reachable", "suspected", "cut-off"}[s] }

// Outcome is an outcome of a connection to an upstream.
type Outcome uint8

// Outcomes of connections. Responses on open connections don't disprove failures of new
// ones: a partition may refuse new connections and leave open ones alone.
const (
	Connected     Outcome = iota // a response arrived on a new connection
	Responded                    // a response arrived on a connection that was open before
	ConnectFailed                // a new connection failed before a response arrived
	Unresponsive                 // a connection that was open before failed or timed out
)

// Config configures a Tracker.
type Config struct {
	// FailureLimit is the number of failures without a success in between from which a
	// round of probes starts.
	FailureLimit int
	// Probes is the number of upstreams that a round probes at most, MinProbes that from
	// which a round without a success means a cut-off.
	Probes, MinProbes int
	// Stagger is the time between the starts of two probes of a round. The first success
	// ends the round, so that a round at a sound daemon usually takes one connection.
	Stagger time.Duration
	// RoundInterval is the time between the starts of two rounds while upstreams are
	// reachable, CutOffInterval the same while the daemon is cut off.
	RoundInterval, CutOffInterval time.Duration
}

// Tracker tracks the links of this daemon. It is not safe for concurrent use.
type Tracker struct {
	cfg             Config
	state           State
	connectFailures int
	unresponsive    int
	roundStarted    time.Time
	queue           []api.UpstreamID // not probed yet in this round
	lastProbe       time.Time        // start of the last probe
	inProgress      int              // probes
	failed          int              // probes of this round that failed
}

// NewTracker returns a Tracker of a daemon that reaches the upstreams.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Calm reports whether successes are of no interest now, because no failure is known.
func (t *Tracker) Calm() bool { return t.state == Reachable && t.connectFailures+t.unresponsive == 0 }

// Observe takes the outcome of a connection into account.
func (t *Tracker) Observe(o Outcome, now time.Time) {
	switch o {
	case Connected:
		t.connectFailures, t.unresponsive = 0, 0
		t.endRound(Reachable)
		return
	case Responded:
		t.unresponsive = 0
		return
	case ConnectFailed:
		t.connectFailures++
	case Unresponsive:
		t.unresponsive++
	}
	if t.state == Reachable && !t.roundInProgress() && t.connectFailures+t.unresponsive >= t.cfg.FailureLimit && now.Sub(t.roundStarted) >= t.cfg.RoundInterval {
		t.state = Suspected
	}
}

// NextProbes returns the upstreams to be probed now, each with ProbeEnded as its result.
// upstreams are those that are listed, in random order.
func (t *Tracker) NextProbes(upstreams []*directory.Upstream, now time.Time) []api.UpstreamID {
	if t.state == Reachable {
		return nil
	}
	if !t.roundInProgress() {
		if t.state == CutOff && now.Sub(t.roundStarted) < t.cfg.CutOffInterval {
			return nil
		}
		t.startRound(upstreams, now)
	}
	if len(t.queue) == 0 || now.Sub(t.lastProbe) < t.cfg.Stagger {
		return nil
	}
	next := t.queue[:1]
	t.queue, t.lastProbe = t.queue[1:], now
	t.inProgress++
	return next
}

func (t *Tracker) roundInProgress() bool { return len(t.queue) > 0 || t.inProgress > 0 }

func (t *Tracker) startRound(upstreams []*directory.Upstream, now time.Time) {
	t.roundStarted, t.lastProbe, t.failed, t.queue = now, time.Time{}, 0, nil
	for _, u := range upstreams[:min(len(upstreams), t.cfg.Probes)] {
		t.queue = append(t.queue, u.ID)
	}
	if len(t.queue) < t.cfg.MinProbes {
		t.endRound(Reachable)
	}
}

// ProbeEnded takes the result of a probe into account.
func (t *Tracker) ProbeEnded(connected bool) {
	t.inProgress--
	if connected {
		t.connectFailures, t.unresponsive = 0, 0
		t.endRound(Reachable)
		return
	}
	if t.state == Reachable {
		return // the rest of a round that has ended
	}
	t.failed++
	if !t.roundInProgress() {
		t.endRound(CutOff)
	}
}

func (t *Tracker) endRound(s State) {
	t.state, t.queue = s, slices.Clip(t.queue[:0])
}
