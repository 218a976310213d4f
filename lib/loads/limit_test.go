package loads

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

// loadRound lets all upstreams load a version, as many at once as the limit allows. A load
// takes a second, longer if more than nine load. It returns the most that loaded at once.
func loadRound(l *Limit, now time.Time, upstreams int) (time.Time, int) {
	all := make([]batch.Upstream, upstreams)
	for n := range all {
		all[n] = batch.Upstream{ID: api.UpstreamID(fmt.Sprint(n)), Service: "s", Holder: "d"}
	}
	l.Observe(all, "s", now)
	most := 0
	for begin := 0; begin < upstreams; {
		n := min(l.AtOnce(), upstreams-begin)
		most = max(most, n)
		for i := range n {
			all[begin+i].Condition = batch.ConditionLoading
		}
		l.Observe(all, "s", now)
		now = now.Add(max(time.Second, time.Duration(n)*time.Second/9))
		for i := range n {
			all[begin+i].Condition = batch.ConditionReady
		}
		l.Observe(all, "s", now)
		begin += n
	}
	return now, most
}

// The share suits the number of upstreams at the start; it doubles.
func TestLimitStaysWhereLoadsDoNotSlowEachOtherDown(t *testing.T) {
	l, now, most := NewLimit(0.2), time.Unix(1000, 0), 0
	for range 3 {
		now, most = loadRound(l, now, 45)
		assert.Equal(t, most, 9, "the set share")
	}
	for range 10 {
		now, most = loadRound(l, now, 90)
		assert.Assert(t, most >= 9 && most <= 12, "%d at once", most)
	}
	// Loads that are measured too short don't make all others slow.
	for range 3 {
		l.add(100 * time.Millisecond)
	}
	for range 5 {
		now, most = loadRound(l, now, 90)
	}
	assert.Assert(t, most >= 9 && most <= 12, "%d at once", most)
}

func TestLimitNeverFallsBelowHalfOfTheShare(t *testing.T) {
	l, now := NewLimit(0.2), time.Unix(1000, 0)
	us := []batch.Upstream{{ID: "u", Service: "s", Holder: "d"}, {ID: "v", Service: "s", Holder: "d"}}
	for n := range 40 {
		us[0].Condition = batch.ConditionLoading
		l.Observe(us, "s", now)
		now = now.Add(time.Second + time.Duration(n)*time.Second)
		us[0].Condition = batch.ConditionReady
		l.Observe(us, "s", now)
	}
	assert.Equal(t, l.AtOnce(), 1)
	for n := range 88 {
		us = append(us, batch.Upstream{ID: api.UpstreamID(fmt.Sprint(n)), Service: "s", Holder: "d"})
	}
	l.Observe(us, "s", now)
	assert.Equal(t, l.AtOnce(), 9)
}
