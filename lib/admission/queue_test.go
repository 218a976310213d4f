package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func always(admission.Item) bool { return true }

func newQueue(limit int) *admission.Queue {
	return admission.NewQueue(admission.Config{Limit: limit, Weights: [api.LaneCount]int{4, 2, 1}, RolloutShare: 0.5})
}

func item(n int, l api.Lane, customer string, cost int) admission.Item {
	return admission.Item{ID: api.RequestID(fmt.Sprint(n)), Lane: l, Customer: api.CustomerID(customer), Cost: cost}
}

// TestQueueReturnsEachItemOnce runs all operations in random order: each pushed
// item leaves exactly once, by Next, Remove, Expired or shedding.
func TestQueueReturnsEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		q := newQueue(limit)
		now, n := t0, 0
		queued := map[api.RequestID]admission.Item{}
		removed := func(it admission.Item) {
			_, ok := queued[it.ID]
			assert.Assert(t, ok, "%s left twice", it.ID)
			delete(queued, it.ID)
		}
		rollouts := func() int { return q.LenLane(api.LaneRollout) }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				lane := api.Lane(rapid.IntRange(0, 2).Draw(t, "lane"))
				it := item(n, lane, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), n%5)
				it.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "left")) * time.Second)
				full, before := len(queued) == limit, rollouts()
				shed, err := q.Push(it, now)
				switch {
				case it.Deadline.Equal(now):
					assert.Equal(t, api.CodeOf(err), api.CodeDeadlineExceeded)
				case lane == api.LaneRollout && (full || before >= limit/2), full && before == 0:
					assert.Equal(t, api.CodeOf(err), api.CodeShed)
				default:
					assert.NilError(t, err)
					assert.Equal(t, len(shed) == 1, full)
					queued[it.ID] = it
				}
				for _, s := range shed {
					assert.Equal(t, s.Lane, api.LaneRollout)
					removed(s)
				}
			},
			"next": func(t *rapid.T) {
				odd := rapid.IntRange(0, 2).Draw(t, "runnable")
				runnable := func(it admission.Item) bool { return len(it.ID)%2 != odd }
				it, ok := q.Next(now, runnable)
				if ok {
					assert.Assert(t, runnable(it) && it.Deadline.After(now))
					removed(it)
					return
				}
				for _, left := range queued {
					assert.Assert(t, !runnable(left) || !left.Deadline.After(now), "%s was blocked", left.ID)
				}
			},
			"remove": func(t *rapid.T) {
				id := api.RequestID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
				it, ok := queued[id]
				assert.Equal(t, q.Remove(id), ok)
				if ok {
					removed(it)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				for _, it := range q.Expired(now) {
					assert.Assert(t, !it.Deadline.After(now))
					removed(it)
				}
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(queued)) },
		})
	})
}

// TestLanesShareByWeight checks that a backlog of all lanes is served in tokens
// by weights 4:2:1.
func TestLanesShareByWeight(t *testing.T) {
	q := newQueue(4000)
	for n := range 1000 {
		for l := range api.LaneCount {
			cost := 10
			if l == api.LaneRollout {
				cost = 100
			}
			_, err := q.Push(item(n*3+int(l), l, "a", cost), t0)
			assert.NilError(t, err)
		}
	}
	var served [api.LaneCount]int
	for range 700 {
		it, ok := q.Next(t0, always)
		assert.Assert(t, ok)
		served[it.Lane] += it.Cost
	}
	assert.Assert(t, served[0] > 7*served[2]/2 && served[0] < 9*served[2]/2, "%v", served)
	assert.Assert(t, served[1] > 3*served[2]/2 && served[1] < 5*served[2]/2, "%v", served)
}

func TestCustomersShareLaneEvenly(t *testing.T) {
	q := newQueue(1000)
	for n := range 300 {
		_, err := q.Push(item(n, api.LaneInteractive, "flood", 10), t0)
		assert.NilError(t, err)
	}
	for n := range 10 {
		_, err := q.Push(item(1000+n, api.LaneInteractive, "quiet", 10), t0)
		assert.NilError(t, err)
	}
	quiet := 0
	for range 20 {
		it, _ := q.Next(t0, always)
		if it.Customer == "quiet" {
			quiet++
		}
	}
	assert.Assert(t, quiet >= 9, "%d of 20 items", quiet)
}

func TestNextSkipsBlockedItems(t *testing.T) {
	q := newQueue(4000)
	for n := range 1000 {
		_, err := q.Push(item(n, api.LaneInteractive, fmt.Sprint("c", n%50), 1), t0)
		assert.NilError(t, err)
	}
	_, err := q.Push(item(5000, api.LaneInteractive, "c7", 1), t0)
	assert.NilError(t, err)
	only := func(it admission.Item) bool { return it.ID == "5000" }
	found := slices.ContainsFunc(make([]int, 20), func(int) bool {
		_, ok := q.Next(t0, only)
		return ok
	})
	assert.Assert(t, found)
}

func TestIdleLaneAccruesNoCredit(t *testing.T) {
	q := newQueue(1000)
	for n := range 200 {
		_, _ = q.Push(item(n, api.LaneInteractive, "a", 100), t0)
	}
	for range 100 {
		q.Next(t0, always)
	}
	for n := range 200 {
		_, _ = q.Push(item(1000+n, api.LaneRollout, "t", 100), t0)
	}
	rollouts := 0
	for range 50 {
		if it, _ := q.Next(t0, always); it.Lane == api.LaneRollout {
			rollouts++
		}
	}
	assert.Assert(t, rollouts >= 9 && rollouts <= 11, "%d of 50 items", rollouts)
}

func BenchmarkPushNext(b *testing.B) {
	q := newQueue(1000)
	b.ReportAllocs()
	for n := range b.N {
		_, _ = q.Push(item(n, api.LaneInteractive, "a", 10), t0)
		q.Next(t0, always)
	}
}
