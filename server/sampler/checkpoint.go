package sampler

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
)

const (
	// maxCheckpointPartBytes keeps a read of many parts below the limits of an answer.
	maxCheckpointPartBytes = 64 << 10
	// checkpointSpread is the share of CheckpointEvery over which daemons spread
	// their checkpoints, so that the first one's is seen before the others' turn.
	checkpointSpread = 0.25
)

// checkpointClock tells how old the newest complete checkpoint of a stream is.
// It subtracts times of the log's clock from each other, and times of the
// daemon's clock from each other, but never mixes the two.
type checkpointClock struct {
	baseMillis  int64 // log's clock: newest checkpoint, or oldest record without one
	lastMillis  int64 // log's clock: newest entry
	lastSeen    time.Time
	complete    int
	lastAttempt time.Time // last own attempt
	jitter      time.Duration
}

func (k *checkpointClock) recordEntry(e *eventlog.Entry, now time.Time) {
	if k.baseMillis == 0 {
		k.baseMillis = e.TimeMillis
	}
	k.lastMillis = e.TimeMillis
	k.lastSeen = now
}

// recordComplete notes whether the last entry completed a checkpoint.
func (k *checkpointClock) recordComplete(complete int) {
	if complete != k.complete {
		k.complete = complete
		k.baseMillis = k.lastMillis
	}
}

func (k *checkpointClock) age(now time.Time) time.Duration {
	return time.Duration(k.lastMillis-k.baseMillis)*time.Millisecond + now.Sub(k.lastSeen)
}

// checkpoint republishes what is in force of a stream before the records that
// it rests on expire. Two daemons that do so at once do no harm: the fold
// ignores checkpoints, and either restores the same state.
func (c *core) checkpoint(f *trainerState) {
	every := c.cfg.CheckpointInterval
	now := c.deps.Now()
	if every <= 0 || !f.replica.Synced() || f.stream().AppliedOffset() == 0 || f.clock.age(now) < every+f.clock.jitter {
		return
	}
	if now.Sub(f.clock.lastAttempt) < every/2 {
		return // the last one's parts may still be on their way
	}
	f.clock.lastAttempt = now
	f.clock.jitter = time.Duration(c.cfg.Random() * checkpointSpread * float64(every))
	if f.stream().OpenSteps() > 0 {
		c.publishNotice(f)
	}
	if err := c.appendCheckpoint(f); err != nil {
		appendFailures.Add(1)
	}
}

func (c *core) appendCheckpoint(f *trainerState) error {
	img := f.stream().Image()
	state, err := samplecodec.EncodeImage(&img)
	if err != nil {
		return err
	}
	parts, err := samples.SplitCheckpoint(c.newID(), img.AppliedOffset, state, maxCheckpointPartBytes)
	if err != nil {
		return err
	}
	checkpoints.Add(1)
	for _, p := range parts {
		rec := samples.Record{ID: api.RecordID(c.newID()), Body: p}
		if err := c.append(f, rec, func(error) {}); err != nil {
			return err
		}
	}
	return nil
}

// failUnresolved ends the calls whose record may lie among those that expired
// unread: they learn no verdict any more.
func (f *trainerState) failUnresolved() {
	err := api.Errorf(api.CodeUnknownResult, "records of trainer %q expired before they were read", f.trainer)
	for _, w := range f.opening {
		if w.record != "" {
			w.finish(err)
		}
	}
	for _, w := range f.pulls {
		if w.record != "" {
			w.fail(err)
		}
	}
	for _, w := range f.abandons {
		if w.record != "" {
			w.finish(AbandonResult{}, err)
		}
	}
}
