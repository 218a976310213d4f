package samples_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"gotest.tools/v3/assert"
)

// abandonedStream hands over group g0 of step s0 at offset 3 and abandons the
// step at offset 4.
func abandonedStream(t *testing.T) *samples.Stream {
	s := samples.NewStream()
	s.Apply(1, samples.Record{ID: "a", Body: openStep("s0")})
	ref := samples.SlotRef{Step: "s0", Group: "g0"}
	done := samples.SampleDone{Slot: ref, Model: model, Sample: samples.Sample{Versions: []api.WeightVersion{1}}}
	s.Apply(2, samples.Record{ID: "b", Body: done})
	v := s.Apply(3, samples.Record{ID: "c", Body: composePull(s, 1, 0)})
	assert.Equal(t, len(v.Groups), 1)
	v = s.Apply(4, samples.Record{ID: "d", Body: samples.StepAbandoned{Step: "s0", Actor: "hana"}})
	assert.NilError(t, v.Err)
	assert.DeepEqual(t, v.Lost, []samples.SlotRef{{Step: "s0", Group: "g1"}, {Step: "s0", Group: "g1", Index: 1}})
	assert.Equal(t, len(s.OpenSlots()), 0)
	return s
}

func composePull(s *samples.Stream, pull uint64, cursor api.Offset) samples.HandOver {
	return s.ComposeHandOver(pull, cursor, func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return 1, bound, true }, 8)
}

func TestUnacknowledgedSampleOfAbandonedStepIsLost(t *testing.T) {
	s := abandonedStream(t)
	assert.Assert(t, s.CursorSettles(0))
	v := s.Apply(5, samples.Record{ID: "e", Body: composePull(s, 2, 0)})
	assert.Equal(t, len(v.Groups)+len(v.CompletedSteps), 0)
	r := s.Report()
	assert.Equal(t, r.Counts.Lost, 3)
	assert.DeepEqual(t, r.Lost[2], samples.SlotRef{Step: "s0", Group: "g0"})
	assert.DeepEqual(t, r.Abandoned, []samples.AbandonedStep{{Step: "s0", Actor: "hana", Offset: 4}})
	assert.Assert(t, s.Idle(0))
}

func TestAcknowledgedSampleOfAbandonedStepIsFinal(t *testing.T) {
	s := abandonedStream(t)
	v := s.Apply(5, samples.Record{ID: "e", Body: composePull(s, 2, 3)})
	assert.Equal(t, len(v.Groups)+len(v.CompletedSteps), 0)
	assert.Equal(t, s.Report().Counts.Final, 1)
	assert.Equal(t, s.Report().Counts.Lost, 2)
	assert.Equal(t, s.OpenSteps(), 0)
}

func TestAbandonedStepIsNotReopened(t *testing.T) {
	s := abandonedStream(t)
	again := openStep("s0")
	_, err := s.CheckStep(&again)
	assert.Equal(t, api.CodeOf(err), api.CodeConflict)
	abandon := func(at api.Offset, id samples.StepID) error {
		return s.Apply(at, samples.Record{ID: "x", Body: samples.StepAbandoned{Step: id}}).Err
	}
	assert.NilError(t, abandon(5, "s0"))
	assert.Equal(t, api.CodeOf(abandon(6, "other")), api.CodeUnknownStep)
}
