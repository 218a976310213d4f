package singleton

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	lease  = 3 * time.Second
	late   = 2 * time.Second
	tick   = 50 * ms
	middle = 40 * time.Second // faults end then
)

func testConfig(self api.DaemonID, process string, checked bool) Config {
	return Config{
		Duty: "d", Self: self, Process: process, Lease: lease, FencesChecked: checked, LateCalls: late, RankDelay: 300 * ms,
		RetryInterval: 100 * ms, FailureLimit: 3, Absence: 5 * time.Second, MaxAbsence: 20 * time.Second,
	}
}

// simStore is the topic of a duty.
type simStore struct {
	record *Record
	end    uint64
	down   bool
}

func (s *simStore) append(r Record, at uint64) bool {
	if at != s.end {
		return false
	}
	s.record, s.end = &r, s.end+1
	return true
}

// simDaemon is a daemon of the simulation. A call to the store ends at done; until then, the
// daemon's thread waits.
type simDaemon struct {
	keeper    *Keeper
	id        api.DaemonID
	rank      int
	starts    int
	suspended time.Duration // until
	cut       bool
	leaving   bool
	done      time.Duration
	finish    func(now time.Duration)
}

type simulation struct {
	t       *rapid.T
	now     time.Duration
	store   simStore
	daemons []*simDaemon
	delayed []func() // appends that are executed later
	checked bool

	holder   string
	lastTerm time.Duration // when a term was last seen
	fence    uint64
	turns    []turn
}

type turn struct {
	daemon api.DaemonID
	last   time.Duration
}

func (s *simulation) start(d *simDaemon) {
	d.starts++
	d.keeper = NewKeeper(testConfig(d.id, fmt.Sprintf("%s/%d", d.id, d.starts), s.checked))
	d.finish, d.leaving = nil, false
}

func (s *simulation) fails(d *simDaemon) bool { return s.store.down || d.cut }

// step lets a daemon act.
func (s *simulation) step(d *simDaemon) {
	if s.now < d.suspended {
		return
	}
	if d.finish != nil {
		if s.now < d.done {
			return
		}
		d.finish(s.now)
		d.finish = nil
	}
	k := d.keeper
	a := k.Next(s.now, Input{Rank: d.rank, Leaving: d.leaving})
	switch {
	case a.Read && s.fails(d):
		s.call(d, k.CallFailed)
	case a.Read:
		sent, seen := s.now, Stored{Record: s.store.record, End: s.store.end}
		s.call(d, func(now time.Duration) { k.ReadDone(sent, now, seen) })
	case a.Append == nil:
	case s.fails(d):
		if s.now < middle && rapid.Bool().Draw(s.t, "executed later") {
			s.delayed = append(s.delayed, func() { s.store.append(*a.Append, a.At) })
		}
		s.call(d, k.CallFailed)
	case s.store.append(*a.Append, a.At):
		end := s.store.end
		if s.now < middle && rapid.IntRange(0, 9).Draw(s.t, "answer lost") == 0 {
			s.call(d, k.CallFailed)
			return
		}
		s.call(d, func(now time.Duration) { k.Appended(now, *a.Append, end) })
	default:
		s.call(d, k.CallFailed)
	}
}

func (s *simulation) call(d *simDaemon, finish func(time.Duration)) {
	d.done = s.now + time.Duration(rapid.IntRange(1, 400).Draw(s.t, "took"))*ms
	d.finish = finish
}

// disturb lets something happen.
func (s *simulation) disturb() {
	d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon")]
	switch rapid.IntRange(0, 7).Draw(s.t, "fault") {
	case 0:
		s.start(d)
	case 1:
		d.suspended = s.now + time.Duration(rapid.IntRange(100, 8000).Draw(s.t, "suspended"))*ms
	case 2:
		d.cut = !d.cut
	case 3:
		s.store.down = !s.store.down
	case 4:
		d.leaving = true
	case 5:
		for range 3 {
			if term, ok := d.keeper.termAt(s.now); ok {
				d.keeper.CallEnded(s.now, term, false)
			}
		}
	case 6:
		if term, ok := d.keeper.termAt(s.now); ok && s.checked {
			d.keeper.Fenced(term)
		}
	case 7:
		d.rank = rapid.IntRange(-1, 2).Draw(s.t, "rank")
	}
}

