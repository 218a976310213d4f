package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// keeperMargin is the part of a lease for which a keeper counts a grant
	// beyond its life, for clocks that run at different rates.
	keeperMargin = 0.05
	// pauseShare is the part of a lease without a sign of life after which a
	// keeper takes itself for replaced.
	pauseShare = 0.5
	// turnShare is the part of a lease for which a daemon keeps its slot when
	// there are more daemons than slots.
	turnShare = 0.5
	// shareAge is the part of a lease for which computed shares are used again
	// when there are more than fewHolders daemons.
	shareAge   = 0.02
	fewHolders = 32
)

// SplitWindow divides a window into the slots for long work and those that only
// short work may use; each part has a Keeper and Holdings of its own, because of
// a daemon's share of one or two slots no part can be reserved. Long work keeps
// at least one slot.
func SplitWindow(window int, shortReserve float64) (long, short int) {
	window = max(0, window)
	short = int(math.Round(shortReserve * float64(window)))
	short = max(0, min(short, window-1))
	return window - short, short
}

// Allocator hands out the slots of one upstream's window. It belongs to one duty:
// it is not safe for concurrent use.
type Allocator struct {
	window  int
	lease   time.Duration
	knowing time.Time // from then on all holdings are known
	beat    time.Time // last sign of life
	holders map[api.DaemonID]*holder
	order   []*holder // reused between computations of the shares
	shared  time.Time // last computation of the shares
}

// holder is what the keeper knows of one daemon.
type holder struct {
	id    api.DaemonID
	seq   uint64
	want  int
	count int       // slots the daemon may be using, at most
	until time.Time // count is over then
	since time.Time // when the daemon began to hold slots, or to wait for one
	last  Grant
	share int // of the window, when it was last shared out
}

// NewAllocator returns a keeper of window slots for a daemon that becomes
// responsible now. A daemon that loses the responsibility drops its keeper.
func NewAllocator(window int, lease time.Duration, now time.Time) *Allocator {
	k := &Allocator{window: max(0, window), lease: lease, holders: make(map[api.DaemonID]*holder)}
	k.restart(now)
	return k
}

// SetWindow changes the number of slots; holdings above a smaller window
// shrink with the next ask of each daemon.
func (k *Allocator) SetWindow(n int) { k.window = max(0, n) }

// Heartbeat tells that the keeper is running; it must be called at least every
// quarter of a lease. After a longer pause the keeper starts over.
func (k *Allocator) Heartbeat(now time.Time) {
	if now.Sub(k.beat) > k.part(pauseShare) {
		k.restart(now)
	}
	k.beat = now
}

// AssumeNoPredecessor tells a running keeper that no predecessor of it granted slots, so that
// there are no unknown holdings to wait for.
func (k *Allocator) AssumeNoPredecessor(now time.Time) {
	k.Heartbeat(now)
	k.knowing = now
}

// Handle answers an ask.
func (k *Allocator) Handle(a LeaseRequest, now time.Time) Grant {
	k.Heartbeat(now)
	k.expire(now)
	h := k.holder(a.Daemon, now)
	if a.Seq == h.seq {
		return h.last
	}
	if a.Seq < h.seq {
		return Grant{Seq: a.Seq, TTL: k.lease}
	}
	h.seq = a.Seq
	h.want = max(0, a.Wanted)
	slots := k.slotsFor(h, a, now)
	k.record(h, max(slots, a.Held, a.InUse), now)
	h.last = Grant{Seq: a.Seq, Slots: slots, TTL: k.lease, RenewOnly: now.Before(k.knowing)}
	return h.last
}

// InUse returns the number of slots that daemons may be using, at most.
func (k *Allocator) InUse(now time.Time) int {
	k.expire(now)
	sum := 0
	for _, h := range k.holders {
		sum += h.count
	}
	return sum
}

func (k *Allocator) restart(now time.Time) {
	k.knowing = now.Add(k.life())
	k.beat = now
	clear(k.holders)
}

// life is how long a grant counts at the keeper.
func (k *Allocator) life() time.Duration { return k.lease + k.part(keeperMargin) }

func (k *Allocator) part(share float64) time.Duration {
	return time.Duration(share * float64(k.lease))
}

func (k *Allocator) expire(now time.Time) {
	for id, h := range k.holders {
		if !now.Before(h.until) {
			delete(k.holders, id)
		}
	}
}

func (k *Allocator) holder(id api.DaemonID, now time.Time) *holder {
	h, ok := k.holders[id]
	if !ok {
		// Until the next computation a new daemon counts as one that may have a slot.
		h = &holder{id: id, since: now, until: now.Add(k.life()), share: 1}
		k.holders[id] = h
	}
	return h
}

func (k *Allocator) record(h *holder, count int, now time.Time) {
	if (h.count > 0) != (count > 0) {
		h.since = now
	}
	h.count = count
	h.until = now.Add(k.life())
}

// slotsFor returns the fair share of the daemon as far as it is free.
func (k *Allocator) slotsFor(h *holder, a LeaseRequest, now time.Time) int {
	if now.Before(k.knowing) {
		return min(max(0, a.Held), h.want)
	}
	free := k.window
	for _, other := range k.holders {
		if other != h {
			free -= other.count
		}
	}
	return max(0, min(k.share(h, now), free))
}

// share returns the daemon's fair share. Among many daemons it is computed
// anew once in a while rather than for each ask.
func (k *Allocator) share(h *holder, now time.Time) int {
	if len(k.holders) <= fewHolders || now.Sub(k.shared) >= k.part(shareAge) {
		k.shareOut(now)
		k.shared = now
	}
	return min(h.share, h.want)
}

// shareOut divides the window between the daemons by max-min fairness: nobody
// gets more than it wants, and what some don't want goes to the others.
func (k *Allocator) shareOut(now time.Time) {
	k.order = k.order[:0]
	for _, h := range k.holders {
		h.share = 1 // a daemon that wants nothing now may come to want a slot
		if h.want > 0 {
			k.order = append(k.order, h)
		}
	}
	slices.SortFunc(k.order, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.want, b.want), cmp.Compare(a.id, b.id))
	})
	left := k.window
	for i, h := range k.order {
		level := left / (len(k.order) - i)
		if h.want > level {
			k.shareAbove(level, left, k.order[i:], now)
			return
		}
		h.share = h.want
		left -= h.want
	}
}

// shareAbove divides left slots between the daemons that want more than the
// level: each gets the level, and the first in turn get one more.
func (k *Allocator) shareAbove(level, left int, greedy []*holder, now time.Time) {
	extra := left - level*len(greedy)
	slices.SortFunc(greedy, func(a, b *holder) int { return k.compareTurns(a, b, now) })
	for i, h := range greedy {
		h.share = level
		if i < extra {
			h.share++
		}
	}
}

// compareTurns puts daemons whose turn lasts first, then those that wait,
// longest first, then those whose turn is over, latest first.
func (k *Allocator) compareTurns(a, b *holder, now time.Time) int {
	classA, classB := k.turnClass(a, now), k.turnClass(b, now)
	bySince := a.since.Compare(b.since)
	if classA == turnOver {
		bySince = -bySince
	}
	return cmp.Or(cmp.Compare(classA, classB), bySince, cmp.Compare(a.id, b.id))
}

const (
	turnLasts = iota
	turnAwaited
	turnOver
)

func (k *Allocator) turnClass(h *holder, now time.Time) int {
	switch {
	case h.count == 0:
		return turnAwaited
	case now.Sub(h.since) < k.part(turnShare):
		return turnLasts
	default:
		return turnOver
	}
}
