package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// The fractions are of the lease duration.

	// expiryMargin is how long an allocator counts a grant beyond its expiry, for
	// clocks that run at different rates.
	expiryMargin = 0.05
	// pauseFraction is the time without a heartbeat after which an allocator
	// assumes that it was replaced.
	pauseFraction = 0.5
	// turnFraction is how long a daemon keeps its slot when there are more daemons
	// than slots.
	turnFraction = 0.5
	// sharesMaxAge is how long computed shares are reused when there are more than
	// fewHolders daemons.
	sharesMaxAge = 0.02
	fewHolders   = 32
)

// SplitWindow divides a window into the slots for any work (long) and those
// reserved for short work. Each part has its own Allocator and SlotLease,
// because nothing can be reserved of a daemon's share of one or two slots. The
// long part has at least one slot.
func SplitWindow(window int, shortReserve float64) (long, short int) {
	window = max(0, window)
	short = int(math.Round(shortReserve * float64(window)))
	short = max(0, min(short, window-1))
	return window - short, short
}

// Allocator grants the slots of one resource to daemons. It is not safe for
// concurrent use.
type Allocator struct {
	window        int
	lease         time.Duration
	recoveredAt   time.Time // time from which all leases are known
	lastHeartbeat time.Time
	holders       map[api.DaemonID]*holder
	sorted        []*holder // buffer of computeShares
	sharesAt      time.Time // last computation of the shares
}

// holder is the state of one daemon's lease.
type holder struct {
	id         api.DaemonID
	seq        uint64
	want       int
	count      int       // slots that the daemon may be using
	expiresAt  time.Time // expiry of count
	stateSince time.Time // when the daemon started to hold slots, or to wait for one
	last       Grant
	share      int // slots, as last computed
}

// NewAllocator returns an allocator of window slots for a daemon that becomes
// responsible at now. A daemon that loses the responsibility must discard its
// allocator.
func NewAllocator(window int, lease time.Duration, now time.Time) *Allocator {
	al := &Allocator{window: max(0, window), lease: lease, holders: make(map[api.DaemonID]*holder)}
	al.restart(now)
	return al
}

// SetWindow changes the number of slots. Leases that exceed a smaller window
// shrink with the next request of each daemon.
func (al *Allocator) SetWindow(n int) { al.window = max(0, n) }

// Heartbeat must be called at least every quarter of the lease duration. After a
// pause of more than half of it the allocator restarts as a new one.
func (al *Allocator) Heartbeat(now time.Time) {
	if now.Sub(al.lastHeartbeat) > al.leaseFraction(pauseFraction) {
		al.restart(now)
	}
	al.lastHeartbeat = now
}

// AssumeNoPredecessor is a Heartbeat that also marks all leases as known. Use it
// if no other allocator can have granted slots before.
func (al *Allocator) AssumeNoPredecessor(now time.Time) {
	al.Heartbeat(now)
	al.recoveredAt = now
}

// Handle returns the grant for a request.
func (al *Allocator) Handle(req LeaseRequest, now time.Time) Grant {
	al.Heartbeat(now)
	al.expire(now)
	h := al.holder(req.Daemon, now)
	if req.Seq == h.seq {
		return h.last
	}
	if req.Seq < h.seq {
		return Grant{Seq: req.Seq, TTL: al.lease}
	}
	h.seq = req.Seq
	h.want = max(0, req.Wanted)
	slots := al.slotsFor(h, req, now)
	al.record(h, max(slots, req.Held, req.InUse), now)
	h.last = Grant{Seq: req.Seq, Slots: slots, TTL: al.lease, RenewOnly: now.Before(al.recoveredAt)}
	return h.last
}

// InUse returns an upper bound of the slots that daemons are using.
func (al *Allocator) InUse(now time.Time) int {
	al.expire(now)
	sum := 0
	for _, h := range al.holders {
		sum += h.count
	}
	return sum
}

func (al *Allocator) restart(now time.Time) {
	al.recoveredAt = now.Add(al.countedTTL())
	al.lastHeartbeat = now
	clear(al.holders)
}

