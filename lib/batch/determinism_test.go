package batch

import (
	"fmt"
	"slices"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// draw returns some record about few names, so that many have an effect.
func draw(t *rapid.T, n int) Record {
	pick := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	job := JobID(fmt.Sprint("j", pick("job", 3)))
	item := ItemID(fmt.Sprint("i", pick("item", 5)))
	upstream := api.UpstreamID(fmt.Sprint("u", pick("upstream", 4)))
	daemon := api.DaemonID(fmt.Sprint("d", pick("daemon", 2)))
	model := api.ModelName([]string{"m", "n"}[pick("model", 1)])
	versions := map[api.ModelName]api.WeightVersion{"m": api.WeightVersion(pick("vm", 3)), "n": api.WeightVersion(pick("vn", 3))}
	switch pick("kind", 10) {
	case 0:
		j := Job{ID: job, Service: "s", Model: model, MinVersion: api.WeightVersion(pick("min", 2)), MaxAttempts: 2}
		for i := range pick("items", 5) + 1 {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint("i", i)), Group: fmt.Sprint(i / 2), OutputHint: pick("hint", 3)})
		}
		return &JobAccepted{Job: j}
	case 1:
		return &JobEnded{ID: job}
	case 2, 3:
		return &TextAdded{Job: job, Item: item, RunID: fmt.Sprint(n), EventCount: 1, Versions: []api.WeightVersion{1}, Done: pick("done", 1) == 1}
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
	case 9:
		return &UpstreamChanged{Upstream: upstream, Daemon: daemon, Condition: Condition(pick("condition", 4)), Versions: versions}
	default:
		return &LeaseAcquired{Upstream: upstream, Service: "s", Daemon: daemon, PreviousLease: Offset(pick("previous", 1) * n / 2), Slots: 2, Models: []api.ModelName{"m", "n"}, Versions: versions}
	}
}

// Daemons that apply the same records agree on everything, whatever the order
// in which their maps are walked; and what is listed stays listed.
func TestEveryDaemonComesToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		listed := make(map[JobID][]Result)
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := draw(t, n)
			upstreams := a.Upstreams()
			assert.Equal(t, a.Apply(Offset(n+1), r), b.Apply(Offset(n+1), r))
			assert.DeepEqual(t, a.Upstreams(), b.Upstreams())
			if !ChangesUpstreams(r) {
				assert.DeepEqual(t, a.Upstreams(), upstreams)
			}
			assert.DeepEqual(t, a.JobReports(), b.JobReports())
			for _, d := range []api.DaemonID{"d0", "d1", "d2"} {
				assert.DeepEqual(t, a.Runs(d), b.Runs(d))
			}
			a.check(t, listed)
		}
	})
}

// check asserts what must hold of any state.
func (s *State) check(t *rapid.T, listed map[JobID][]Result) {
	for id, j := range s.jobs {
		r, err := s.Results(id, 0, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, r.Total, len(j.items))
		before := listed[id]
		assert.Assert(t, len(r.Results) >= len(before))
		if len(before) > 0 {
			assert.DeepEqual(t, r.Results[:len(before)], before)
		}
		listed[id] = r.Results
		seen := make(map[ItemID]bool)
		for _, x := range r.Results {
			assert.Assert(t, !seen[x.Item], "%s stands twice", x.Item)
			seen[x.Item] = true
		}
	}
	for id, items := range s.placed {
		u := s.upstreams[id]
		assert.Assert(t, len(items) == 0 || u != nil, "items on %s, which is gone", id)
		if u != nil {
			assert.Assert(t, len(items) <= u.Slots)
		}
		for _, i := range items {
			assert.Equal(t, i.upstream, id)
			assert.Assert(t, i.state == ItemOpen && !i.job.ended, "a run of what is over")
			assert.Assert(t, !slices.Contains(s.pending, i), "placed and waiting")
		}
	}
	assert.Assert(t, slices.IsSortedFunc(s.pending, comparePending))
	waits := len(s.pending)
	s.placementDue = true
	s.placePending()
	assert.Equal(t, len(s.pending), waits, "an item could have been placed before")
}
