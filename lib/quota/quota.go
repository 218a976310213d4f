// Package quota shares the window (the concurrent calls) of an upstream between
// daemons without a central coordinator, and rates between daemons by token
// buckets. Time is an argument, and each daemon uses only its own monotonic
// clock.
//
// Rendezvous hashing chooses the daemon that runs the Allocator of an upstream.
// Every daemon with work for the upstream has a SlotLease. It sends the
// allocator a LeaseRequest several times per lease duration, and at once when
// its demand changes.
//
// The slots of all leases together never exceed the window:
//
//   - A grant expires one lease duration after its request was made, by the
//     requesting daemon's clock. The allocator counts it for longer, and from
//     the later time at which it handled the request. So it counts a grant until
//     the daemon has stopped using it, even if messages are delayed or lost.
//   - A daemon releases slots before it sends a request, and accepts only the
//     grant for its latest request. So a request reports all slots that the
//     daemon can use until it gets the grant, and the allocator counts the larger
//     of the two. A repeated request gets the same grant, an older one gets no
//     slots.
//   - For one lease duration, a new allocator only renews the slots that daemons
//     report. After that, grants of its predecessor have expired or are known. A
//     renewal that arrives after the lease expired is ignored, because the
//     predecessor may have granted the slots to another daemon.
//   - An allocator that was paused for half a lease duration restarts as a new
//     one.
//
// This requires that an allocator stops handling requests no later than its
// successor starts. While two daemons both act as allocator, as in a network
// partition, each side may use the whole window.
//
// A Table does this for all resources of a daemon. While no allocator can grant
// slots, for one lease duration after a cold start or an allocator's failure, a
// daemon may use its fallback slots: an equal part of the slots reserved for
// short work, and none of the others. The fallback slots of all daemons add up
// to the short part of the window. After a cold start the window is not
// exceeded. After an allocator's failure it is exceeded by at most the fallback
// slots of the daemons that held no slots: by a tenth if a fifth of the window is
// reserved for short work and half of the daemons are idle. One fallback slot
// for each daemon would add up to several windows with many daemons, and none
// would stop members' work for one lease duration.
package quota

import (
	"time"

	"dotterelmount.example/api"
)

// DefaultLease is the lease duration: how long granted slots may be used without
// renewal. It is longer than membership takes to replace an allocator, so that
// the successor renews leases before they expire.
const DefaultLease = 4 * time.Second

// RequestsPerLease is the number of requests per lease duration that a daemon
// sends while its demand is not satisfied.
const RequestsPerLease = 4

// LeaseRequest reports a daemon's use of the slots of one resource and requests
// slots.
type LeaseRequest struct {
	Daemon api.DaemonID
	Seq    uint64 // increases with each request of a daemon
	Held   int    // slots that the daemon may use until it gets the grant
	InUse  int    // calls in progress; can exceed Held after a smaller grant
	Wanted int    // slots that the daemon has work for, calls in progress included
}

// Grant is the response to the request with the same Seq.
type Grant struct {
	Seq   uint64
	Slots int           // replaces the slots that the daemon held
	TTL   time.Duration // counts from the time of the request
	// RenewOnly is set by an allocator that does not know all leases yet and
	// therefore only renews slots.
	RenewOnly bool
}

// SlotLease is a daemon's lease of slots of one resource. It is not safe for
// concurrent use.
type SlotLease struct {
	daemon      api.DaemonID
	seq         uint64
	slots       int
	expiresAt   time.Time
	inUse       int
	requestedAt time.Time // time of the latest request
	renewal     bool      // slots were held at the latest request
	shrunk      bool      // the latest grant was smaller than the slots held
}

// NewSlotLease returns a lease without slots. The first request has the number
// seq+1, which must be above any number that an earlier process of this daemon
// used.
func NewSlotLease(daemon api.DaemonID, seq uint64) *SlotLease {
	return &SlotLease{daemon: daemon, seq: seq}
}

// SetInUse sets the number of calls in progress. The allocator does not grant
// their slots to other daemons, even after a smaller grant.
func (l *SlotLease) SetInUse(n int) { l.inUse = max(0, n) }

// NextRequest releases the slots above wanted and returns the request to send.
// wanted includes the calls in progress.
func (l *SlotLease) NextRequest(wanted int, now time.Time) LeaseRequest {
	wanted = max(0, wanted)
	l.slots = min(l.Slots(now), wanted)
	l.seq++
	l.requestedAt = now
	l.renewal = l.slots > 0
	l.shrunk = false
	return LeaseRequest{Daemon: l.daemon, Seq: l.seq, Held: l.slots, InUse: l.inUse, Wanted: wanted}
}

// Apply applies the grant for the request made at requestedAt. Grants for earlier
// requests and renewals of an expired lease are ignored.
func (l *SlotLease) Apply(g Grant, requestedAt, now time.Time) {
	if g.Seq != l.seq {
		return
	}
	if l.renewal && !now.Before(l.expiresAt) {
		return
	}
	if requestedAt.After(l.requestedAt) {
		requestedAt = l.requestedAt
	}
	l.shrunk = l.shrunk || g.Slots < l.Slots(now)
	l.slots = max(0, g.Slots)
	l.expiresAt = requestedAt.Add(g.TTL)
}

// Shrunk reports whether the latest grant was smaller than the slots held. The
// allocator can grant the difference to others only after the next request,
// which should therefore be sent at once.
func (l *SlotLease) Shrunk() bool { return l.shrunk }

// Slots returns the slots that may be used at now: a call may start if fewer
// calls are in progress.
func (l *SlotLease) Slots(now time.Time) int {
	if !now.Before(l.expiresAt) {
		return 0
	}
	return l.slots
}
