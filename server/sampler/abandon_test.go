package sampler_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"gotest.tools/v3/assert"
)

func TestAbandonedStepIsCancelledAndLostByName(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a, b := startDaemon(t, "a", l, w), startDaemon(t, "b", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitRuns(t, a, w, 4)
	answer, err := b.AbandonStep(t.Context(), "t1", "s", "hana")
	assert.NilError(t, err)
	assert.Equal(t, len(answer.LostSamples), 4)
	for cancelled := 0; cancelled < 4; {
		w.set(func() { cancelled = len(w.cancelled) })
		assert.NilError(t, t.Context().Err())
	}
	w.finishHeld()
	report, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, len(report.Lost), 4)
	assert.Equal(t, report.Abandoned[0].Actor, "hana")
	got, err := newTrainer().ask(t, a)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Groups), 0)
	assert.Equal(t, api.CodeOf(a.OpenStep(t.Context(), "t1", step("s", 2, 2))), api.CodeConflict)
	_, err = a.AbandonStep(t.Context(), "t1", "other", "hana")
	assert.Equal(t, api.CodeOf(err), api.CodeUnknownStep)
}

func TestStepOfUnservedModelIsRefusedOrLate(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)))
	awaitRuns(t, a, w, 1)
	w.set(func() { w.unserved["m"] = true })
	assert.Equal(t, api.CodeOf(a.OpenStep(t.Context(), "t1", step("s2", 1, 1))), api.CodeUnknownModel)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)), "a repeat of an open step")
	report, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Late, []samples.SlotRef{{Step: "s", Group: "g0"}})
}
