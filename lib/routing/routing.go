// Package routing decides which upstream gets a request. It is pure: random
// numbers and times are arguments.
package routing

import (
	"time"

	"dotterelmount.example/api"
)

// Names of the policies that New knows.
const (
	PolicyAffinity      = "affinity"
	PolicyTwoChoice     = "two-choice"
	PolicyRoundRobin    = "round-robin"
	PolicyRandom        = "random"
	PolicyLeastInFlight = "least-in-flight"
)

// loadBound is the factor of the mean load above which prefix affinity passes
// a candidate over; the mean counts the new request.
const loadBound = 1.25

// Candidate is one upstream that may take a request, as the caller sees it.
type Candidate struct {
	ID        api.UpstreamID
	FreeSlots int           // slots that are free in the caller's share of the window
	InFlight  int           // calls in progress from the caller
	Latency   time.Duration // observed time per token or per call; zero is unknown
	Slow      bool          // observed to be far slower than its peers
	Local     bool          // in the caller's own data centre
}

// Request is what routing needs to know of a request.
type Request struct {
	Prefix uint64 // hash of the prompt's prefix; zero: none
	Lane   api.Lane
}

// Policy picks an upstream. A Policy belongs to one duty: it is not safe for
// concurrent use.
type Policy interface {
	// Pick returns the chosen candidate; false when none can take the request.
	// rnd returns a uniform number in [0, n).
	Pick(r Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool)
}

// New returns the policy of that name. Errors: CodeInvalid.
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
		return nil, api.Errorf(api.CodeInvalid, "routing policy %q", name)
	}
}

// windowed serves affinity and two-choice: both respect windows and avoid slow
// upstreams.
type windowed struct {
	affinity bool
	eligible []int // indexes into the candidates; reused between picks
}

// Pick implements Policy.
func (w *windowed) Pick(r Request, cs []Candidate, rnd func(n int) int) (api.UpstreamID, bool) {
	w.collect(cs)
	if len(w.eligible) == 0 {
		return "", false
	}
	if w.affinity && r.Prefix != 0 {
		if i, ok := w.byPrefix(r.Prefix, cs); ok {
			return cs[i].ID, true
		}
	}
	return cs[w.twoChoice(cs, rnd)].ID, true
}

// collect finds the candidates with a free slot; slow ones only when all that
// exist are slow, so that a full window of fast ones means waiting.
func (w *windowed) collect(cs []Candidate) {
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

// byPrefix returns the eligible candidate that rendezvous hashing ranks first
// among those within the load bound.
func (w *windowed) byPrefix(prefix uint64, cs []Candidate) (int, bool) {
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

// twoChoice draws two eligible candidates and returns the one that is
// expected to be done sooner; between equals the local one.
func (w *windowed) twoChoice(cs []Candidate, rnd func(n int) int) int {
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
	costA, costB := cost(&cs[a], unknown), cost(&cs[b], unknown)
	if costB < costA || (costB == costA && cs[b].Local && !cs[a].Local) {
		return b
	}
	return a
}

// meanLatency stands for the latency of a candidate nobody has observed yet,
// so that it is neither flooded nor avoided.
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

func cost(c *Candidate, unknown time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = unknown
	}
	return float64(c.InFlight+1) * float64(latency)
}
