package sampler_test

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
	"dotterelmount.example/server/sampler"
	"gotest.tools/v3/assert"
)

func startCheckpointing(t *testing.T, id api.DaemonID, l *fakeLog, w *fakeWorld) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.CheckpointInterval = 2 * time.Millisecond
	cfg.Tick = time.Millisecond
	cfg.Planner.TakeOverAfter = 100 * time.Millisecond
	deps := sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: w, Members: w, Submitter: submitter{w}, Now: time.Now,
	}
	return sampler.Start(duty.NewSystem(nil), cfg, deps)
}

// awaitChange waits until the log has another record.
func awaitChange(t *testing.T, l *fakeLog) {
	var changed chan struct{}
	l.set(func() { changed = l.changed })
	select {
	case <-changed:
	case <-t.Context().Done():
		t.Fatal("nothing was appended")
	}
}

// expireBehindCheckpoint drops all that the newest checkpoint holds, if that
// reaches as far as after.
func expireBehindCheckpoint(l *fakeLog, after api.Offset) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := l.streams["trainer.t1"]
	for i := len(entries) - 1; i >= 0; i-- {
		e := &entries[i]
		rec, err := samplecodec.Decode(e.ID, e.Payload)
		c, ok := rec.Body.(samples.Checkpoint)
		if err == nil && ok && c.Parts == 1 {
			l.expired = max(l.expired, c.AppliedOffset)
			return c.AppliedOffset >= after
		}
	}
	return false
}

// A step whose records all expire before the trainer asks is kept by a
// checkpoint: a daemon that knows nothing hands it over, and makes nothing again.
func TestOpenStepOutlivesItsRecords(t *testing.T) {
	l, w := newLog(), newWorld()
	a := startCheckpointing(t, "a", l, w)
	b := startCheckpointing(t, "b", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 3, 2)))
	var report samples.Report
	for report.Counts.Ready < 6 {
		var err error
		report, err = b.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
	for !expireBehindCheckpoint(l, report.AppliedOffset) {
		awaitChange(t, l)
	}
	assert.NilError(t, a.Stop(t.Context()))
	assert.NilError(t, b.Stop(t.Context()))
	c := startDaemon(t, "c", l, w)
	tr := newTrainer()
	tr.drive(t, c)
	assert.Equal(t, len(tr.used), 6)
	assert.Equal(t, w.started(), 6, "no sample is made again")
	report, err := c.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, report.Gap, api.Offset(0))
}

// Without a checkpoint the loss is told by name, and the step is not made again.
func TestLossWithoutCheckpointIsNamed(t *testing.T) {
	l, w := newLog(), newWorld()
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 3, 2)))
	awaitRuns(t, a, w, 6)
	assert.NilError(t, a.Stop(t.Context()))
	l.set(func() { l.expired = 1 })
	b := startDaemon(t, "b", l, w)
	report, err := b.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, report.Gap, api.Offset(1))
	assert.DeepEqual(t, report.Expired, []samples.StepID{"s"})
	assert.Equal(t, api.CodeOf(b.OpenStep(t.Context(), "t1", step("s", 3, 2))), api.CodeConflict)
}

// A step goes on, and is checkpointed, when every daemon was replaced and the
// trainer asks nobody.
func TestStepGoesOnWhenAllDaemonsAreReplaced(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitRuns(t, a, w, 4)
	assert.NilError(t, a.Stop(t.Context()))
	w.set(func() { w.stall, w.dead["a"] = false, true })
	b := startCheckpointing(t, "b", l, w)
	for w.started() < 8 {
		awaitChange(t, l)
	}
	var end api.Offset
	l.set(func() { end = api.Offset(len(l.streams["trainer.t1"])) })
	for !expireBehindCheckpoint(l, end) {
		awaitChange(t, l)
	}
	assert.NilError(t, b.Stop(t.Context()))
	tr := newTrainer()
	tr.drive(t, startDaemon(t, "c", l, w))
	assert.Equal(t, len(tr.used), 4)
	assert.Equal(t, w.started(), 8)
}
