package jobreplica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"go.uber.org/zap"
)

const (
	keepInterval = time.Second      // between two checks whether a checkpoint or a reset is due
	resetWait    = 10 * time.Second // for the checkpoint of a reset, before the next one
)

// PartialError is returned while the state is partial: records of the journal were lost
// that no checkpoint includes.
type PartialError struct{ Since time.Time }

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("the state of batch jobs is not known since %s", e.Since.Format(time.RFC3339Nano))
}

// load takes over a state that was read from a checkpoint.
func (j *JobReplica) load(m *loaded) {
	j.state, j.decoder = m.state, replay.Decoder{}
	j.appliedOffset = batch.Offset(m.checkpoint.Next)
	j.partial, j.followedSince = false, time.Time{}
	now := j.cfg.Now()
	for id := range m.checkpoint.Image.Daemons {
		j.lastRenewals[id] = now
	}
	j.recent = newRecentRecords()
	j.loadAges(m.checkpoint.Image, now)
	for _, r := range m.checkpoint.Recent {
		j.recent.add(r, now)
		j.report(r)
	}
	j.unpublished = changes{any: true, runs: true, upstreams: true}
}

// loseRecords begins a partial state, because records were lost.
func (j *JobReplica) loseRecords(at time.Time) {
	j.state, j.decoder = batch.New(), replay.Decoder{}
	j.becomePartial(at)
}

// applyReset ends the state. The daemon that proposed the reset stores its own as a
// checkpoint, from which all go on.
func (j *JobReplica) applyReset(at batch.Offset, r *batch.StateReset) {
	if j.lastRenewal > r.After {
		j.log.Info("reset of the states without effect", zap.Uint64("offset", uint64(at)), zap.String("process", r.Process), zap.Uint64("renewed", uint64(j.lastRenewal)))
		return
	}
	j.log.Warn("states reset", zap.Uint64("offset", uint64(at)), zap.String("process", r.Process))
	j.lastReset.Store(uint64(at))
	j.resetAt = j.cfg.Now()
	if r.Process == j.cfg.Process {
		j.checkpoints.post(j.checkpoint(journal.Offset(at)))
	}
	if !j.partial {
		j.becomePartial(j.resetAt)
	}
}

// checkKind ends the state after a record of a later build that may change states, as in a
// return to an earlier build. Later checkpoints include what it changed. Those who write
// such records stop once this daemon renews.
func (j *JobReplica) checkKind(at batch.Offset, err error) {
	var unknown *batchcodec.UnknownKindError
	if !errors.As(err, &unknown) || !unknown.ChangesStates() {
		return
	}
	j.lastReset.Store(uint64(at))
	if !j.partial {
		j.log.Warn("record of a later build: batch work stops until there is a checkpoint after it", zap.Uint64("offset", uint64(at)), zap.Uint8("kind", unknown.Kind))
		j.becomePartial(j.cfg.Now())
	}
}

// resetNext returns the offset before which checkpoints are void.
func (j *JobReplica) resetNext() journal.Offset { return journal.Offset(j.lastReset.Load()) }

func (j *JobReplica) becomePartial(since time.Time) {
	j.partial, j.followedSince = true, since
	j.callbacks.RunsChanged(nil, j.appliedOffset)
	if j.rewardsPublished {
		j.rewardsPublished = false
		j.callbacks.RewardsChanged(nil)
	}
	j.publish()
	j.answerPending()
}

// keepState proposes a reset or takes a checkpoint if it is due. The journal was read to
// its end.
func (j *JobReplica) keepState() {
	now := j.cfg.Now()
	if now.Sub(j.checkedAt) < keepInterval || j.decoder.Open() {
		return
	}
	j.checkedAt = now
	s := j.snapshot.Load()
	m := checkpoint.Members{Daemons: s.Daemons, Live: j.cfg.Roster.Live(s.Members(), now), LastRenewals: j.lastRenewals}
	switch {
	case j.partial && now.Sub(j.resetAt) >= resetWait && j.cfg.Checkpoints.MayReset(m, j.followedSince, now):
		j.resetAt = now
		err := j.callbacks.Propose(&batch.StateReset{Process: j.cfg.Process, After: j.appliedOffset})
		j.log.Warn("reset of the states proposed", zap.Uint64("applied", uint64(j.appliedOffset)), zap.Error(err))
	case !j.partial && j.cfg.Checkpoints.Due(j.cfg.Daemon, m, j.checkpointedAt, now):
		j.checkpointedAt = now
		j.checkpoints.post(j.checkpoint(journal.Offset(j.appliedOffset)))
	}
}

