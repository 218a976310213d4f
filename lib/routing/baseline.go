package routing

import "dotterelmount.example/api"

// The baseline policies ignore windows and slow upstreams. They serve as a
// reference in measurements.

type roundRobin struct{ next int }

// Pick implements Policy.
func (r *roundRobin) Pick(_ Request, cs []Candidate, _ func(n int) int) (api.UpstreamID, bool) {
	if len(cs) == 0 {
		return "", false
	}
	i := r.next % len(cs)
	r.next = i + 1
	return cs[i].ID, true
}

type random struct{}

// Pick implements Policy.
func (random) Pick(_ Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool) {
	if len(cs) == 0 {
		return "", false
	}
	return cs[rnd(len(cs))].ID, true
}

type leastInFlight struct{}

// Pick implements Policy. Ties are broken in favour of local candidates and then
// at random, so that daemons with equal views do not all pick the same one.
func (leastInFlight) Pick(_ Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool) {
	if len(cs) == 0 {
		return "", false
	}
	start := rnd(len(cs))
	best := start
	for k := 1; k < len(cs); k++ {
		i := (start + k) % len(cs)
		if lessLoaded(&cs[i], &cs[best]) {
			best = i
		}
	}
	return cs[best].ID, true
}

func lessLoaded(a, b *Candidate) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.Local && !b.Local
}
