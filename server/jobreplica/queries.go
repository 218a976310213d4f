package jobreplica

import (
	"cmp"
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// absenceWait is how long a query for something unknown waits for the journal to be
// read to its end.
const absenceWait = 800 * time.Millisecond

// Results returns a job's results starting at a position, and waits up to wait for
// one. Errors: *batch.UnknownJobError, *StaleError when the journal was not read far
// enough to know that there is no such job or result, ctx.Err().
func (j *JobReplica) Results(ctx context.Context, id batch.JobID, from int, wait time.Duration) (batch.Results, error) {
	var out batch.Results
	var failure error
	startedAt := j.cfg.Now()
	err := j.query(ctx, max(wait, absenceWait), func(s *batch.State, upToDate, expired bool) bool {
		out, failure = s.Results(id, from, j.cfg.MaxResultBytes)
		if failure != nil {
			return j.confirmAbsent(&failure, upToDate, expired)
		}
		if len(out.Results) > 0 || out.Ended || out.Next >= out.Total {
			return true
		}
		return j.confirmAbsent(&failure, upToDate, expired) && j.cfg.Now().Sub(startedAt) >= wait
	})
	return out, cmp.Or(failure, err)
}

// confirmAbsent reports whether something absent from the state is absent from the
// journal. A query that expires before that is known fails with *StaleError.
func (j *JobReplica) confirmAbsent(err *error, upToDate, expired bool) bool {
	if !upToDate && expired {
		*err = &StaleError{Since: j.lastFullRead}
	}
	return upToDate
}

// find looks up something that may not be in the state yet. Errors: those of get
// once the journal has been read to its end, *StaleError, ctx.Err().
func (j *JobReplica) find(ctx context.Context, get func(*batch.State) error) error {
	var failure error
	err := j.query(ctx, absenceWait, func(s *batch.State, upToDate, expired bool) bool {
		failure = get(s)
		return failure == nil || j.confirmAbsent(&failure, upToDate, expired)
	})
	return cmp.Or(failure, err)
}

// ItemBody returns the reference to an item's body. Errors: *batch.UnknownJobError,
// *batch.UnknownItemError, *StaleError when that is not known in time, ctx.Err().
func (j *JobReplica) ItemBody(ctx context.Context, id batch.JobID, item batch.ItemID) (batch.ChunkRef, error) {
	var out batch.ChunkRef
	err := j.find(ctx, func(s *batch.State) (err error) {
		out, err = s.ItemBody(id, item)
		return err
	})
	return out, err
}

// CheckJob returns nil if a job exists. Errors: *batch.UnknownJobError, *StaleError
// when that is not known in time, ctx.Err().
func (j *JobReplica) CheckJob(ctx context.Context, id batch.JobID) error {
	return j.find(ctx, func(s *batch.State) error { return s.CheckJob(id) })
}

// StreamOrigin returns the service and the version of the software that began a stream;
// id is empty if the caller names no stream. Errors: *batch.UnknownStreamError, *StaleError
// when that is not known in time, ctx.Err().
func (j *JobReplica) StreamOrigin(ctx context.Context, service string, id api.RequestID) (originService, software string, err error) {
	err = j.find(ctx, func(s *batch.State) (err error) {
		originService, software, err = s.StreamOrigin(service, id)
		return err
	})
	return originService, software, err
}

// OpenItems returns the open items of all jobs. Errors: ctx.Err().
func (j *JobReplica) OpenItems(ctx context.Context) ([]batch.OpenItem, error) {
	var out []batch.OpenItem
	err := j.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		out = s.OpenItems()
		return true
	})
	return out, err
}
