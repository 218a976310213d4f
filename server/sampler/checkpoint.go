package sampler

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
)

const (
	// maxCheckpointPartBytes keeps reads of many parts below the log's response limit.
	maxCheckpointPartBytes = 64 << 10
	// checkpointSpread is the fraction of CheckpointInterval over which daemons
	// spread their checkpoints, so that the others see the first one's in time.
	checkpointSpread = 0.25
)

// checkpointClock computes the age of a stream's newest complete checkpoint. It
// never compares a time of the log's clock with one of the daemon's clock.
type checkpointClock struct {
	baseMillis  int64         // log's clock: newest checkpoint, or oldest entry without one
	lastMillis  int64         // log's clock: newest entry
	lastSeen    time.Time     // daemon's clock: newest entry
	completed   int           // checkpoints read
	lastAttempt time.Time     // daemon's clock: own last checkpoint
	jitter      time.Duration // added to the next interval
}

func (c *checkpointClock) recordEntry(e *eventlog.Entry, now time.Time) {
	if c.baseMillis == 0 {
		c.baseMillis = e.TimeMillis
	}
	c.lastMillis = e.TimeMillis
	c.lastSeen = now
}

// recordComplete restarts the age if the last entry completed a checkpoint.
func (c *checkpointClock) recordComplete(complete int) {
	if complete != c.completed {
		c.completed = complete
		c.baseMillis = c.lastMillis
	}
}

func (c *checkpointClock) age(now time.Time) time.Duration {
	return time.Duration(c.lastMillis-c.baseMillis)*time.Millisecond + now.Sub(c.lastSeen)
}

// checkpoint appends the state of a stream before the records that it was built
// from expire. Concurrent checkpoints of two daemons are safe: applying one
// changes nothing, and both restore the same state.
func (c *core) checkpoint(ts *trainerState) {
	interval := c.cfg.CheckpointInterval
	now := c.deps.Now()
	if interval <= 0 || !ts.replica.Synced() || ts.stream().AppliedOffset() == 0 || ts.clock.age(now) < interval+ts.clock.jitter {
		return
	}
	if now.Sub(ts.clock.lastAttempt) < interval/2 {
		return // the parts of the last attempt may still be in flight
	}
	ts.clock.lastAttempt = now
	ts.clock.jitter = time.Duration(c.cfg.Random() * checkpointSpread * float64(interval))
	if ts.stream().OpenSteps() > 0 {
		c.publishNotice(ts)
	}
	if err := c.appendCheckpoint(ts); err != nil {
		appendFailures.Add(1)
	}
}

func (c *core) appendCheckpoint(ts *trainerState) error {
	img := ts.stream().Image()
	state, err := samplecodec.EncodeImage(&img)
	if err != nil {
		return err
	}
	parts, err := samples.SplitCheckpoint(c.newID(), img.AppliedOffset, state, maxCheckpointPartBytes)
	if err != nil {
		return err
	}
	checkpointsProposed.Add(1)
	for _, p := range parts {
		rec := samples.Record{ID: api.RecordID(c.newID()), Body: p}
		if err := c.appendSampleRecord(ts, rec, func(error) {}); err != nil {
			return err
		}
	}
	return nil
}

// failUnresolved ends the calls whose record may be among those that expired
// before they were read: their verdicts can no longer be determined.
func (t *trainerState) failUnresolved() {
	err := api.Errorf(api.CodeUnknownResult, "records of trainer %q expired before they were read", t.trainer)
	for _, oc := range t.openCalls {
		if oc.recordID != "" {
			oc.finish(err)
		}
	}
	for _, pc := range t.pullCalls {
		if pc.recordID != "" {
			pc.fail(err)
		}
	}
	for _, ac := range t.abandonCalls {
		if ac.recordID != "" {
			ac.finish(AbandonResult{}, err)
		}
	}
}
