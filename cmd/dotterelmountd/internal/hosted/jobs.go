package hosted

import (
	"context"
	"errors"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/platform/entry"
	"dotterelmount.example/server/committer"
	"go.uber.org/zap"
)

// jobStore implements entry.JobStore on the journal and the chunk topic.
type jobStore struct{ n *Node }

// Submit implements entry.JobStore. A job is not accepted, and never will be, if
// storing one of its bodies may have failed.
func (j *jobStore) Submit(ctx context.Context, by access.Caller, job *batch.Job, bodies []entry.ItemBodies) error {
	if !j.mayHaveID(ctx, by, job.ID) {
		return &opaque.NotRunError{Reason: "the id is that of another customer's job", RetryAfter: retryAfter}
	}
	replica := j.n.replica.Load()
	if !j.n.intake.TakesJob(int64(job.Size()), replica.JobBytes()) && replica.CheckJob(ctx, by, job.ID) != nil {
		return &opaque.NotRunError{Reason: "no room for another job", RetryAfter: retryAfter}
	}
	var data [][]byte
	var refs []*batch.ChunkRef // where the reference to each is kept
	for i := range job.Items {
		data, refs = append(data, bodies[i].Request), append(refs, &job.Items[i].Body)
		if len(bodies[i].Scorer) > 0 {
			data, refs = append(data, bodies[i].Scorer), append(refs, &job.Items[i].Scorer.Body)
		}
	}
	ranges, err := j.n.chunkCommitter.CommitAll(ctx, data)
	if tooLarge := j.tooLarge(err); tooLarge != nil {
		return tooLarge
	}
	if err != nil {
		return &opaque.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	for i, loc := range ranges {
		*refs[i] = j.n.chunkRef(loc, len(data[i]))
	}
	return j.commit(ctx, &batch.JobAccepted{Job: *job})
}

// mayHaveID reports whether a caller may submit a job under an ID. If the state isn't
// complete, it may: of two jobs with one ID, the first record counts.
func (j *jobStore) mayHaveID(ctx context.Context, by access.Caller, id batch.JobID) bool {
	if by.Unrestricted {
		return true
	}
	may, err := j.n.replica.Load().MaySubmit(ctx, by, id)
	return may || err != nil
}

// tooLarge returns the error of a job whose part exceeds an append, nil for other errors.
func (j *jobStore) tooLarge(err error) error {
	var tooLarge *committer.TooLargeError
	if !errors.As(err, &tooLarge) {
		return nil
	}
	return &entry.TooLargeError{Limit: j.n.settings.MaxAppendBytes, Cause: err}
}

// End implements entry.JobStore.
func (j *jobStore) End(ctx context.Context, by access.Caller, id batch.JobID) error {
	if err := j.n.replica.Load().CheckJob(ctx, by, id); err != nil {
		return err
	}
	return j.commit(ctx, &batch.JobEnded{ID: id})
}

// commit appends a record. Errors: *opaque.NotRunError if it is not in the journal
// and never will be, *opaque.FailedError if it may be.
func (j *jobStore) commit(ctx context.Context, r batch.Record) error {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return err
	}
	_, err = j.n.committer.Commit(ctx, data)
	if tooLarge := j.tooLarge(err); tooLarge != nil {
		return tooLarge
	}
	var ambiguous *journal.AmbiguousError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &ambiguous):
		return &opaque.FailedError{Reason: err.Error()}
	default:
		return &opaque.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	}
}

// Results implements entry.JobStore.
func (j *jobStore) Results(ctx context.Context, by access.Caller, id batch.JobID, from int, wait time.Duration) (batch.Results, []string, error) {
	found, err := j.n.replica.Load().Results(ctx, by, id, from, wait)
	if err != nil {
		return found, nil, err
	}
	var chunkLists [][]batch.ChunkRef
	for _, r := range found.Results {
		chunkLists = append(chunkLists, r.Chunks)
	}
	texts, err := j.n.chunkReader.Read(ctx, chunkLists)
	if err != nil {
		j.n.log.Info("reading chunks failed", zap.String("job", string(id)), zap.Int("from", from), zap.Int("results", len(found.Results)), zap.Error(err))
	}
	return found, texts, err
}

// ItemBody implements entry.JobStore.
func (j *jobStore) ItemBody(ctx context.Context, by access.Caller, id batch.JobID, item batch.ItemID) ([]byte, error) {
	loc, err := j.n.replica.Load().ItemBody(ctx, by, id, item)
	if err != nil {
		return nil, err
	}
	return j.n.chunkReader.ReadChunk(ctx, loc)
}
