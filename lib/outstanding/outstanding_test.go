package outstanding_test

import (
	"slices"
	"testing"
	"time"

	"dotterelmount.example/lib/outstanding"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const response = 25 * time.Millisecond

var epoch = time.Unix(1000, 0)

// server holds requests up to its capacity and responds to the oldest slots of them at each step.
type server struct{ held []int }

// step sends at most one request per daemon and then ends the oldest ones.
func (s *server) step(now time.Time, windows []*outstanding.Window, capacity, slots int) (served, refused int) {
	for d, w := range windows {
		load := outstanding.Load{Requests: count(s.held, d)}
		if w.Wait(now, load, 0, response) > 0 {
			continue
		}
		if len(s.held) >= capacity {
			refused++
			w.Refused(now, load, response)
			continue
		}
		s.held = append(s.held, d)
	}
	for ; served < slots && len(s.held) > 0; served++ {
		d := s.held[0]
		windows[d].Answered(outstanding.Load{Requests: count(s.held, d)}, 0, slots, true)
		s.held = s.held[1:]
	}
	return served, refused
}

func count(held []int, d int) int {
	n := 0
	for _, h := range held {
		if h == d {
			n++
		}
	}
	return n
}

// Many daemons that all have more requests than fit learn how many an upstream takes: it stays
// busy, and few of the requests sent are refused.
func TestDaemonsThatPressShareTheUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, capacity, warmUp, steps = 6, 9, 100, 400
		daemons := rapid.IntRange(2, 84).Draw(t, "daemons")
		var s server
		var windows []*outstanding.Window
		for range daemons {
			windows = append(windows, outstanding.New(slots))
		}
		served, refused := 0, 0
		for n := range steps {
			rotate := n % daemons // no daemon is always the first
			order := slices.Concat(windows[rotate:], windows[:rotate])
			for i, h := range s.held {
				s.held[i] = (h - rotate + daemons) % daemons
			}
			a, b := s.step(epoch.Add(time.Duration(n)*response), order, capacity, slots)
			for i, h := range s.held {
				s.held[i] = (h + rotate) % daemons
			}
			if n >= warmUp {
				served, refused = served+a, refused+b
			}
		}
		capable := slots * (steps - warmUp)
		if daemons >= slots {
			assert.Assert(t, served >= capable*9/10, "%d of %d", served, capable)
		}
		assert.Assert(t, refused <= served, "%d refused, %d served", refused, served)
	})
}

func TestLoneRequestIsSentWhateverTheBounds(t *testing.T) {
	w := outstanding.New(4)
	w.Lost(outstanding.Load{Requests: 3, Bytes: 6 << 20})
	assert.Equal(t, w.BytesLimit(), 3<<20)
	assert.Equal(t, w.Wait(epoch, outstanding.Load{}, 32<<20, response), time.Duration(0))
	one := outstanding.Load{Requests: 1, Bytes: 2 << 20}
	assert.Equal(t, w.Wait(epoch, one, 1<<20, response), time.Duration(0))
	assert.Assert(t, w.Wait(epoch, one, 2<<20, response) > 0)
	for range 20 {
		w.Answered(one, 2<<20, 4, true)
	}
	assert.Equal(t, w.Wait(epoch, one, 2<<20, response), time.Duration(0), "raised again")
}

// The window is cut once for the refusals of one moment and grows up to the slots again.
func TestWindowIsCutOnceAndGrowsAgain(t *testing.T) {
	w := outstanding.New(8)
	for n := range 5 {
		w.Refused(epoch, outstanding.Load{Requests: 7 - n}, response)
	}
	assert.Equal(t, w.Limit(), 4)
	w.Answered(outstanding.Load{Requests: 2}, 0, 8, true)
	assert.Equal(t, w.Limit(), 4, "it wasn't used")
	w.Answered(outstanding.Load{Requests: 4}, 0, 8, false)
	assert.Equal(t, w.Limit(), 4, "the response was late")
	for range 100 {
		w.Answered(outstanding.Load{Requests: 8}, 0, 8, true)
	}
	assert.Equal(t, w.Limit(), 8)
}

// An upstream that refuses even a lone request is left alone for a while, ever longer.
func TestRefusedLoneRequestWaits(t *testing.T) {
	w, last := outstanding.New(8), time.Duration(0)
	for n := range 20 {
		now := epoch.Add(2 * time.Second * time.Duration(n))
		w.Refused(now, outstanding.Load{}, response)
		w.Refused(now.Add(response/2), outstanding.Load{}, response) // counts as the same
		wait := w.Wait(now, outstanding.Load{}, 0, response)
		assert.Assert(t, wait >= last && wait > 0 && wait <= time.Second)
		last = wait
	}
	w.Answered(outstanding.Load{Requests: 1}, 0, 8, true)
	assert.Equal(t, w.Wait(epoch, outstanding.Load{}, 0, response), time.Duration(0))
}

func TestSmallBodiesDontBoundBytes(t *testing.T) {
	w := outstanding.New(8)
	w.Lost(outstanding.Load{Requests: 8, Bytes: 8 << 10})
	w.Lost(outstanding.Load{Requests: 1, Bytes: 30 << 20})
	assert.Equal(t, w.BytesLimit(), 0)
}
