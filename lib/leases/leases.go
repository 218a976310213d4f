// Package leases decides which daemon holds the lease of which upstream. Each
// daemon decides on its own from the log records it has read; if two daemons
// acquire the same lease, the order of their records decides. The package does no
// I/O.
package leases

import (
	"cmp"
	"maps"
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/routes"
	"github.com/cespare/xxhash/v2"
)

// Input is the state on which a decision is based.
type Input struct {
	Self api.DaemonID
	// Live are the daemons that may hold leases.
	Live map[api.DaemonID]bool
	// Capacity is the processor capacity of each daemon, in thousandths of a core. A
	// daemon without an entry has defaultCapacity.
	Capacity map[api.DaemonID]int
	// DataCentres are those of the daemons.
	DataCentres map[api.DaemonID]api.DataCentre
	Locality    locality.Policy
	// Held are the upstreams with a lease, valid or not.
	Held []batch.Upstream
	// Listed are the upstreams of the directory.
	Listed map[api.UpstreamID]*directory.Upstream
	Table  *routes.Table
	// SkippedTurns is the number of daemons that have not acquired the lease of
	// an upstream when it was their turn.
	SkippedTurns map[api.UpstreamID]int
}

// Plan returns the records that Self should append: leases to acquire and
// upstreams to remove.
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
		d := in.nextDaemon(daemons, load, id)
		load[d]++
		if d == in.Self {
			out = append(out, in.leaseRecord(id, held[id]))
		}
	}
	return out
}

// Unheld returns the upstreams without a live holder, sorted by ID.
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

// nextDaemon returns the daemon whose turn it is to lease an upstream: the one with
// the fewest upstreams for its capacity, in the data centre of the upstream unless those there
// have too many, without the skipped daemons at the head of
// this order, which may have died without being detected yet.
func (in *Input) nextDaemon(daemons []api.DaemonID, load map[api.DaemonID]int, id api.UpstreamID) api.DaemonID {
	holderLoad := func(d api.DaemonID) float64 {
		u := in.Listed[id]
		return in.Locality.HolderLoad(load[d]+1, capacity(in.Capacity, d), u == nil || in.DataCentres[d] == u.DataCentre)
	}
	order := slices.SortedFunc(slices.Values(daemons), func(a, b api.DaemonID) int {
		return cmp.Or(
			cmp.Compare(holderLoad(a), holderLoad(b)),
			cmp.Compare(rendezvousHash(a, id), rendezvousHash(b, id)),
		)
	})
	return order[in.SkippedTurns[id]%len(order)]
}

func rendezvousHash(d api.DaemonID, u api.UpstreamID) uint64 {
	return xxhash.Sum64String(string(d) + "/" + string(u))
}

// leaseRecord returns the record that acquires the lease of an upstream.
func (in *Input) leaseRecord(id api.UpstreamID, old *batch.Upstream) *batch.LeaseAcquired {
	r := &batch.LeaseAcquired{Upstream: id, Daemon: in.Self}
	if old != nil {
		r.PreviousLease, r.Service, r.Slots = old.LeaseOffset, old.Service, old.Slots
		r.Models, r.Software, r.Versions = old.Models, old.Software, maps.Clone(old.Versions)
	}
	u := in.Listed[id]
	if u == nil {
		return r
	}
	r.Service, r.Slots, r.Software = u.Service, u.Slots, u.Software
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

// Responsible reports whether rendezvous hashing assigns a task to self among the
// live daemons.
func Responsible(self api.DaemonID, live map[api.DaemonID]bool, task string) bool {
	own := rendezvousHash(self, api.UpstreamID(task))
	for d := range live {
		if w := rendezvousHash(d, api.UpstreamID(task)); w < own || (w == own && d < self) {
			return false
		}
	}
	return live[self]
}
