package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

const (
	// demandTTL is how long a daemon's demand counts after it was last reported.
	demandTTL = 3 * time.Second
	// minLimit is the least limit that is used, in requests a second: without any request
	// a daemon would not learn that an upstream lifts its limit.
	minLimit = 0.25
)

// Demand is the rate at which a daemon wants to send requests to an upstream.
type Demand struct {
	PerSecond float64
	At        time.Time // when it was read from the log
}

// Demands are the demands of all daemons for upstreams with a limit.
type Demands map[api.UpstreamID]map[api.DaemonID]Demand

// Set replaces the demands of a daemon. A demand of zero or less is removed.
func (d Demands) Set(daemon api.DaemonID, perSecond map[api.UpstreamID]float64, now time.Time) {
	for id, byDaemon := range d {
		if _, ok := perSecond[id]; !ok {
			delete(byDaemon, daemon)
		}
	}
	for id, rate := range perSecond {
		if d[id] == nil {
			d[id] = make(map[api.DaemonID]Demand)
		}
		if rate <= 0 {
			delete(d[id], daemon)
			continue
		}
		d[id][daemon] = Demand{PerSecond: rate, At: now}
	}
}

// Expire removes the demands that were not reported again within demandTTL before
// lastRead, when the log was last read to its end. While it can't be read, all are kept.
func (d Demands) Expire(lastRead time.Time) {
	for id, byDaemon := range d {
		for daemon, demand := range byDaemon {
			if lastRead.Sub(demand.At) > demandTTL {
				delete(byDaemon, daemon)
			}
		}
		if len(byDaemon) == 0 {
			delete(d, id)
		}
	}
}

const (
	// newestWeight is the weight of the newest count in a moving average of the demand.
	newestWeight = 0.5
	// minDemand is the demand, in requests a second, below which a daemon has none.
	minDemand = 0.1
)

// AverageDemand returns the moving average of a daemon's demand after it wanted to send
// the counted requests within a period. Upstreams without demand are left out.
func AverageDemand(old map[api.UpstreamID]float64, counted map[api.UpstreamID]int, period time.Duration) map[api.UpstreamID]float64 {
	out := make(map[api.UpstreamID]float64)
	add := func(id api.UpstreamID) {
		rate := float64(counted[id]) / max(period, time.Millisecond).Seconds()
		if before, ok := old[id]; ok {
			rate = before + newestWeight*(rate-before)
		}
		if rate >= minDemand {
			out[id] = rate
		}
	}
	for id := range counted {
		add(id)
	}
	for id := range old {
		add(id)
	}
	return out
}

// ShareInput is the state on which a daemon's share of an upstream's limit is based.
type ShareInput struct {
	Self     api.DaemonID
	Upstream api.UpstreamID
	// Limit is the upstream's limit, in requests a second.
	Limit float64
	// Holder holds the upstream's lease; empty: none. It always has a share, as the items
	// placed on the upstream can't run elsewhere.
	Holder  api.DaemonID
	Demands map[api.DaemonID]Demand
	// Daemons is the number of live daemons.
	Daemons int
	// Fresh is false if the log was not read for a while, so that others may have taken
	// over this daemon's share.
	Fresh bool
}

// Share returns the requests a second that a daemon may send. The shares of all daemons
// follow their demands and sum up to the limit. Until the first demand is known, all
// daemons share equally.
func Share(in ShareInput) float64 {
	limit := in.Limit
	equal := limit / float64(max(1, in.Daemons))
	if len(in.Demands) == 0 {
		return equal
	}
	if _, ok := in.Demands[in.Self]; !ok {
		return 0
	}
	var own, sum float64
	for _, d := range in.users(limit) {
		sum += in.Demands[d].PerSecond
		if d == in.Self {
			own = in.Demands[d].PerSecond
		}
	}
	switch {
	case own == 0:
		return 0
	case !in.Fresh:
		return min(equal, limit*own/sum)
	default:
		return limit * own / sum
	}
}

// users returns the daemons that have a share: at most one for each request a second, as
// every one of them may send a request at any moment. Weighted rendezvous hashing selects
// them by their demands, differently for each upstream.
func (in *ShareInput) users(limit float64) []api.DaemonID {
	users := slices.SortedFunc(maps.Keys(in.Demands), func(a, b api.DaemonID) int {
		return cmp.Or(cmp.Compare(in.rank(a), in.rank(b)), cmp.Compare(a, b))
	})
	return users[:min(len(users), max(1, int(limit)))]
}

// rank returns the rank of a daemon among those that want a share; lower ranks come
// first.
func (in *ShareInput) rank(d api.DaemonID) float64 {
	if d == in.Holder {
		return -1
	}
	const hashes = 1 << 63
	uniform := float64(xxhash.Sum64String(string(d)+"/"+string(in.Upstream))>>1+1) / hashes
	return -math.Log(uniform) / in.Demands[d].PerSecond
}
