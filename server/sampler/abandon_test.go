package sampler_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"gotest.tools/v3/assert"
)

func TestAbandonStepCancelsJobsAndReportsLostSamples(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a, b := startDaemon(t, "a", l, dep), startDaemon(t, "b", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitSubmitted(t, a, dep, 4)
	result, err := b.AbandonStep(t.Context(), "t1", "s", "hana")
	assert.NilError(t, err)
	assert.Equal(t, len(result.LostSamples), 4)
	for cancelled := 0; cancelled < 4; {
		dep.set(func() { cancelled = len(dep.cancelled) })
		assert.NilError(t, t.Context().Err())
	}
	dep.finishHeld()
	report, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, len(report.Lost), 4)
	assert.Equal(t, report.Abandoned[0].Actor, "hana")
	got, err := newTrainer().nextPull(t, a)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Groups), 0)
	assert.Equal(t, api.CodeOf(a.OpenStep(t.Context(), "t1", step("s", 2, 2))), api.CodeConflict)
	_, err = a.AbandonStep(t.Context(), "t1", "other", "hana")
	assert.Equal(t, api.CodeOf(err), api.CodeUnknownStep)
}

func TestStepOfUnservedModelIsRefusedOrLate(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)))
	awaitSubmitted(t, a, dep, 1)
	dep.set(func() { dep.unserved["m"] = true })
	assert.Equal(t, api.CodeOf(a.OpenStep(t.Context(), "t1", step("s2", 1, 1))), api.CodeUnknownModel)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)), "repeat of an open step")
	report, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Late, []samples.SlotRef{{Step: "s", Group: "g0"}})
}
