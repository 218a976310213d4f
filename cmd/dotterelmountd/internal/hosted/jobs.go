package hosted

import (
	"context"
	"errors"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/opaque"
	"go.uber.org/zap"
)

// jobs keeps batch jobs in the journal.
type jobs struct{ n *Node }

// Submit implements entry.Jobs. A job whose bodies may not all be kept is not
// accepted, and never will be.
func (j *jobs) Submit(ctx context.Context, job *batch.Job, bodies [][]byte) error {
	places, err := j.n.chunkCommitter.CommitAll(ctx, bodies)
	if err != nil {
		return &opaque.RefusedError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	for i, at := range places {
		job.Items[i].Body = j.n.chunk(at, len(bodies[i]))
	}
	return j.keep(ctx, &batch.JobAccepted{Job: *job})
}

// End implements entry.Jobs.
func (j *jobs) End(ctx context.Context, id batch.JobID) error {
	if err := j.n.book.Load().Knows(ctx, id); err != nil {
		return err
	}
	return j.keep(ctx, &batch.JobEnded{ID: id})
}

// keep appends a record. Errors: *opaque.RefusedError when it is not in the
// journal and never will be, *opaque.FailedError when it may be.
func (j *jobs) keep(ctx context.Context, r batch.Record) error {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return err
	}
	_, err = j.n.committer.Commit(ctx, data)
	var unknown *journal.UnknownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return &opaque.FailedError{Reason: err.Error()}
	default:
		return &opaque.RefusedError{Reason: err.Error(), RetryAfter: retryAfter}
	}
}

// Results implements entry.Jobs.
func (j *jobs) Results(ctx context.Context, id batch.JobID, from int, wait time.Duration) (batch.Results, []string, error) {
	found, err := j.n.book.Load().Results(ctx, id, from, wait)
	if err != nil {
		return found, nil, err
	}
	var lists [][]batch.Chunk
	for _, r := range found.Results {
		lists = append(lists, r.Chunks)
	}
	data, err := j.n.chunks.Read(ctx, lists)
	if err != nil {
		j.n.log.Info("chunks not read", zap.String("job", string(id)), zap.Int("from", from), zap.Int("results", len(found.Results)), zap.Error(err))
	}
	return found, data, err
}

// Body implements entry.Jobs.
func (j *jobs) Body(ctx context.Context, id batch.JobID, item batch.ItemID) ([]byte, error) {
	at, err := j.n.book.Load().Body(ctx, id, item)
	if err != nil {
		return nil, err
	}
	return j.n.chunks.One(ctx, at)
}
