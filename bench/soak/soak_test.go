package main

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/standin/journal"
)

func TestScheduleHasEveryKindBeforeCalmPhase(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(faultDurations))
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		duration := time.Duration(rapid.IntRange(15, 90).Draw(t, "seconds")) * time.Second
		faults := newSchedule(seed, duration, kinds)
		seen := make(map[kind]bool)
		for _, f := range faults {
			seen[f.Kind] = true
			assert.Assert(t, f.Start >= warmUpTime && f.Start+f.Duration < duration-calmTime/2, "%v", f)
			assert.Assert(t, f.Kind == drainRace || f.Kind == daemonTerm || f.Start+f.Duration <= duration-calmTime, "%v", f)
		}
		assert.Equal(t, len(seen), len(kinds))
		assert.DeepEqual(t, newSchedule(seed, duration, kinds), faults)
	})
}

// exampleJournals returns journals with a request that ran on two engines, one that was
// refused and one that ran on one engine with two versions.
func exampleJournals() *journalIndex {
	index := newJournalIndex()
	at := time.Unix(100, 0).UnixMilli()
	index.add("a", []journal.Line{
		{Event: journal.EventStart, RequestID: "r", AtMillis: at},
		{Event: journal.EventTokens, RequestID: "r", Version: 1},
		{Event: journal.EventStart, RequestID: "no", AtMillis: at},
		{Event: journal.EventEnd, RequestID: "no", Ended: journal.EndRefused},
	})
	index.add("b", []journal.Line{
		{Event: journal.EventStart, RequestID: "r", AtMillis: at},
		{Event: journal.EventTokens, RequestID: "r", Version: 2, From: 3},
		{Event: journal.EventStart, RequestID: "single", AtMillis: at},
		{Event: journal.EventTokens, RequestID: "single", Version: 2},
		{Event: journal.EventTokens, RequestID: "single", Version: 3, From: 4},
	})
	return index
}

func TestWrongVersions(t *testing.T) {
	index := exampleJournals()
	for _, c := range []struct {
		id       api.RequestID
		versions []api.WeightVersion
		tokens   int
		wrong    bool
	}{
		{"r", []api.WeightVersion{1, 2}, 5, false},
		{"r", []api.WeightVersion{1}, 5, false}, // the second engine may have been a hedge
		{"r", []api.WeightVersion{2}, 5, true},
		{"r", []api.WeightVersion{1, 2}, 3, true},
		{"r", []api.WeightVersion{1, 4}, 5, true},
		{"r", nil, 5, true},
		{"single", []api.WeightVersion{2, 3}, 5, false},
		{"single", []api.WeightVersion{2}, 5, true},
		{"single", []api.WeightVersion{2}, 4, false},
	} {
		assert.Equal(t, index.wrongVersions(c.id, c.versions, c.tokens), c.wrong, "%v", c)
	}
}

func TestEvaluateRequestsCountsErrors(t *testing.T) {
	index := exampleJournals()
	index.plainExecutions["twice"] = 2
	r := &Result{}
	r.evaluateRequests([]requestRecord{
		{RequestID: "r", Outcome: api.OutcomeNotRun},
		{RequestID: "no", Outcome: api.OutcomeNotRun},
		{RequestID: "r", Outcome: api.OutcomeComplete, Tokens: 5, Versions: []api.WeightVersion{1, 2}},
		{RequestID: "never", Outcome: api.OutcomeComplete},
		{Plain: true, Body: "never", Outcome: api.OutcomeComplete},
		{RequestID: "r", Foreign: "x", Outcome: api.OutcomeComplete},
		{},
	}, index)
	assert.Equal(t, r.FalseNotRun, 1)
	assert.Equal(t, r.CompleteWithoutExecution, 2)
	assert.Equal(t, r.WrongResponses, 1)
	assert.Equal(t, r.RepeatedNonIdempotent, 1)
	assert.Equal(t, r.WrongVersions, 0)
	assert.Equal(t, r.Requests[noResponse], 1)
	var failed *fleet.FailedChecksError
	assert.Assert(t, errors.As(r.check(), &failed))
	assert.Assert(t, slices.Contains(failed.Checks, "false_not_run"))
}

func TestLateArrivals(t *testing.T) {
	index := exampleJournals()
	accepted := time.Unix(100, 0).Add(-maxDrainDelay)
	assert.Equal(t, len(index.lateArrivals(drainPeriod{Upstream: "a", Accepted: accepted.Add(-time.Millisecond), Ended: accepted.Add(time.Minute)})), 2)
	assert.Equal(t, len(index.lateArrivals(drainPeriod{Upstream: "a", Accepted: accepted, Ended: accepted.Add(time.Minute)})), 0)
	assert.Equal(t, len(index.lateArrivals(drainPeriod{Upstream: "a", Accepted: accepted.Add(-time.Second), Ended: time.Unix(100, 0)})), 0)
}

func TestVersionWatchCountsDecreases(t *testing.T) {
	w := &versionWatch{daemon: &supervise.Process{Name: "d"}, last: make(map[string]api.Offset)}
	w.compare(map[string]api.Offset{"a": 2, "b": 1})
	w.compare(map[string]api.Offset{"a": 2, "b": 1})
	assert.Equal(t, len(w.reverts), 0)
	w.compare(map[string]api.Offset{"a": 1})
	assert.Equal(t, len(w.reverts), 2)
}
