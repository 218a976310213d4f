package leases

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"github.com/cespare/xxhash/v2"
)

// Roster decides which daemons may hold leases. Renewals are records of one journal,
// which appends some hundred a second and which every daemon reads, so the daemons
// with leases must not grow with the deployment: in a large one the daemons with the
// highest capacity hold the leases, and the others renew rarely.
type Roster struct {
	// MaxActive is the number of daemons that may acquire leases.
	MaxActive int
	// RenewInterval is the interval of renewals of active daemons and of those with
	// leases, IdleInterval that of the others.
	RenewInterval, IdleInterval time.Duration
	// TTL is the validity of a daemon's leases after its last renewal.
	TTL time.Duration
}

// Members is what the journal says about the daemons.
type Members struct {
	LastRenewals map[api.DaemonID]time.Time
	Capacity     map[api.DaemonID]int // as Input.Capacity
	Upstreams    []batch.Upstream
	// CutOff are the daemons that reach no upstream.
	CutOff map[api.DaemonID]bool
}

// defaultCapacity is that of a daemon that reports none, in thousandths of a core.
const defaultCapacity = 1000

func capacity(known map[api.DaemonID]int, d api.DaemonID) int {
	if c := known[d]; c > 0 {
		return c
	}
	return defaultCapacity
}

// Live returns the active daemons and those with leases, without the ones whose last
// renewal is older than TTL. Daemons that are cut off from all upstreams are left out while
// others are not, so that these take over their leases.
func (r Roster) Live(m Members, now time.Time) map[api.DaemonID]bool {
	return r.live(m, now, "")
}

// live is Live as if the daemon self had just renewed.
func (r Roster) live(m Members, now time.Time, self api.DaemonID) map[api.DaemonID]bool {
	type candidate struct {
		id       api.DaemonID
		capacity int
		hash     uint64
	}
	var fresh []candidate
	isFresh := make(map[api.DaemonID]bool)
	useful := r.reaching(m, now, self)
	for d, at := range m.LastRenewals {
		if useful[d] && (d == self || now.Sub(at) < r.TTL) {
			fresh = append(fresh, candidate{id: d, capacity: capacity(m.Capacity, d), hash: xxhash.Sum64String(string(d))})
			isFresh[d] = true
		}
	}
	slices.SortFunc(fresh, func(a, b candidate) int {
		// The hash spreads the active daemons over the data centres.
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), strings.Compare(string(a.id), string(b.id)))
	})
	out := make(map[api.DaemonID]bool, r.MaxActive)
	for _, c := range fresh[:min(len(fresh), r.MaxActive)] {
		out[c.id] = true
	}
	for i := range m.Upstreams {
		if h := m.Upstreams[i].Holder; isFresh[h] {
			out[h] = true
		}
	}
	return out
}

// reaching returns the daemons that are not cut off, or all if no live one reaches an
// upstream: then nobody gains from a change of leases. The daemon self counts as live.
func (r Roster) reaching(m Members, now time.Time, self api.DaemonID) map[api.DaemonID]bool {
	all := make(map[api.DaemonID]bool, len(m.LastRenewals))
	out := make(map[api.DaemonID]bool, len(m.LastRenewals))
	anyLive := false
	for d, at := range m.LastRenewals {
		all[d] = true
		if !m.CutOff[d] {
			out[d] = true
			anyLive = anyLive || d == self || now.Sub(at) < r.TTL
		}
	}
	if !anyLive {
		return all
	}
	return out
}

// Interval returns the time between two renewals of a daemon that has renewed before.
func (r Roster) Interval(self api.DaemonID, m Members, now time.Time) time.Duration {
	if r.live(m, now, self)[self] {
		return r.RenewInterval
	}
	return r.IdleInterval
}
