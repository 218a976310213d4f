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

func startCheckpointing(t *testing.T, id api.DaemonID, l *fakeLog, d *fakeDeployment) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.CheckpointInterval = 2 * time.Millisecond
	cfg.Tick = time.Millisecond
	cfg.Planner.TakeOverAfter = 100 * time.Millisecond
	deps := sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: d, Members: d, Submitter: submitter{d}, Now: time.Now,
	}
	return sampler.Start(duty.NewSystem(nil), cfg, deps)
}

// awaitAppend waits for the next append to the log.
func awaitAppend(t *testing.T, l *fakeLog) {
	var changed chan struct{}
	l.set(func() { changed = l.changed })
	select {
	case <-changed:
	case <-t.Context().Done():
		t.Fatal("no record was appended")
	}
}

// expireToCheckpoint expires the records contained in the newest checkpoint and
// reports whether it contains the record at offset after.
func expireToCheckpoint(l *fakeLog, after api.Offset) bool {
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

// A step whose records expire before the trainer pulls is restored from a
// checkpoint by a new daemon; its samples are not generated again.
func TestOpenStepOutlivesItsRecords(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a := startCheckpointing(t, "a", l, dep)
	b := startCheckpointing(t, "b", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 3, 2)))
	var report samples.Report
	for report.Counts.Ready < 6 {
		var err error
		report, err = b.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
	for !expireToCheckpoint(l, report.AppliedOffset) {
		awaitAppend(t, l)
	}
	assert.NilError(t, a.Stop(t.Context()))
	assert.NilError(t, b.Stop(t.Context()))
	c := startDaemon(t, "c", l, dep)
	tr := newTrainer()
	tr.pullUntilComplete(t, c)
	assert.Equal(t, len(tr.received), 6)
	assert.Equal(t, dep.submittedJobs(), 6, "no sample is generated again")
	report, err := c.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, report.Gap, api.Offset(0))
}

// Without a checkpoint the lost step is reported by name and cannot be opened
// again.
func TestStepLostWithoutCheckpointIsReported(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 3, 2)))
	awaitSubmitted(t, a, dep, 6)
	assert.NilError(t, a.Stop(t.Context()))
	l.set(func() { l.expired = 1 })
	b := startDaemon(t, "b", l, dep)
	report, err := b.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	assert.Equal(t, report.Gap, api.Offset(1))
	assert.DeepEqual(t, report.Expired, []samples.StepID{"s"})
	assert.Equal(t, api.CodeOf(b.OpenStep(t.Context(), "t1", step("s", 3, 2))), api.CodeConflict)
}

// A step continues and is checkpointed when all daemons are replaced while the
// trainer makes no calls.
func TestStepContinuesWhenAllDaemonsAreReplaced(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitSubmitted(t, a, dep, 4)
	assert.NilError(t, a.Stop(t.Context()))
	dep.set(func() { dep.holdJobs, dep.dead["a"] = false, true })
	b := startCheckpointing(t, "b", l, dep)
	for dep.submittedJobs() < 8 {
		awaitAppend(t, l)
	}
	var end api.Offset
	l.set(func() { end = api.Offset(len(l.streams["trainer.t1"])) })
	for !expireToCheckpoint(l, end) {
		awaitAppend(t, l)
	}
	assert.NilError(t, b.Stop(t.Context()))
	tr := newTrainer()
	tr.pullUntilComplete(t, startDaemon(t, "c", l, dep))
	assert.Equal(t, len(tr.received), 4)
	assert.Equal(t, dep.submittedJobs(), 8)
}
