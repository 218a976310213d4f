package opaque

import (
	"cmp"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/routes"
	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream with a daemon's observations of it.
type Candidate struct {
	Upstream *directory.Upstream
	InFlight int
	// BackingOff is true for some time after failures.
	BackingOff bool
	// Slow is true while responses take much longer than those of its peers.
	Slow  bool
	Tried bool // by the current request
	// Expected is the time in which a request is expected to be answered; 0: unknown.
	Expected time.Duration
	// Wait is the expected time until the upstream's request limit allows the request.
	// TooLate is set if it can't be answered in time then.
	Wait    time.Duration
	TooLate bool
}

// Chooser selects upstreams for a daemon.
type Chooser struct {
	Daemon     api.DaemonID
	DataCentre api.DataCentre
	// BusyThreshold is the number of requests in flight from which another
	// upstream is preferred over waiting for a free connection.
	BusyThreshold int
	// Locality decides which requests leave the data centre; nil: those for which an upstream
	// elsewhere has fewer requests in flight.
	Locality *locality.Policy
}

// PickFor is Pick for a request with a latency target, which stays in the data centre unless
// it gains enough by leaving it.
func (c Chooser) PickFor(target time.Duration, candidates []Candidate) (Candidate, bool) {
	best, ok := c.Pick(candidates)
	if !ok || c.Locality == nil || c.isLocal(best) || c.Rank(best) > maxSoundRank {
		return best, ok
	}
	local, ok := c.Pick(slices.DeleteFunc(slices.Clone(candidates), func(a Candidate) bool { return !c.isLocal(a) }))
	if !ok || c.Rank(local) > maxSoundRank || c.Locality.Leaves(local.Expected, best.Expected, target) {
		return best, true
	}
	return local, true
}

func (c Chooser) isLocal(a Candidate) bool { return a.Upstream.DataCentre == c.DataCentre }

// maxSoundRank is the highest rank of upstreams that can take a request now.
const maxSoundRank = 1

// Rank returns the rank of a candidate; lower ranks are preferred.
func (c Chooser) Rank(a Candidate) int {
	switch {
	case a.Upstream.Draining:
		return 6
	case a.TooLate:
		return 5
	case a.Tried:
		return 4
	case a.BackingOff:
		return 3
	case a.Wait > 0:
		return 2
	case a.Slow || a.InFlight >= c.BusyThreshold:
		return 1
	default:
		return 0
	}
}

// Pick returns the upstream for the next attempt, or false if there is none.
// Healthy upstreams are used in a fixed order that differs between daemons, local
// data centre first, so that a daemon keeps few connections. Draining upstreams are
// never picked, and those already tried only if no others are left.
//
// If the request limits of all others leave no room, the upstream that allows a request
// first is picked; its Wait says when.
func (c Chooser) Pick(candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int {
		if d := cmp.Compare(c.Rank(a), c.Rank(b)); d != 0 {
			return d
		}
		if c.Rank(a) > 0 {
			if d := cmp.Compare(a.Wait, b.Wait); d != 0 {
				return d
			}
			if d := cmp.Compare(a.InFlight, b.InFlight); d != 0 {
				return d
			}
		}
		return cmp.Compare(c.affinity(a.Upstream), c.affinity(b.Upstream))
	})
	if best.Upstream.Draining {
		return Candidate{}, false
	}
	return best, true
}

// PickUnlimited is as Pick if no upstream had a request limit.
func (c Chooser) PickUnlimited(candidates []Candidate) (Candidate, bool) {
	unlimited := slices.Clone(candidates)
	for i := range unlimited {
		unlimited[i].Wait, unlimited[i].TooLate = 0, false
	}
	return c.Pick(unlimited)
}

// StartDelay returns the expected time until a request can be sent that waits for request
// limits behind others, and false if it is too late then to be answered within its
// deadline. next is the time until the first of the limits allows a request, perSecond
// the rate that they allow together.
func StartDelay(q *Request, now time.Time, next time.Duration, ahead int, perSecond float64) (time.Duration, bool) {
	left := q.Deadline.Sub(now) - q.Route.LatencyTarget
	if perSecond <= 0 || next > left {
		return next, false
	}
	delay := next + time.Duration(float64(ahead)/perSecond*float64(time.Second))
	return delay, delay <= left
}

func (c Chooser) affinity(u *directory.Upstream) uint64 {
	const remoteBit = 1 << 63
	h := xxhash.Sum64String(string(c.Daemon)+"/"+string(u.ID)) &^ uint64(remoteBit)
	if u.DataCentre != c.DataCentre {
		h |= remoteBit
	}
	return h
}

// AttemptTimeouts configures the timeout of an attempt.
type AttemptTimeouts struct {
	MinTimeout     time.Duration // minimum timeout of an attempt that can be repeated
	TargetMultiple float64       // timeout as a multiple of the route's latency target
}

// AttemptTimeout returns the timeout of the next attempt. If the request may be
// repeated and has attempts left after this one, the timeout leaves time for them.
func (t AttemptTimeouts) AttemptTimeout(q *Request, now time.Time, attemptsLeft int) time.Duration {
	left := q.Deadline.Sub(now)
	if attemptsLeft <= 1 || q.Route.Kind != routes.KindIdempotent {
		return left
	}
	timeout := max(t.MinTimeout, time.Duration(t.TargetMultiple*float64(q.Route.LatencyTarget)))
	return min(left, timeout)
}
