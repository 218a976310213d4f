package quarantine

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

const (
	// FirstRefusal is how long a content is refused after the loss that reached
	// RefusalStrikes. Each later loss doubles it, up to RefusalDuration.
	FirstRefusal = time.Minute
	// EvidenceDelay is the time within which daemons learn of each other's losses. A refusal
	// on younger evidence may be lifted after it.
	EvidenceDelay = 2 * time.Second
	// TrialInterval is the time between two trials of a content whose refusal has ended. It is
	// above EvidenceDelay, so that a trial that loses its upstream is the only one.
	TrialInterval = 4 * time.Second

	maxLosses = 16 // remembered of one content
)

// Loss is an upstream that was lost while a request ran on it.
type Loss struct {
	Upstream api.UpstreamID // empty: not reported
	At       time.Time
}

func (l Loss) sameCrash(o Loss) bool {
	return l.Upstream != "" && l.Upstream == o.Upstream && l.At.Sub(o.At).Abs() < ledger.CrashGroupingMillis*time.Millisecond
}

// Contents decides which requests are refused because upstreams are lost whenever they run.
// The load that it answers: clients repeat such a request at any daemon, beside ordinary
// requests that are lost with the same upstreams. A content is the hash of what a caller
// sends again; losses are those of all daemons.
//
// A loss is charged to a content unless a content with more losses was lost with the same
// crash. Contents with equally many losses can't be told apart, and a loss in a series has
// another cause; at most MaxExcused of these aren't charged, so that the contents at fault
// don't excuse each other for good.
type Contents struct {
	spread float64
	byHash map[uint64]*content
}

type content struct {
	losses    []Loss // the oldest first
	nextTrial time.Time
}

func (c *content) lastLoss() time.Time { return c.losses[len(c.losses)-1].At }

// NewContents returns an empty set. spread, from 0 to 1, differs between daemons: it staggers
// their first trials after a refusal, so that the loss under one ends the others'.
func NewContents(spread float64) *Contents {
	return &Contents{spread: spread, byHash: make(map[uint64]*content)}
}

// Add adds a loss.
func (c *Contents) Add(hash uint64, l Loss) {
	e, ok := c.byHash[hash]
	if !ok {
		e = &content{}
		c.byHash[hash] = e
	}
	if len(e.losses) == maxLosses {
		e.losses = e.losses[1:]
	}
	at := len(e.losses)
	for at > 0 && e.losses[at-1].At.After(l.At) {
		at--
	}
	e.losses = append(e.losses[:at:at], append([]Loss{l}, e.losses[at:]...)...)
}

// Withdraw removes a loss that had another cause.
func (c *Contents) Withdraw(hash uint64, l Loss) {
	e, ok := c.byHash[hash]
	if !ok {
		return
	}
	for i, o := range e.losses {
		if o == l {
			e.losses = append(e.losses[:i:i], e.losses[i+1:]...)
			break
		}
	}
	if len(e.losses) == 0 {
		delete(c.byHash, hash)
	}
}

// Clear removes all losses of a content that got a response: it isn't the cause.
func (c *Contents) Clear(hash uint64) { delete(c.byHash, hash) }

// Known reports whether a content has losses.
func (c *Contents) Known(hash uint64) bool { return c.byHash[hash] != nil }

// Expire removes the contents that are no longer refused nor run in trials.
func (c *Contents) Expire(now time.Time) {
	for hash, e := range c.byHash {
		if now.After(c.refusedUntil(hash, e).Add(FirstRefusal)) {
			delete(c.byHash, hash)
		}
	}
}

// Admit reports whether a request may run now. If not, it returns the time after which it may:
// that until the evidence is complete or the refusal ends. Then one request runs in each
// TrialInterval.
func (c *Contents) Admit(hash uint64, now time.Time) (wait time.Duration, ok bool) {
	wait, trial, ok := c.peek(hash, now)
	if trial {
		c.byHash[hash].nextTrial = now.Add(TrialInterval)
	}
	return wait, ok
}

