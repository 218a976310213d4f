package quota

import "time"

// HeadroomRetention is how long headroom is requested after the last work.
const HeadroomRetention = 3 * time.Second

// headroomDivisor divides the calls in progress to get the headroom: slots
// requested ahead of work, so that new work does not wait for a grant.
const headroomDivisor = 4

// Load is one daemon's work for one upstream.
type Load struct {
	Long        int // calls in progress other than members' short work
	Short       int // calls in progress of members' short work
	QueuedLong  int // queued calls that this upstream could serve
	QueuedShort int
	// RecentLong and RecentShort report that the part had work within
	// HeadroomRetention. Without recent work no headroom is requested.
	RecentLong  bool
	RecentShort bool
}

// ShortInUse returns how many of the short calls in progress count against short
// slots. previous is the previous result. It must also be called right before
// shortSlots changes. A call stays counted in the part where it started: the
// allocator of that part may grant the slot to another daemon before the other
// part's allocator knows of the call.
func ShortInUse(calls, previous, shortSlots int) int {
	return min(calls, max(previous, shortSlots))
}

// Demands returns the demand for the two parts of the upstream's window. Short
// calls beyond the daemon's short slots count against the long part. shortInUse
// is the result of ShortInUse.
func (l Load) Demands(shortSlots, shortInUse int) (long, short Demand) {
	if l == (Load{}) {
		return Demand{}, Demand{}
	}
	short.InUse = ShortInUse(l.Short, shortInUse, shortSlots)
	short.Headroom = headroom(l.Short, l.RecentShort)
	short.Wanted = l.Short + l.QueuedShort + short.Headroom
	long.InUse = l.Long + l.Short - short.InUse
	long.Headroom = headroom(l.Long, l.RecentLong)
	overflow := max(0, l.Short+l.QueuedShort-max(0, shortSlots))
	long.Wanted = l.Long + overflow + l.QueuedLong + long.Headroom
	return long, short
}

func headroom(inUse int, recent bool) int {
	if inUse == 0 && !recent {
		return 0
	}
	return max(1, inUse/headroomDivisor)
}
