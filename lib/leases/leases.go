// Package leases decides which daemon is to hold which upstream. Every daemon
// decides for itself by what it read from the log; where two disagree, the
// log's order decides. It is pure.
package leases

import (
	"cmp"
	"maps"
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
	"github.com/cespare/xxhash/v2"
)

// Input is what a decision rests on.
type Input struct {
	Self api.DaemonID
	// Live are the daemons that renewed their leases in time.
	Live map[api.DaemonID]bool
	// Held are the upstreams under a lease, in any state of it.
	Held []batch.Upstream
	// Listed are the upstreams that describe themselves.
	Listed map[api.UpstreamID]*directory.Upstream
	Table  *routes.Table
	// SkippedTurns is how many daemons have let their turn pass to take an upstream.
	SkippedTurns map[api.UpstreamID]int
}

// Plan returns the records that Self is to append: leases to take, upstreams
// to forget.
func Plan(in Input) []batch.Record {
	if in.Table == nil || !in.Live[in.Self] {
		return nil
	}
	var out []batch.Record
	held := make(map[api.UpstreamID]*batch.Upstream, len(in.Held))
	load := make(map[api.DaemonID]int)
	for i := range in.Held {
		u := &in.Held[i]
		held[u.ID] = u
		if in.Live[u.Holder] {
			load[u.Holder]++
		}
		if u.Holder == in.Self && in.Listed[u.ID] == nil {
			out = append(out, &batch.UpstreamRemoved{Upstream: u.ID, Daemon: in.Self})
		}
	}
	daemons := slices.Sorted(maps.Keys(in.Live))
	for _, id := range in.unheld(held) {
		d := nextDaemon(daemons, load, id, in.SkippedTurns[id])
		load[d]++
		if d == in.Self {
			out = append(out, in.leaseRecord(id, held[id]))
		}
	}
	return out
}

// Unheld returns the upstreams without a live holder, by id.
func Unheld(in Input) []api.UpstreamID {
	held := make(map[api.UpstreamID]*batch.Upstream, len(in.Held))
	for i := range in.Held {
		held[in.Held[i].ID] = &in.Held[i]
	}
	return in.unheld(held)
}

func (in *Input) unheld(held map[api.UpstreamID]*batch.Upstream) []api.UpstreamID {
	var out []api.UpstreamID
	for id, u := range held {
		if !in.Live[u.Holder] {
			out = append(out, id)
		}
	}
	for id, u := range in.Listed {
		if held[id] == nil && !u.Draining && in.engine(u) != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (in *Input) engine(u *directory.Upstream) *routes.Engine {
	s, ok := in.Table.Service(u.Service)
	if !ok {
		return nil
	}
	return s.Engine
}

// nextDaemon returns the daemon with the fewest upstreams, after those that let
// their turn pass: they may be about to be found dead.
func nextDaemon(daemons []api.DaemonID, load map[api.DaemonID]int, id api.UpstreamID, passed int) api.DaemonID {
	order := slices.SortedFunc(slices.Values(daemons), func(a, b api.DaemonID) int {
		return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(rendezvousHash(a, id), rendezvousHash(b, id)))
	})
	return order[passed%len(order)]
}

func rendezvousHash(d api.DaemonID, u api.UpstreamID) uint64 {
	return xxhash.Sum64String(string(d) + "/" + string(u))
}

// leaseRecord returns the record that takes the lease of an upstream.
func (in *Input) leaseRecord(id api.UpstreamID, old *batch.Upstream) *batch.LeaseAcquired {
	r := &batch.LeaseAcquired{Upstream: id, Daemon: in.Self}
	if old != nil {
		r.PreviousLease, r.Service, r.Slots = old.LeaseOffset, old.Service, old.Slots
		r.Models, r.Versions = old.Models, maps.Clone(old.Versions)
	}
	u := in.Listed[id]
	if u == nil {
		return r
	}
	r.Service, r.Slots = u.Service, u.Slots
	if e := in.engine(u); e != nil {
		r.Models = e.Models
	}
	if r.Versions == nil {
		r.Versions = make(map[api.ModelName]api.WeightVersion)
	}
	for m, v := range u.Versions {
		r.Versions[m] = max(r.Versions[m], v)
	}
	return r
}

// Responsible reports whether self is the one of the live daemons that a task falls to.
func Responsible(self api.DaemonID, live map[api.DaemonID]bool, task string) bool {
	mine := rendezvousHash(self, api.UpstreamID(task))
	for d := range live {
		if w := rendezvousHash(d, api.UpstreamID(task)); w < mine || (w == mine && d < self) {
			return false
		}
	}
	return live[self]
}
