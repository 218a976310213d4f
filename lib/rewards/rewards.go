// Package rewards decides which reward calls a daemon makes, how many at once, and when
// a failed one is repeated. The load is bursty: most items of a step end within a
// second, and each needs a call to a plain service whose upstreams also serve callers.
// The package does no I/O.
package rewards

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/leases"
)

// Config bounds the reward calls.
type Config struct {
	// SlotShare is the fraction of a service's slots that the reward calls of all
	// daemons together may use. The rest is for callers, whose requests are short and
	// due sooner.
	SlotShare float64
	// MinConcurrent is the number of calls that each daemon may make at once to a
	// service even if SlotShare allows fewer, so that one call without a response does
	// not hold up the others.
	MinConcurrent int
	// RetryDelay is the time until a failed call is repeated. It doubles with each
	// failure up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
}

// Concurrency returns the number of calls that a daemon may make at once to a service
// with a number of slots.
func (c Config) Concurrency(slots, daemons int) int {
	return max(c.MinConcurrent, int(c.SlotShare*float64(slots)/float64(max(1, daemons))))
}

// Delay returns the time until a call is repeated that has failed a number of times
// in a row, at least once.
func (c Config) Delay(failures int) time.Duration {
	const maxDoublings = 16 // prevents an overflow
	return min(c.MaxRetryDelay, c.RetryDelay<<min(failures-1, maxDoublings))
}

// Candidate is an outstanding reward call that is due.
type Candidate struct {
	batch.Reward
	Service string // to which the call is routed
}

// Input is the state on which a decision is based.
type Input struct {
	Self api.DaemonID
	Live map[api.DaemonID]bool
	// Candidates are in the order of batch.State.Rewards, which is the order in which
	// they are due.
	Candidates []Candidate
	// Free is the number of calls that may be added to each service.
	Free map[string]int
}

// Next returns the calls that Self starts now.
func Next(in Input) []Candidate {
	var out []Candidate
	free := make(map[string]int, len(in.Free))
	for _, c := range in.Candidates {
		if _, ok := free[c.Service]; !ok {
			free[c.Service] = in.Free[c.Service]
		}
		if free[c.Service] <= 0 || !Responsible(in.Self, in.Live, &c.Reward) {
			continue
		}
		free[c.Service]--
		out = append(out, c)
	}
	return out
}

// Responsible reports whether a daemon makes a reward call: the one that ran the item
// or, if that is not live, the one chosen by rendezvous hashing.
func Responsible(self api.DaemonID, live map[api.DaemonID]bool, r *batch.Reward) bool {
	if live[r.Daemon] {
		return self == r.Daemon
	}
	return leases.Responsible(self, live, string(r.Item))
}