// countedTTL returns how long the allocator counts a grant.
func (al *Allocator) countedTTL() time.Duration { return al.lease + al.leaseFraction(expiryMargin) }

func (al *Allocator) leaseFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(al.lease))
}

func (al *Allocator) expire(now time.Time) {
	for id, h := range al.holders {
		if !now.Before(h.expiresAt) {
			delete(al.holders, id)
		}
	}
}

func (al *Allocator) holder(id api.DaemonID, now time.Time) *holder {
	h, ok := al.holders[id]
	if !ok {
		// A new daemon may get one slot until the next computation of the shares.
		h = &holder{id: id, stateSince: now, expiresAt: now.Add(al.countedTTL()), share: 1}
		al.holders[id] = h
	}
	return h
}

func (al *Allocator) record(h *holder, count int, now time.Time) {
	if (h.count > 0) != (count > 0) {
		h.stateSince = now
	}
	h.count = count
	h.expiresAt = now.Add(al.countedTTL())
}

// slotsFor returns the slots to grant: the daemon's fair share, limited to the
// slots not counted for others. Until all leases are known it only renews.
func (al *Allocator) slotsFor(h *holder, req LeaseRequest, now time.Time) int {
	if now.Before(al.recoveredAt) {
		return min(max(0, req.Held), h.want)
	}
	free := al.window
	for _, other := range al.holders {
		if other != h {
			free -= other.count
		}
	}
	return max(0, min(al.fairShare(h, now), free))
}

// fairShare returns the daemon's fair share. With many daemons the shares are
// computed periodically rather than for each request.
func (al *Allocator) fairShare(h *holder, now time.Time) int {
	if len(al.holders) <= fewHolders || now.Sub(al.sharesAt) >= al.leaseFraction(sharesMaxAge) {
		al.computeShares(now)
		al.sharesAt = now
	}
	return min(h.share, h.want)
}

// computeShares divides the window between the daemons by max-min fairness: no
// daemon gets more than it wants, and the rest goes to the others.
func (al *Allocator) computeShares(now time.Time) {
	al.sorted = al.sorted[:0]
	for _, h := range al.holders {
		h.share = 1 // for a daemon whose demand is 0 now but may change
		if h.want > 0 {
			al.sorted = append(al.sorted, h)
		}
	}
	slices.SortFunc(al.sorted, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.want, b.want), cmp.Compare(a.id, b.id))
	})
	remaining := al.window
	for i, h := range al.sorted {
		level := remaining / (len(al.sorted) - i)
		if h.want > level {
			al.divideRemainder(level, remaining, al.sorted[i:], now)
			return
		}
		h.share = h.want
		remaining -= h.want
	}
}

// divideRemainder divides the remaining slots between the daemons that want more
// than level: each gets level slots, and the first by compareTurns get one more.
func (al *Allocator) divideRemainder(level, remaining int, unsatisfied []*holder, now time.Time) {
	extra := remaining - level*len(unsatisfied)
	slices.SortFunc(unsatisfied, func(a, b *holder) int { return al.compareTurns(a, b, now) })
	for i, h := range unsatisfied {
		h.share = level
		if i < extra {
			h.share++
		}
	}
}

// compareTurns orders daemons for a slot in rotation: those whose turn has not
// expired, then those that wait, longest first, then those whose turn has
// expired, most recent first.
func (al *Allocator) compareTurns(a, b *holder, now time.Time) int {
	classA, classB := al.turnClass(a, now), al.turnClass(b, now)
	bySince := a.stateSince.Compare(b.stateSince)
	if classA == turnExpired {
		bySince = -bySince
	}
	return cmp.Or(cmp.Compare(classA, classB), bySince, cmp.Compare(a.id, b.id))
}

const (
	turnActive = iota
	turnWaiting
	turnExpired
)

func (al *Allocator) turnClass(h *holder, now time.Time) int {
	switch {
	case h.count == 0:
		return turnWaiting
	case now.Sub(h.stateSince) < al.leaseFraction(turnFraction):
		return turnActive
	default:
		return turnExpired
	}
}