// check checks the terms of all daemons.
func (s *simulation) check() {
	var holders []string
	for _, d := range s.daemons {
		term, ok := d.keeper.termAt(s.now)
		if !ok {
			continue
		}
		process := d.keeper.cfg.Process
		holders = append(holders, process)
		if process != s.holder || term.Fence != s.fence {
			assert.Assert(s.t, term.Fence > s.fence, "fence %d of %s after %d of %s", term.Fence, process, s.fence, s.holder)
			s.holder, s.fence = process, term.Fence
		}
		s.lastTerm = s.now
		if n := len(s.turns); n == 0 || s.turns[n-1].daemon != d.id {
			for _, earlier := range s.turns {
				assert.Assert(s.t, earlier.daemon != d.id || s.now-earlier.last > lease, "%s takes turns within a lease", d.id)
			}
			s.turns = append(s.turns, turn{daemon: d.id})
		}
		s.turns[len(s.turns)-1].last = s.now
	}
	assert.Assert(s.t, len(holders) <= 1, "%v hold the duty", holders)
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, checked: rapid.Bool().Draw(t, "checked")}
		for i := range 3 {
			d := &simDaemon{id: api.DaemonID(fmt.Sprint("d", i)), rank: i}
			s.start(d)
			s.daemons = append(s.daemons, d)
		}
		for s.now < middle {
			s.now += tick
			if rapid.IntRange(0, 19).Draw(t, "disturb") == 0 {
				s.disturb()
			}
			if len(s.delayed) > 0 && rapid.IntRange(0, 9).Draw(t, "delayed") == 0 {
				s.delayed[0]()
				s.delayed = s.delayed[1:]
			}
			for _, d := range s.daemons {
				s.step(d)
			}
			s.check()
		}
		// Without faults, a daemon soon holds the duty and keeps it.
		s.store.down, s.delayed = false, nil
		for i, d := range s.daemons {
			d.cut, d.suspended, d.rank = false, 0, i
			if d.leaving {
				s.start(d)
			}
		}
		for s.now < middle+20*time.Second+4*lease {
			s.now += tick
			for _, d := range s.daemons {
				s.step(d)
			}
			s.check()
		}
		assert.Assert(t, s.now-s.lastTerm < tick, "nobody has held the duty since %v", s.lastTerm)
	})
}

// termAt returns the term that covers a time.
func (k *Keeper) termAt(now time.Duration) (Term, bool) {
	t, ok := k.Term()
	return t, ok && t.Covers(now)
}

// until lets a keeper act on a store until a time, each call taking no time.
func until(k *Keeper, s *simStore, now *time.Duration, end time.Duration, in Input) {
	for ; *now < end; *now += tick {
		switch a := k.Next(*now, in); {
		case s.down && (a.Read || a.Append != nil):
			k.CallFailed(*now)
		case a.Read:
			k.ReadDone(*now, *now, Stored{Record: s.record, End: s.end})
		case a.Append != nil && s.append(*a.Append, a.At):
			k.Appended(*now, *a.Append, s.end)
		case a.Append != nil:
			k.CallFailed(*now)
		}
	}
}