func (j *JobReplica) checkpoint(next journal.Offset) *replay.Checkpoint {
	return &replay.Checkpoint{Next: next, Image: j.state.Image(), Recent: j.recent.list(j.cfg.Now())}
}

// checkpointWriter writes checkpoints. The fields from head on are accessed only on the
// duty.
type checkpointWriter struct {
	stored journal.Keyed
	cfg    Config
	log    *zap.Logger
	duty   *duty.Duty[*replay.Checkpoint]

	known   bool // head, records and end are those of the topic as far as known
	head    *checkpoint.Head
	records []journal.KeyedRecord
	end     journal.Offset
}

func startCheckpointWriter(sys *duty.System, stored journal.Keyed, cfg Config, log *zap.Logger) *checkpointWriter {
	w := &checkpointWriter{stored: stored, cfg: cfg, log: log}
	w.duty = duty.Start(sys, duty.Config{Name: "checkpoints", RingSize: 1}, duty.Handler[*replay.Checkpoint](w))
	return w
}

// post writes a checkpoint, unless one is being written. It never blocks.
func (w *checkpointWriter) post(c *replay.Checkpoint) {
	if err := w.duty.Post(c); err != nil {
		w.log.Warn("checkpoint not written", zap.Uint64("next", uint64(c.Next)), zap.Error(err))
	}
}

// Handle writes a checkpoint. Without effect, the next one is due after the usual time.
func (w *checkpointWriter) Handle(ctx context.Context, c *replay.Checkpoint) {
	startedAt := w.cfg.Now()
	head, err := w.write(ctx, c)
	if err != nil {
		w.known = false
		w.log.Warn("checkpoint not written", zap.Uint64("next", uint64(c.Next)), zap.Error(err))
		return
	}
	w.log.Info("checkpoint written", zap.Uint64("next", uint64(c.Next)), zap.Int("bytes", head.Bytes), zap.Int("parts", head.Parts),
		zap.Duration("took", w.cfg.Now().Sub(startedAt)))
}

// NewerError reports that the topic has a checkpoint that includes more records.
type NewerError struct{ Next journal.Offset }

// Error implements error.
func (e *NewerError) Error() string {
	return fmt.Sprintf("there is a checkpoint with the records before offset %d", e.Next)
}

// write stores a checkpoint. Each append is made only if the topic ends where the one
// before ended, so that a daemon that was stopped meanwhile overwrites nothing. Errors:
// *NewerError, those of encoding, splitting and of journal.Keyed.
func (w *checkpointWriter) write(ctx context.Context, c *replay.Checkpoint) (checkpoint.Head, error) {
	if err := w.learn(ctx); err != nil {
		return checkpoint.Head{}, err
	}
	if w.head != nil && w.head.Next >= c.Next {
		return *w.head, &NewerError{Next: w.head.Next}
	}
	data, err := c.Encode()
	if err != nil {
		return checkpoint.Head{}, err
	}
	records, head, err := checkpoint.Split(w.head, c.Next, data, w.cfg.MaxRecordBytes)
	if err != nil {
		return head, err
	}
	written := records
	records = append(checkpoint.Surplus(w.records, head), records...)
	for len(records) > 0 {
		n := checkpoint.Batch(records, w.cfg.MaxAppendBytes)
		callCtx, cancel := context.WithTimeout(ctx, w.cfg.ReadWait+w.cfg.ReadTimeout)
		w.end, err = w.stored.AppendAt(callCtx, w.end, records[:n])
		cancel()
		if err != nil {
			return head, err
		}
		records = records[n:]
	}
	w.head, w.records = &head, checkpoint.Keys(w.records, written)
	return head, nil
}

// learn reads the topic, unless this daemon wrote to it last as far as it knows.
func (w *checkpointWriter) learn(ctx context.Context) error {
	if w.known {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, w.cfg.ReadWait+w.cfg.ReadTimeout)
	defer cancel()
	records, end, err := w.stored.Newest(callCtx)
	if err != nil {
		return err
	}
	w.records, w.end, w.head = checkpoint.Keys(nil, records), end, nil
	head, err := checkpoint.ReadHead(records)
	var missing *checkpoint.MissingError
	var damaged *checkpoint.DamagedError
	switch {
	case err == nil:
		w.head = &head
	case errors.As(err, &damaged):
		w.log.Warn("checkpoint replaced", zap.Error(err))
	case !errors.As(err, &missing):
		return err
	}
	w.known = true
	return nil
}
