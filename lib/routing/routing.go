// Package routing selects the upstream for a request. It does no I/O; random
// numbers and times are arguments.
package routing

import (
	"time"

	"dotterelmount.example/api"
)

// Policy names accepted by New.
const (
	PolicyAffinity      = "affinity"
	PolicyTwoChoice     = "two-choice"
	PolicyRoundRobin    = "round-robin"
	PolicyRandom        = "random"
	PolicyLeastInFlight = "least-in-flight"
)

// loadBound is the multiple of the mean load above which prefix affinity skips a
// candidate. The mean includes the new request.
const loadBound = 1.25

// Candidate is an upstream that may take a request, as observed by the caller.
type Candidate struct {
	ID        api.UpstreamID
	FreeSlots int           // free slots in the caller's share of the window
	InFlight  int           // calls in progress by the caller
	Latency   time.Duration // observed time per token or per call; zero: unknown
	Slow      bool          // observed to be much slower than other upstreams
	Local     bool          // in the caller's own data centre
}

// Request contains the properties of a request that affect routing.
type Request struct {
	Prefix uint64 // hash of the prompt's prefix; zero: none
	Lane   api.Lane
}

// Policy selects upstreams. It is not safe for concurrent use.
type Policy interface {
	// Pick returns the selected candidate, or false if none can take the
	// request. rnd returns a uniformly distributed number in [0, n).
	Pick(r Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool)
}

// New returns the policy with the given name. Errors: CodeInvalid.
func New(name string) (Policy, error) {
	switch name {
	case PolicyAffinity:
		return &windowed{affinity: true}, nil
	case PolicyTwoChoice:
		return &windowed{}, nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyRandom:
		return random{}, nil
	case PolicyLeastInFlight:
		return leastInFlight{}, nil
	default:
		return nil, api.Errorf(api.CodeInvalid, "unknown routing policy %q", name)
	}
}

// windowed implements the affinity and two-choice policies. Both respect windows
// and avoid slow upstreams.
type windowed struct {
	affinity bool
	eligible []int // indexes into the candidates; reused by each Pick
}

// Pick implements Policy.
func (w *windowed) Pick(r Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool) {
	w.collectEligible(cs)
	if len(w.eligible) == 0 {
		return "", false
	}
	if w.affinity && r.Prefix != 0 {
		if i, ok := w.pickByPrefix(r.Prefix, cs); ok {
			return cs[i].ID, true
		}
	}
	return cs[w.pickOfTwo(cs, rnd)].ID, true
}

// collectEligible collects the candidates with a free slot. Slow candidates are
// included only if all candidates are slow: if the fast ones are full, the request
// waits for them.
func (w *windowed) collectEligible(cs []Candidate) {
	allSlow := true
	for i := range cs {
		allSlow = allSlow && cs[i].Slow
	}
	w.eligible = w.eligible[:0]
	for i := range cs {
		if cs[i].FreeSlots > 0 && (allSlow || !cs[i].Slow) {
			w.eligible = append(w.eligible, i)
		}
	}
}

// pickByPrefix returns the eligible candidate within the load bound that ranks
// first by rendezvous hashing.
func (w *windowed) pickByPrefix(prefix uint64, cs []Candidate) (int, bool) {
	bound := loadBound * (w.meanInFlight(cs) + 1)
	best, found := 0, false
	var bestScore uint64
	for _, i := range w.eligible {
		if float64(cs[i].InFlight) > bound {
			continue
		}
		score := rendezvousScore(prefix, string(cs[i].ID))
		if !found || score > bestScore || (score == bestScore && cs[i].ID < cs[best].ID) {
			best, bestScore, found = i, score, true
		}
	}
	return best, found
}

func (w *windowed) meanInFlight(cs []Candidate) float64 {
	sum := 0
	for _, i := range w.eligible {
		sum += cs[i].InFlight
	}
	return float64(sum) / float64(len(w.eligible))
}

// pickOfTwo draws two eligible candidates at random and returns the one with the
// lower expected cost, or the local one if the costs are equal.
func (w *windowed) pickOfTwo(cs []Candidate, rnd func(n int) int) int {
	n := len(w.eligible)
	if n == 1 {
		return w.eligible[0]
	}
	first := rnd(n)
	second := rnd(n - 1)
	if second >= first {
		second++
	}
	a, b := w.eligible[first], w.eligible[second]
	unknown := w.meanLatency(cs)
	costA, costB := expectedCost(&cs[a], unknown), expectedCost(&cs[b], unknown)
	if costB < costA || (costB == costA && cs[b].Local && !cs[a].Local) {
		return b
	}
	return a
}

// meanLatency returns the mean latency of the eligible candidates. It is assumed
// for candidates without observations, so that they are neither overloaded nor
// avoided.
func (w *windowed) meanLatency(cs []Candidate) time.Duration {
	sum, known := time.Duration(0), 0
	for _, i := range w.eligible {
		if cs[i].Latency > 0 {
			sum += cs[i].Latency
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / time.Duration(known)
}

func expectedCost(c *Candidate, unknown time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = unknown
	}
	return float64(c.InFlight+1) * float64(latency)
}
