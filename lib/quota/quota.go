// Package quota shares one upstream's window of calls between daemons without
// a coordinator, and rates between daemons by token buckets. It is pure: the
// clock is an argument, and each side uses its own monotonic clock only.
//
// The daemon that rendezvous hashing chooses for an upstream runs its Keeper.
// Every daemon with work for the upstream has a Holding and sends the Keeper
// an Ask several times in each lease, and at once when its demand changes.
//
// The sum of what all holdings allow never passes the window, for these reasons:
//
//   - A grant's life counts from the moment the ask was made at the holder, and
//     for longer, from the later moment of handling, at the keeper. So the
//     keeper counts a grant until after the holder stopped using it, however
//     long either message took or whether it was lost.
//   - A holder gives slots back before it asks, and accepts only the answer to
//     its latest ask. So an ask tells the keeper all that the holder can use
//     until it is answered, and the keeper counts the larger of that and the
//     answer. A repeated ask gets the same answer; an older one gets nothing.
//   - A new keeper only renews what holders report, until a full lease has
//     passed. Grants of its predecessor, made before, have then lapsed or are
//     known to it. A renewal that arrives after the holding lapsed is ignored:
//     the predecessor may have handed those slots to another daemon.
//   - A keeper that was paused for half a lease starts over as a new one.
//
// What this needs: a keeper stops handling asks no later than its successor
// starts. While two daemons both act as keeper, as in a parted network, each
// side may use the whole window.
//
// A Table does this for all resources of a daemon. While no keeper can give a
// grant, for a lease after a cold start or a keeper's death, a daemon may use
// its floor: an even part of the slots that only short work may use, and none of
// the others. So the floors of all daemons add up to
// the short part of the window. At a cold start nothing is over-admitted, and
// after a keeper's death at most the floors of the daemons that held nothing
// come on top of the window: with a fifth kept for short work and half of the
// daemons idle, a tenth. One slot for each daemon would have come to several
// windows with many daemons, and no floor would stop members' work for a lease.
package quota

import (
	"time"

	"dotterelmount.example/api"
)

// DefaultLease is how long granted slots may be used without renewal. It is
// longer than membership takes to replace a keeper, so that holdings are
// renewed by the successor before they lapse.
const DefaultLease = 4 * time.Second

// RequestsPerLease is the number of asks that a holder with slots or with work
// makes in each lease.
const RequestsPerLease = 4

// LeaseRequest is a daemon's report and request about one upstream's slots.
type LeaseRequest struct {
	Daemon api.DaemonID
	Seq    uint64 // grows with each ask of a daemon
	Held   int    // slots that the daemon may use until it is answered
	InUse  int    // calls in progress; above Held after slots were taken back
	Wanted int    // slots that the daemon has work for, with the calls in progress
}

// Grant answers the ask with the same Seq.
type Grant struct {
	Seq   uint64
	Slots int           // replaces what the daemon held
	TTL   time.Duration // counts from the moment of the ask
	// RenewOnly is set by a keeper that does not know all holdings yet and therefore
	// only renews.
	RenewOnly bool
}

// SlotLease is a daemon's leased slots of one upstream. It belongs to one duty:
// it is not safe for concurrent use.
type SlotLease struct {
	daemon  api.DaemonID
	seq     uint64
	slots   int
	until   time.Time // the slots lapse then
	inUse   int
	asked   time.Time // moment of the latest ask
	renewal bool      // slots were held when the latest ask was made
	shrunk  bool      // the latest grant took slots back
}

// NewSlotLease returns a holding without slots. seq is the number before its
// first ask; it must not be below one that an earlier life of this daemon used.
func NewSlotLease(daemon api.DaemonID, seq uint64) *SlotLease {
	return &SlotLease{daemon: daemon, seq: seq}
}

// SetInUse tells the number of calls in progress, which the keeper does not
// hand to others even after it took slots back.
func (h *SlotLease) SetInUse(n int) { h.inUse = max(0, n) }

// NextRequest gives back the slots above want and returns the ask to send. want
// includes the calls in progress.
func (h *SlotLease) NextRequest(want int, now time.Time) LeaseRequest {
	want = max(0, want)
	h.slots = min(h.Slots(now), want)
	h.seq++
	h.asked = now
	h.renewal = h.slots > 0
	h.shrunk = false
	return LeaseRequest{Daemon: h.daemon, Seq: h.seq, Held: h.slots, InUse: h.inUse, Wanted: want}
}

// Apply takes the answer to the ask made at askedAt. Answers to earlier asks,
// late ones, and renewals of what has lapsed are ignored.
func (h *SlotLease) Apply(g Grant, askedAt, now time.Time) {
	if g.Seq != h.seq {
		return
	}
	if h.renewal && !now.Before(h.until) {
		return
	}
	if askedAt.After(h.asked) {
		askedAt = h.asked
	}
	h.shrunk = h.shrunk || g.Slots < h.Slots(now)
	h.slots = max(0, g.Slots)
	h.until = askedAt.Add(g.TTL)
}

// Shrunk reports whether the latest grant took slots back. The keeper hands
// them on only after the next ask, so that one should be made at once.
func (h *SlotLease) Shrunk() bool { return h.shrunk }

// Slots returns the number of calls that may be in progress at now for one
// more to start.
func (h *SlotLease) Slots(now time.Time) int {
	if !now.Before(h.until) {
		return 0
	}
	return h.slots
}
