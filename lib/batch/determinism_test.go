package batch

import (
	"fmt"
	"slices"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawRecord draws a record with few distinct IDs, so that many records change
// the state.
func drawRecord(t *rapid.T, n int) Record {
	pick := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	job := JobID(fmt.Sprint("j", pick("job", 3)))
	item := ItemID(fmt.Sprint("i", pick("item", 5)))
	upstream := api.UpstreamID(fmt.Sprint("u", pick("upstream", 4)))
	daemon := api.DaemonID(fmt.Sprint("d", pick("daemon", 2)))
	model := api.ModelName([]string{"m", "n"}[pick("model", 1)])
	versions := map[api.ModelName]api.WeightVersion{"m": api.WeightVersion(pick("vm", 3)), "n": api.WeightVersion(pick("vn", 3))}
	software := fmt.Sprint("v", pick("software", 1))
	service := []string{"s", "t"}[pick("service", 1)]
	switch pick("kind", 18) {
	case 17:
		return &RulesRaised{Rules: pick("rules", 1)}
	case 18:
		return &EventIntervalMeasured{Upstream: upstream, Daemon: daemon, Micros: int64(10 * pick("interval", 3))}
	case 0:
		j := Job{ID: job, Service: "s", Model: model, MinVersion: api.WeightVersion(pick("min", 2)), MaxAttempts: 2, SingleVersion: pick("single", 1) == 1}
		for i := range pick("items", 5) + 1 {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint("i", i)), Group: fmt.Sprint(i / 2), OutputHint: pick("hint", 3)})
			if pick("scorer", 1) == 1 {
				j.Items[i].Scorer = &Scorer{ID: fmt.Sprint("r", i), Host: "h", Path: "/p"}
			}
		}
		return &JobAccepted{Job: j}
	case 1:
		return &JobEnded{ID: job}
	case 2, 3:
		return &TextAdded{Job: job, Item: item, RunID: fmt.Sprint(n), EventCount: 1, Versions: []api.WeightVersion{api.WeightVersion(1 + pick("text version", 1))}, Software: software, Done: pick("done", 1) == 1}
	case 4:
		return &ItemFailed{Job: job, Item: item, Status: 500}
	case 5:
		return &ItemMoved{Job: job, Item: item, FromUpstream: upstream}
	case 6:
		return &DaemonAlive{Daemon: daemon, StartMillis: 1}
	case 7:
		return &DaemonLeft{Daemon: daemon}
	case 8:
		return &UpstreamRemoved{Upstream: upstream, Daemon: daemon}
	case 10:
		return &ItemScored{Job: job, Item: item, Score: "s"}
	case 11:
		return &RewardFailed{Job: job, Item: item, Status: 500}
	case 13:
		return &RequestLimitNamed{Upstream: upstream, PerSecond: float64(pick("limit", 2))}
	case 15:
		return &TextDropped{Job: job, Item: item, EventCount: 1 + pick("events", 1)}
	case 16:
		return &HomesSwapped{First: upstream, FirstModel: model, Second: api.UpstreamID(fmt.Sprint("u", pick("second", 4))), SecondModel: api.ModelName([]string{"m", "n"}[pick("second model", 1)])}
	case 14:
		return &JobRerouted{Job: job, Service: service, ConfigVersion: uint64(pick("config", 3))}
	case 9:
		return &UpstreamChanged{Upstream: upstream, Daemon: daemon, Condition: Condition(pick("condition", 4)), Software: software, Versions: versions}
	default:
		return &LeaseAcquired{Upstream: upstream, Service: service, Daemon: daemon, PreviousLease: Offset(pick("previous", 1) * n / 2), Slots: 2, Models: []api.ModelName{"m", "n"}, Software: software, Versions: versions}
	}
}

// Two states that apply the same records are equal, which fails if a result
// depends on map iteration order. Listed results never change.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		listed := make(map[JobID][]Result)
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, n)
			upstreams := a.Upstreams()
			assert.Equal(t, a.Apply(Offset(n+1), r), b.Apply(Offset(n+1), r))
			assert.DeepEqual(t, a.Upstreams(), b.Upstreams())
			if !ChangesUpstreams(r) {
				assert.DeepEqual(t, a.Upstreams(), upstreams)
			}
			assert.DeepEqual(t, a.JobReports(), b.JobReports())
			assert.DeepEqual(t, a.Rewards(), b.Rewards())
			for _, d := range []api.DaemonID{"d0", "d1", "d2"} {
				assert.DeepEqual(t, a.Runs(d), b.Runs(d))
			}
			a.checkInvariants(t, listed)
		}
	})
}

// checkInvariants asserts the invariants of a state. listed holds the results
// of the check before.
func (s *State) checkInvariants(t *rapid.T, listed map[JobID][]Result) {
	for id, j := range s.jobs {
		r, err := s.Results(id, 0, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, r.Total, len(j.items))
		earlier := listed[id]
		assert.Assert(t, len(r.Results) >= len(earlier))
		if len(earlier) > 0 {
			assert.DeepEqual(t, r.Results[:len(earlier)], earlier)
		}
		listed[id] = r.Results
		seen := make(map[ItemID]bool)
		for _, x := range r.Results {
			assert.Assert(t, !seen[x.Item], "%s is listed twice", x.Item)
			seen[x.Item] = true
			scored := j.items[x.Item].item().Scorer != nil && x.State == ItemCompleted
			assert.Equal(t, x.Score != "", scored, "%s: score %q", x.Item, x.Score)
		}
	}
	for _, i := range s.unscored {
		assert.Assert(t, i.state == ItemOpen && !i.job.ended && i.textDone && i.upstream == "", "item without an outstanding reward call")
		assert.Assert(t, !slices.Contains(s.pending, i), "item with a complete text is pending")
	}
	for id, items := range s.placed {
		u := s.upstreams[id]
		assert.Assert(t, len(items) == 0 || u != nil, "items placed on removed upstream %s", id)
		if u != nil {
			assert.Assert(t, len(items) <= u.Slots)
		}
		for _, i := range items {
			assert.Equal(t, i.upstream, id)
			assert.Assert(t, i.state == ItemOpen && !i.job.ended, "placed item is not open")
			assert.Assert(t, !slices.Contains(s.pending, i), "item is both placed and pending")
		}
	}
	assert.Assert(t, slices.IsSortedFunc(s.pending, comparePending))
	pending := len(s.pending)
	s.placementDue = true
	s.placePending()
	assert.Equal(t, len(s.pending), pending, "a pending item could have been placed earlier")
}
