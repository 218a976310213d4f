// Package straggler decides which items in progress continue on another upstream, because they
// would miss the due time of their job where they are. It does no I/O; times are arguments.
//
// The load that it answers: upstreams of one service differ in speed, slow down or stop
// responding without an end of their connections, and a group of a step counts only once its last
// item has ended.
package straggler

import (
	"cmp"
	"slices"
	"time"
)

// Item is an item in progress.
type Item struct {
	Remaining float64       // expected number of further events
	SinceLast time.Duration // time since its last event or, without one, since its start
	// Interval is the mean time between events of runs at its upstream; 0: not measured.
	Interval time.Duration
	Left     time.Duration // time until its job is due; negative: it is overdue
	Moved    bool          // it was moved before
	Overrun  bool          // its text is longer than expected: nobody knows how long it gets
	// Elsewhere is the mean time between events at the upstream where it would be placed;
	// 0: there is no room, or the time is not measured.
	Elsewhere time.Duration
	// Start is the usual time from the start of a run to its first event, which includes reading
	// the prompt and the text so far.
	Start time.Duration
}

// Here returns the expected time until the item ends where it is. A silence is expected to last
// as long again as it has lasted beyond the usual interval.
func (i Item) Here() time.Duration {
	silence := max(0, i.SinceLast-max(i.Interval, i.Elsewhere))
	return silence + time.Duration(i.Remaining*float64(max(i.Interval, i.SinceLast/silentIntervals)))
}

// silentIntervals is the number of intervals of silence after which an upstream counts as slower
// than was measured.
const silentIntervals = 4

// There returns the expected time until the item ends where it would be placed.
func (i Item) There() time.Duration {
	return i.Start + time.Duration(i.Remaining*float64(i.Elsewhere))
}

// gains reports whether a move brings an item in time, or an overdue one earlier by half.
func (i Item) gains() bool {
	if i.Moved || i.Elsewhere == 0 || i.Here() <= i.Left {
		return false
	}
	return i.There() <= i.Left || 2*i.There() < i.Here()
}

// overruns reports whether an item whose text is longer than expected should go on where texts
// are faster, while that may still bring it in time.
func (i Item) overruns() bool {
	return i.Overrun && !i.Moved && i.Elsewhere > 0 && i.Left > 0 && float64(i.Interval) > fasterFactor*float64(i.Elsewhere)
}

// fasterFactor is the ratio of two event intervals from which a move pays for the prompt that is
// read again.
const fasterFactor = 1.15

// Pick returns the indexes of the items to be moved, at most limit of them: those first whose
// jobs are due first, as a group that can still come in time gains most, then those with
// the fewest remaining events, so that as many as possible end.
func Pick(items []Item, limit int) []int {
	var out []int
	for n, i := range items {
		if i.gains() || i.overruns() {
			out = append(out, n)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := items[a], items[b]
		return cmp.Or(
			compareBool(x.There() > x.Left, y.There() > y.Left),
			cmp.Compare(x.Left, y.Left),
			cmp.Compare(x.Remaining, y.Remaining),
		)
	})
	return out[:min(len(out), max(0, limit))]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
