package samples_test

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

func plannerConfig() samples.PlannerConfig {
	return samples.PlannerConfig{
		MaxOutstanding: 8, MaxHedges: 1, HedgeFraction: 0.5, HedgeAfter: time.Second, HedgeFactor: 2,
		BackoffMin: time.Second, BackoffMax: 4 * time.Second, TakeOverAfter: 10 * time.Second, LateAfter: time.Minute,
	}
}

func usable(*samples.StepOpened) bool { return true }

var allAlive = samples.View{Alive: func(api.DaemonID) bool { return true }, Usable: usable}

func TestPlannerHedgesStraggler(t *testing.T) {
	now := time.Unix(1000, 0)
	s := samples.NewStream()
	s.Apply(1, samples.Record{ID: "a", Body: openStep("s0")})
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s0", Daemon: "d1"}})
	planner := samples.NewPlanner(plannerConfig(), "d1")
	p := planner.Plan(s, allAlive, 100, now)
	assert.Equal(t, len(p.ToStart), 3)
	for i, j := range p.ToStart[:2] {
		use, _ := planner.JobFinished(j.JobKey, true, now.Add(time.Second), 0)
		assert.Assert(t, use)
		done := samples.SampleDone{Slot: j.Slot, Model: model, Sample: samples.Sample{Versions: []api.WeightVersion{1}}}
		s.Apply(api.Offset(3+i), samples.Record{ID: api.RecordID(rune('c' + i)), Body: done})
	}
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now.Add(time.Second)).ToStart), 0)
	hedge := planner.Plan(s, allAlive, 100, now.Add(3*time.Second)).ToStart
	assert.Equal(t, len(hedge), 1)
	use, cancel := planner.JobFinished(hedge[0].JobKey, true, now.Add(4*time.Second), 0)
	assert.Assert(t, use)
	assert.DeepEqual(t, cancel, []samples.JobKey{p.ToStart[2].JobKey})
	use, _ = planner.JobFinished(p.ToStart[2].JobKey, true, now.Add(4*time.Second), 0)
	assert.Assert(t, !use)
	assert.Equal(t, planner.Outstanding(), 0)
}

func TestPlannerRetriesAfterBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	s := samples.NewStream()
	s.Apply(1, samples.Record{ID: "a", Body: openStep("s0")})
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s0", Daemon: "d1"}})
	planner := samples.NewPlanner(plannerConfig(), "d1")
	for _, j := range planner.Plan(s, allAlive, 100, now).ToStart {
		use, _ := planner.JobFinished(j.JobKey, false, now, 1)
		assert.Assert(t, !use)
	}
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now.Add(999*time.Millisecond)).ToStart), 0)
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now.Add(time.Second)).ToStart), 3)
}

func TestPlannerTakesOverFromDeadDaemon(t *testing.T) {
	now := time.Unix(1000, 0)
	s := samples.NewStream()
	s.Apply(1, samples.Record{ID: "a", Body: openStep("s0")})
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s0", Daemon: "d1"}})
	planner := samples.NewPlanner(plannerConfig(), "d2")
	dead := samples.View{Alive: func(id api.DaemonID) bool { return id != "d1" }, Usable: usable}
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now).ToStart), 0)
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now.Add(2*time.Second)).ToTakeOver), 0)
	p := planner.Plan(s, dead, 100, now.Add(2*time.Second))
	assert.DeepEqual(t, p.ToTakeOver, []samples.StepID{"s0"})
	assert.Equal(t, len(p.ToStart), 3)

	other := samples.NewPlanner(plannerConfig(), "d3")
	other.Plan(s, dead, 100, now)
	s.Apply(3, samples.Record{ID: "c", Body: samples.StepRunner{Step: "s0", Daemon: "d2"}})
	p = other.Plan(s, dead, 100, now.Add(2*time.Second))
	assert.Equal(t, len(p.ToTakeOver)+len(p.ToStart), 0, "the step was already taken over")
}

func TestStepOfUnservedModelIsLate(t *testing.T) {
	now := time.Unix(1000, 0)
	s := samples.NewStream()
	s.Apply(1, samples.Record{ID: "a", Body: openStep("s0")})
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s0", Daemon: "d1"}})
	planner := samples.NewPlanner(plannerConfig(), "d1")
	never := func(*samples.StepOpened) bool { return false }
	view := samples.View{Alive: allAlive.Alive, Usable: never}
	assert.Equal(t, len(planner.Plan(s, view, 100, now).ToStart), 0)
	assert.Equal(t, len(planner.LateSlots(s, never, now)), 3)
	assert.Equal(t, len(planner.LateSlots(s, usable, now)), 0)
	assert.Equal(t, len(planner.Plan(s, allAlive, 100, now).ToStart), 3)
}

// Two daemons that follow a trainer split the groups of a step between them. The
// runner also runs the other daemon's groups if these make no progress.
func TestPlannersShareGroups(t *testing.T) {
	now := time.Unix(1000, 0)
	s := samples.NewStream()
	step := samples.StepOpened{Step: "s0", Model: model, Customer: "c"}
	for _, id := range []samples.GroupID{"a", "b", "c"} {
		step.Groups = append(step.Groups, samples.GroupSpec{ID: id, N: 2, MaxTokens: 4, Messages: []work.Message{{Role: "user", Content: "x"}}})
	}
	assert.NilError(t, s.Apply(1, samples.Record{ID: "a", Body: step}).Err)
	s.Apply(2, samples.Record{ID: "b", Body: samples.StepRunner{Step: "s0", Daemon: "d1"}})
	one, two := allAlive, allAlive
	one.Owns = func(g samples.GroupRef) bool { return g.Group == "a" }
	two.Owns = func(g samples.GroupRef) bool { return g.Group != "a" }
	r1, r2 := samples.NewPlanner(plannerConfig(), "d1"), samples.NewPlanner(plannerConfig(), "d2")
	assert.Equal(t, len(r1.Plan(s, one, 100, now).ToStart), 2)
	assert.Equal(t, len(r2.Plan(s, two, 100, now).ToStart), 4)
	later := now.Add(plannerConfig().TakeOverAfter / 10)
	assert.Equal(t, len(r1.Plan(s, one, 100, later.Add(-time.Millisecond)).ToStart), 0)
	assert.Equal(t, len(r1.Plan(s, one, 100, later).ToStart), 4)
}