func TestTakeover(t *testing.T) {
	// A renewal is seen an interval of reads after it was sent, stands for a lease and its margin,
	// and the second candidate leaves the first time to act.
	const dead = lease + lease/renewalsPerLease + lease/marginPart + 300*ms + 4*tick
	for _, c := range []struct {
		name              string
		checked, released bool
		unsettled         bool
		min, max          time.Duration // until the successor's first call
	}{
		{"released", false, true, false, 0, 1200 * ms},
		{"released, call without a response", false, true, true, late, late + 1200*ms},
		{"dead, fences checked", true, false, false, lease, dead},
		{"dead, fences not checked", false, false, false, lease + late, dead + late},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := &simStore{}, time.Duration(0)
			first, second := NewKeeper(testConfig("a", "a/1", c.checked)), NewKeeper(testConfig("b", "b/1", c.checked))
			until(first, s, &now, time.Second, Input{})
			term, ok := first.termAt(now)
			assert.Assert(t, ok)
			for at := now + time.Second; now < at; { // the second has read the record
				until(second, s, &now, now+tick, Input{Rank: 1})
			}
			if c.unsettled {
				first.CallEnded(now, term, false)
			}
			begin := now
			if c.released {
				until(first, s, &now, now+100*ms, Input{Leaving: true})
				_, ok = first.termAt(now)
				assert.Assert(t, !ok)
			} else {
				begin = first.renewedAt
			}
			for {
				until(second, s, &now, now+tick, Input{Rank: 1})
				if next, ok := second.termAt(now); ok {
					assert.Assert(t, next.Fence > term.Fence)
					break
				}
				assert.Assert(t, now-begin < c.max, "no successor after %v", now-begin)
			}
			assert.Assert(t, now-begin >= c.min, "successor after %v", now-begin)
		})
	}
}

// A holder that the store doesn't answer stops, and goes on with the same fencing token when
// the store is back: nobody has counted the time without it.
func TestStoreOutage(t *testing.T) {
	s, now := &simStore{}, time.Duration(0)
	a, b := NewKeeper(testConfig("a", "a/1", false)), NewKeeper(testConfig("b", "b/1", false))
	both := func(d time.Duration) {
		for end := now + d; now < end; {
			at := now
			until(a, s, &at, now+tick, Input{})
			until(b, s, &now, now+tick, Input{Rank: 1})
		}
	}
	both(2 * time.Second)
	term, ok := a.termAt(now)
	assert.Assert(t, ok)
	s.down = true
	both(lease)
	_, ok = a.termAt(now)
	assert.Assert(t, !ok)
	s.down = false
	both(time.Second)
	again, ok := a.termAt(now)
	assert.Assert(t, ok)
	assert.Equal(t, again.Fence, term.Fence)
}

func TestRefusedFenceIsNotUsedAgain(t *testing.T) {
	s, now := &simStore{}, time.Duration(0)
	k := NewKeeper(testConfig("a", "a/1", true))
	until(k, s, &now, time.Second, Input{})
	term, ok := k.termAt(now)
	assert.Assert(t, ok)
	k.Fenced(term)
	_, ok = k.termAt(now)
	assert.Assert(t, !ok)
	until(k, s, &now, 2*time.Second, Input{})
	again, ok := k.termAt(now)
	assert.Assert(t, ok && again.Fence > term.Fence)
}

func TestCandidates(t *testing.T) {
	live := map[api.DaemonID]int{"small": 192}
	for i := range 6 {
		live[api.DaemonID(fmt.Sprint("d", i))] = 800
	}
	got := Candidates("x", live, 3)
	assert.Equal(t, len(got), 3)
	assert.Assert(t, !slices.Contains(got, "small"))
	delete(live, got[0])
	assert.DeepEqual(t, Candidates("x", live, 3)[:2], got[1:])
	assert.DeepEqual(t, Candidates("x", map[api.DaemonID]int{"small": 192}, 3), []api.DaemonID{"small"})
}

func TestPacer(t *testing.T) {
	p := NewPacer(50, 2)
	assert.Equal(t, p.Wait(time.Second), time.Duration(0))
	assert.Equal(t, p.Wait(time.Second), 40*ms)
	assert.Equal(t, p.Wait(time.Second+10*ms), 70*ms)
	assert.Equal(t, p.Wait(2*time.Second), time.Duration(0))
	free := NewPacer(0, 2)
	assert.Equal(t, free.Wait(0)+free.Wait(0), time.Duration(0))
}
