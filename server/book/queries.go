package book

import (
	"cmp"
	"context"
	"time"

	"dotterelmount.example/lib/batch"
)

// absenceWait is how long a query waits until the journal has been read to its
// end, before it says that something doesn't exist.
const absenceWait = 800 * time.Millisecond

// Results returns a job's results from a position on, waiting up to wait for
// one. Errors: *batch.UnknownJobError when there surely is no such job,
// *StaleError when that can't be told, or whether there is a result, ctx.Err().
func (b *JobReplica) Results(ctx context.Context, id batch.JobID, from int, wait time.Duration) (batch.Results, error) {
	var out batch.Results
	var failed error
	began := b.cfg.Now()
	err := b.query(ctx, max(wait, absenceWait), func(s *batch.State, fresh, final bool) bool {
		out, failed = s.Results(id, from, b.cfg.MaxResultBytes)
		if failed != nil {
			return b.confirmAbsent(&failed, fresh, final)
		}
		if len(out.Results) > 0 || out.Ended || out.Next >= out.Total {
			return true
		}
		return b.confirmAbsent(&failed, fresh, final) && b.cfg.Now().Sub(began) >= wait
	})
	return out, cmp.Or(failed, err)
}

// confirmAbsent reports whether what the fold doesn't have surely isn't in the
// journal. A query that can't wait for that fails.
func (b *JobReplica) confirmAbsent(failed *error, fresh, final bool) bool {
	if !fresh && final {
		*failed = &StaleError{Since: b.lastFullRead}
	}
	return fresh
}

// find asks the fold for something that it may not have. Errors: those of get
// when they are certain, *StaleError, ctx.Err().
func (b *JobReplica) find(ctx context.Context, get func(*batch.State) error) error {
	var failed error
	err := b.query(ctx, absenceWait, func(s *batch.State, fresh, final bool) bool {
		failed = get(s)
		return failed == nil || b.confirmAbsent(&failed, fresh, final)
	})
	return cmp.Or(failed, err)
}

// ItemBody returns where the body of an item is. Errors: *batch.UnknownJobError or
// *batch.UnknownItemError when there surely is none, *StaleError, ctx.Err().
func (b *JobReplica) ItemBody(ctx context.Context, id batch.JobID, item batch.ItemID) (batch.ChunkRef, error) {
	var out batch.ChunkRef
	err := b.find(ctx, func(s *batch.State) (err error) {
		out, err = s.ItemBody(id, item)
		return err
	})
	return out, err
}

// CheckJob returns nil when a job is known. Errors: *batch.UnknownJobError when
// there surely is no such job, *StaleError when that can't be told, ctx.Err().
func (b *JobReplica) CheckJob(ctx context.Context, id batch.JobID) error {
	return b.find(ctx, func(s *batch.State) error { return s.CheckJob(id) })
}

// OpenItems returns the open items of all jobs. Errors: ctx.Err().
func (b *JobReplica) OpenItems(ctx context.Context) ([]batch.OpenItem, error) {
	var out []batch.OpenItem
	err := b.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		out = s.OpenItems()
		return true
	})
	return out, err
}
