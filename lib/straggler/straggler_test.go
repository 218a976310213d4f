package straggler_test

import (
	"testing"
	"time"

	"dotterelmount.example/lib/straggler"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// sound is an item in the middle of its text at a sound upstream, which ends in time.
func sound() straggler.Item {
	return straggler.Item{Remaining: 10, SinceLast: 20 * ms, Interval: 40 * ms, Left: time.Second, Elsewhere: 40 * ms, Start: 100 * ms}
}

func picked(i straggler.Item) bool { return len(straggler.Pick([]straggler.Item{i}, 1)) == 1 }

func TestItemThatEndsInTimeStays(t *testing.T) {
	i := sound()
	assert.Assert(t, !picked(i))
	i.Elsewhere = ms
	assert.Assert(t, !picked(i), "it ends earlier elsewhere, but is in time here")
}

func TestItemMovesIfOnlyElsewhereInTime(t *testing.T) {
	slow := sound()
	slow.Interval = 150 * ms
	assert.Assert(t, picked(slow), "the upstream is slow")
	silent := sound()
	silent.SinceLast = 900 * ms
	assert.Assert(t, picked(silent), "the upstream has stopped")
	for name, change := range map[string]func(*straggler.Item){
		"moved before":    func(i *straggler.Item) { i.Moved = true },
		"no room":         func(i *straggler.Item) { i.Elsewhere = 0 },
		"too late there":  func(i *straggler.Item) { i.Start = 1200 * ms },
		"slow there, too": func(i *straggler.Item) { i.Elsewhere = 140 * ms },
	} {
		i := slow
		change(&i)
		assert.Assert(t, !picked(i), name)
	}
}

func TestOverdueItemMovesOnlyIfItEndsMuchEarlier(t *testing.T) {
	i := sound()
	i.Left = -time.Second
	assert.Assert(t, !picked(i), "as early here")
	i.Interval = 400 * ms
	assert.Assert(t, picked(i))
}

// With little room, items that come in time by the move go before overdue ones, and of those
// equally due the ones with the least remaining.
func TestItemsThatComeInTimeMoveFirst(t *testing.T) {
	overdue, long, short, later := sound(), sound(), sound(), sound()
	for _, i := range []*straggler.Item{&overdue, &long, &short, &later} {
		i.Interval = 400 * ms
	}
	overdue.Left, later.Left = -time.Second, 1500*ms
	long.Remaining, short.Remaining, later.Remaining = 12, 6, 6
	items := []straggler.Item{overdue, later, long, short}
	assert.DeepEqual(t, straggler.Pick(items, 4), []int{3, 2, 1, 0})
	assert.DeepEqual(t, straggler.Pick(items, 2), []int{3, 2})
	assert.DeepEqual(t, straggler.Pick(items, 0), []int{})
}

// A moved item ends earlier by what is known, whatever the figures.
func TestMoveNeverEndsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := straggler.Item{
			Remaining: rapid.Float64Range(0, 100).Draw(t, "remaining"), SinceLast: time.Duration(rapid.IntRange(0, 3000).Draw(t, "since")) * ms,
			Interval: time.Duration(rapid.IntRange(0, 200).Draw(t, "interval")) * ms, Left: time.Duration(rapid.IntRange(-8000, 8000).Draw(t, "left")) * ms,
			Elsewhere: time.Duration(rapid.IntRange(0, 200).Draw(t, "elsewhere")) * ms, Start: time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * ms,
		}
		if picked(i) {
			assert.Assert(t, i.There() < i.Here())
			assert.Assert(t, i.Here() > i.Left)
		}
	})
}

// Nobody knows how long a text gets that is longer than expected: it goes on where texts are faster,
// as later it could no longer end in time.
func TestOverrunningItemMovesToFasterUpstream(t *testing.T) {
	i := sound()
	i.Interval, i.Elsewhere = 64*ms, 49*ms
	assert.Assert(t, !picked(i))
	i.Overrun = true
	assert.Assert(t, picked(i))
	for name, change := range map[string]func(*straggler.Item){
		"moved before": func(i *straggler.Item) { i.Moved = true },
		"no room":      func(i *straggler.Item) { i.Elsewhere = 0 },
		"not faster":   func(i *straggler.Item) { i.Elsewhere = 60 * ms },
		"late anyway":  func(i *straggler.Item) { i.Left = 0 },
		"not measured": func(i *straggler.Item) { i.Interval = 0 },
	} {
		o := i
		change(&o)
		assert.Assert(t, !picked(o), name)
	}
}
