package quota

import "time"

// HeadroomRetention is how long slots ahead of work are wanted after the last work.
const HeadroomRetention = 3 * time.Second

// headroomPart is the part of the calls in progress for which slots are wanted
// ahead of work, so that new work finds one without waiting for an ask.
const headroomPart = 4

// Load is one daemon's work for one upstream.
type Load struct {
	Long        int // calls in progress that are not members' short work
	Short       int // calls in progress of members' short work
	QueuedLong  int // calls queued that this upstream might get
	QueuedShort int
	// RecentLong and RecentShort tell that slots of the part were needed lately;
	// slots ahead of work are wanted only then.
	RecentLong  bool
	RecentShort bool
}

// ShortInUse returns how many of a number of short calls in progress count
// against short slots. before is the latest result. It must also be called
// right before other shares take the place of shortSlots: a call stays counted
// where it started, because slots that one part's keeper took back it may have
// handed on before the other part's keeper hears of the call.
func ShortInUse(calls, before, shortSlots int) int {
	return min(calls, max(before, shortSlots))
}

// Demands returns the demand for the two parts of the upstream's window. Short
// calls beyond the daemon's short slots count against the slots for any work.
// shortInUse is the result of ShortInUse.
func (l Load) Demands(shortSlots, shortInUse int) (long, short Demand) {
	if l == (Load{}) {
		return Demand{}, Demand{}
	}
	short.InUse = ShortInUse(l.Short, shortInUse, shortSlots)
	short.Headroom = headroom(l.Short, l.RecentShort)
	short.Wanted = l.Short + l.QueuedShort + short.Headroom
	long.InUse = l.Long + l.Short - short.InUse
	long.Headroom = headroom(l.Long, l.RecentLong)
	beyond := max(0, l.Short+l.QueuedShort-max(0, shortSlots))
	long.Wanted = l.Long + beyond + l.QueuedLong + long.Headroom
	return long, short
}

func headroom(inUse int, recent bool) int {
	if inUse == 0 && !recent {
		return 0
	}
	return max(1, inUse/headroomPart)
}