// Peek returns what Admit would return, without the effect that a request runs.
func (c *Contents) Peek(hash uint64, now time.Time) (wait time.Duration, ok bool) {
	wait, _, ok = c.peek(hash, now)
	return wait, ok
}

// peek also returns whether the request would be a trial.
func (c *Contents) peek(hash uint64, now time.Time) (wait time.Duration, trial, ok bool) {
	e := c.byHash[hash]
	if e == nil {
		return 0, false, true
	}
	charged := c.charged(hash, e)
	if charged < RefusalStrikes {
		return 0, false, true
	}
	if until := c.refusedUntil(hash, e); now.Before(until) {
		if age := now.Sub(e.lastLoss()); age < EvidenceDelay && charged == RefusalStrikes {
			return EvidenceDelay - age, false, false
		}
		return until.Sub(now), false, false
	}
	if now.Before(e.nextTrial) {
		return e.nextTrial.Sub(now), false, false
	}
	return 0, true, true
}

// refusedUntil returns when the refusal of a content ends; the time of its last loss if it
// isn't refused.
func (c *Contents) refusedUntil(hash uint64, e *content) time.Time {
	over := c.charged(hash, e) - RefusalStrikes
	if over < 0 {
		return e.lastLoss()
	}
	refusal := RefusalDuration
	if over < 4 {
		refusal = min(refusal, FirstRefusal<<over)
	}
	return e.lastLoss().Add(refusal + time.Duration(c.spread*float64(refusal)/2))
}

// charged returns the number of losses that a content is charged with.
func (c *Contents) charged(hash uint64, e *content) int {
	if len(e.losses) < RefusalStrikes {
		return len(e.losses)
	}
	n, excused := 0, 0
	others := c.withoutContent(hash, e)
	for _, l := range e.losses {
		switch most := c.mostLosses(hash, l); {
		case most > len(e.losses):
			continue
		case most == len(e.losses), InSeries(l.ref(e), others):
			excused++
		}
		n++
	}
	return n - min(excused, MaxExcused)
}

// mostLosses returns the highest number of losses of the other contents that were lost with a
// crash.
func (c *Contents) mostLosses(hash uint64, l Loss) int {
	most := 0
	for h, o := range c.byHash {
		if h == hash || len(o.losses) <= most {
			continue
		}
		for _, other := range o.losses {
			if l.sameCrash(other) {
				most = len(o.losses)
				break
			}
		}
	}
	return most
}

// withoutContent returns the crashes under which a content wasn't lost.
func (c *Contents) withoutContent(hash uint64, e *content) []ledger.CrashRef {
	var out []ledger.CrashRef
	for h, o := range c.byHash {
		if h == hash {
			continue
		}
		for _, l := range o.losses {
			if l.Upstream != "" && !e.lostWith(l) {
				out = append(out, l.ref(e))
			}
		}
	}
	return out
}

func (c *content) lostWith(l Loss) bool {
	for _, o := range c.losses {
		if l.sameCrash(o) {
			return true
		}
	}
	return false
}

// ref returns a loss as a reference whose time counts from the first loss of a content, which
// doesn't depend on steps of the clock.
func (l Loss) ref(e *content) ledger.CrashRef {
	return ledger.CrashRef{Upstream: l.Upstream, AtMillis: l.At.Sub(e.losses[0].At).Milliseconds()}
}

// Pause returns how long an owed request waits before it runs again after a number of losses
// without progress in between. It is never refused; the pause keeps it from taking down
// one upstream after the other faster than they come back.
func Pause(losses int) time.Duration {
	const (
		free    = 1 // losses without a pause
		first   = 500 * time.Millisecond
		longest = 3 * time.Second // in which most upstreams are back
	)
	if losses <= free {
		return 0
	}
	return min(longest, first<<min(losses-free-1, 8))
}
