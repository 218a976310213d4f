package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWorkloadCountsGeneratedAndExpectedEvents(t *testing.T) {
	s := New()
	job := func(id JobID) Job {
		j := Job{ID: id, Service: "s", Model: "m", MaxAttempts: 3, TargetMillis: 7500}
		for n := range 20 {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint(id, n)), MaxTokens: 100})
		}
		return j
	}
	s.Apply(1, &JobAccepted{Job: job("a")})
	for n := range 20 {
		events := 10
		if n == 0 {
			events = 50
		}
		s.Apply(Offset(2+n), &TextAdded{Job: "a", Item: ItemID(fmt.Sprint("a", n)), RunID: "r", EventCount: events, Done: true})
	}
	s.Apply(30, &JobEnded{ID: "a"})
	s.Apply(31, &JobAccepted{Job: job("b")})
	s.Apply(32, &TextAdded{Job: "b", Item: "b0", RunID: "r", EventCount: 30})

	got := s.Workloads()
	assert.Equal(t, len(got), 2)
	assert.DeepEqual(t, got[0], Workload{Job: "a", Service: "s", Model: "m", Target: 7500 * time.Millisecond, Events: 240, LongEvents: 10})
	assert.Equal(t, got[1].Events, 240.0)
	assert.Equal(t, got[1].Remaining, 210.0)
	s.Apply(33, &TextAdded{Job: "b", Item: "b1", RunID: "r", EventCount: 300})
	assert.Equal(t, s.Workloads()[1].Remaining, 20.0, "longer than expected; each item has an event left")
	s.Apply(34, &JobEnded{ID: "b"})
	assert.Equal(t, s.Workloads()[1].Remaining, 0.0)
}
