package opaque

import (
	"cmp"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream with what one daemon observed of it.
type Candidate struct {
	Upstream *directory.Upstream
	InFlight int
	// BackingOff is set for a time after failures.
	BackingOff bool
	// Slow is set while answers take far longer than those of its peers.
	Slow  bool
	Tried bool // by this request
}

// Chooser ranks upstreams for one daemon.
type Chooser struct {
	Daemon     api.DaemonID
	DataCentre api.DataCentre
	// BusyThreshold is the number of requests in flight from which on the next
	// upstream is preferred over waiting for a free connection to this one.
	BusyThreshold int
}

// rank orders candidates: lower comes first.
func (c Chooser) rank(a Candidate) int {
	switch {
	case a.Upstream.Draining:
		return 4
	case a.Tried:
		return 3
	case a.BackingOff:
		return 2
	case a.Slow || a.InFlight >= c.BusyThreshold:
		return 1
	default:
		return 0
	}
}

// Pick returns the upstream to try next. Healthy ones are taken in a fixed
// order that differs by daemon, those of its own data centre first, so that a
// daemon keeps few connections. Draining upstreams are never picked, and ones
// already tried only when nothing else is left.
func (c Chooser) Pick(candidates []Candidate) (*directory.Upstream, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int {
		if d := cmp.Compare(c.rank(a), c.rank(b)); d != 0 {
			return d
		}
		if c.rank(a) > 0 {
			if d := cmp.Compare(a.InFlight, b.InFlight); d != 0 {
				return d
			}
		}
		return cmp.Compare(c.affinity(a.Upstream), c.affinity(b.Upstream))
	})
	if best.Upstream.Draining {
		return nil, false
	}
	return best.Upstream, true
}

func (c Chooser) affinity(u *directory.Upstream) uint64 {
	const far = 1 << 63
	h := xxhash.Sum64String(string(c.Daemon)+"/"+string(u.ID)) &^ uint64(far)
	if u.DataCentre != c.DataCentre {
		h |= far
	}
	return h
}

// AttemptTimeouts shapes how long one attempt may take.
type AttemptTimeouts struct {
	MinTimeout     time.Duration // no attempt that could be repeated is cut sooner
	TargetMultiple float64       // multiple of the route's target that an attempt may take
}

// AttemptTimeout returns how long the next attempt may take. A request that may
// be repeated, on an upstream that is not its last, leaves time for another try.
func (p AttemptTimeouts) AttemptTimeout(q *Request, now time.Time, attemptsLeft int) time.Duration {
	left := q.Deadline.Sub(now)
	if attemptsLeft <= 1 || q.Route.Kind != routes.KindIdempotent {
		return left
	}
	soon := max(p.MinTimeout, time.Duration(p.TargetMultiple*float64(q.Route.LatencyTarget)))
	return min(left, soon)
}
