// Package locality decides which work leaves the data centre in which it arises. Traffic
// between data centres is slower and costs money, but the upstreams or the daemons of a data
// centre are sometimes too few. The package does no I/O and reads no clock.
//
// It answers two loads: callers' requests whose own data centre has slow, busy or lost
// upstreams, and the leases on upstreams, over which the texts of all batch jobs pass. Nobody
// sets how much leaves: each decision counts what has left already, so that the surplus leaves
// and the rest stays.
package locality

import "time"

// Policy says what must be gained by leaving a data centre. The zero value lets work leave it
// freely.
type Policy struct {
	// MinGain is the time by which a request must be answered earlier elsewhere, as a
	// fraction of its latency target.
	MinGain float64
	// LeaseExcess is how many times as loaded as a daemon elsewhere those of the same data
	// centre must be before the lease on an upstream leaves it; at most 1: the data centre
	// doesn't matter.
	LeaseExcess float64
}

// Leaves reports whether a request should leave its data centre, given the times in which it
// is expected to be answered there and elsewhere, and its latency target.
func (p Policy) Leaves(here, elsewhere, target time.Duration) bool {
	return here-elsewhere > time.Duration(p.MinGain*float64(target))
}

// Expected returns the time in which an upstream is expected to answer one more request, from
// the mean time of its recent responses and the requests that this daemon has there already.
// It is 0 if no recent response is known.
func Expected(recent time.Duration, inFlight, slots int) time.Duration {
	return recent + recent*time.Duration(inFlight)/time.Duration(max(1, slots))
}

// HolderLoad returns the load of a daemon as one that may acquire the lease of an upstream:
// its leases for its capacity, weighted if it is in another data centre.
func (p Policy) HolderLoad(leases, capacity int, sameDataCentre bool) float64 {
	load := float64(leases) / float64(max(1, capacity))
	if sameDataCentre {
		return load
	}
	return load * max(1, p.LeaseExcess)
}
