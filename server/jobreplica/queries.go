package jobreplica

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
)

// absenceWait is how long a query for something unknown waits for the journal to be
// read to its end.
const absenceWait = 800 * time.Millisecond

// mayUse returns nil if the caller may use a job. A job of another customer doesn't exist
// for it. Errors: *batch.UnknownJobError.
func mayUse(s *batch.State, by access.Caller, id batch.JobID) error {
	owner, err := s.Customer(id)
	if err == nil && !by.MayUse(owner) {
		err = &batch.UnknownJobError{ID: id}
	}
	return err
}

// Results returns a job's results starting at a position, and waits up to wait for
// one. Errors: *batch.UnknownJobError, *StaleError when the journal was not read far
// enough to know that there is no such job or result, *PartialError, ctx.Err().
func (j *JobReplica) Results(ctx context.Context, by access.Caller, id batch.JobID, from int, wait time.Duration) (batch.Results, error) {
	var out batch.Results
	var failure error
	startedAt := j.cfg.Now()
	err := j.query(ctx, max(wait, absenceWait), func(s *batch.State, upToDate, expired bool) bool {
		if failure = mayUse(s, by, id); failure == nil {
			out, failure = s.Results(id, from, j.cfg.MaxResultBytes)
		}
		if failure != nil {
			return j.confirmAbsent(&failure, upToDate, expired)
		}
		if len(out.Results) > 0 || out.Ended || out.Next >= out.Total {
			return true
		}
		return j.confirmAbsent(&failure, upToDate, expired) && j.cfg.Now().Sub(startedAt) >= wait
	})
	if err != nil {
		return batch.Results{}, err // the duty may still write to out and failure
	}
	return out, failure
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
// once the journal has been read to its end, *StaleError, *PartialError, ctx.Err().
func find[T any](ctx context.Context, j *JobReplica, get func(*batch.State) (T, error)) (T, error) {
	var out, none T
	var failure error
	err := j.query(ctx, absenceWait, func(s *batch.State, upToDate, expired bool) bool {
		out, failure = get(s)
		return failure == nil || j.confirmAbsent(&failure, upToDate, expired)
	})
	if err != nil {
		return none, err // the duty may still write to out and failure
	}
	return out, failure
}

// ItemBody returns the reference to an item's body. Errors: *batch.UnknownJobError,
// *batch.UnknownItemError, *StaleError when that is not known in time, *PartialError,
// ctx.Err().
func (j *JobReplica) ItemBody(ctx context.Context, by access.Caller, id batch.JobID, item batch.ItemID) (batch.ChunkRef, error) {
	return find(ctx, j, func(s *batch.State) (batch.ChunkRef, error) {
		if err := mayUse(s, by, id); err != nil {
			return batch.ChunkRef{}, err
		}
		return s.ItemBody(id, item)
	})
}

// CheckJob returns nil if a job exists that the caller may use. Errors:
// *batch.UnknownJobError, *StaleError when that is not known in time, *PartialError,
// ctx.Err().
func (j *JobReplica) CheckJob(ctx context.Context, by access.Caller, id batch.JobID) error {
	_, err := find(ctx, j, func(s *batch.State) (struct{}, error) { return struct{}{}, mayUse(s, by, id) })
	return err
}

// MaySubmit reports whether a caller may submit a job under an ID, as far as the journal was
// read: the ID isn't that of a job that the caller may not use. Errors: *PartialError,
// ctx.Err().
func (j *JobReplica) MaySubmit(ctx context.Context, by access.Caller, id batch.JobID) (bool, error) {
	var may bool
	err := j.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		owner, err := s.Customer(id)
		may = err != nil || by.MayUse(owner)
		return true
	})
	return may && err == nil, err
}

// streamOrigin is the service and the version of the software that began a stream.
type streamOrigin struct{ service, software string }

// StreamOrigin returns the service and the version of the software that began a stream;
// id is empty if the caller names no stream. Errors: *batch.UnknownStreamError, *StaleError
// when that is not known in time, *PartialError, ctx.Err().
func (j *JobReplica) StreamOrigin(ctx context.Context, service string, id api.RequestID) (originService, software string, err error) {
	o, err := find(ctx, j, func(s *batch.State) (o streamOrigin, err error) {
		o.service, o.software, err = s.StreamOrigin(service, id)
		return o, err
	})
	return o.service, o.software, err
}

// OpenItems returns the open items of all jobs. Errors: *PartialError, ctx.Err().
func (j *JobReplica) OpenItems(ctx context.Context) ([]batch.OpenItem, error) {
	var out []batch.OpenItem
	err := j.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		out = s.OpenItems()
		now := j.cfg.Now()
		for n := range out {
			out[n].Age = j.jobAges.of(out[n].Job, now)
		}
		return true
	})
	if err != nil {
		return nil, err // the duty may still write to out
	}
	return out, nil
}

// ExplainPlacement returns where the first item of a job would be placed if it were accepted
// now. Errors: *PartialError, ctx.Err().
func (j *JobReplica) ExplainPlacement(ctx context.Context, job *batch.Job) (batch.Placement, error) {
	var out batch.Placement
	err := j.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		out = s.ExplainPlacement(job)
		return true
	})
	if err != nil {
		return batch.Placement{}, err // the duty may still write to out
	}
	return out, nil
}

// Workloads returns the work of all jobs. Errors: *PartialError, ctx.Err().
func (j *JobReplica) Workloads(ctx context.Context) ([]batch.Workload, error) {
	var out []batch.Workload
	err := j.query(ctx, 0, func(s *batch.State, _, _ bool) bool {
		out = s.Workloads()
		now := j.cfg.Now()
		for n := range out {
			out[n].Age = j.jobAges.of(out[n].Job, now)
		}
		return true
	})
	if err != nil {
		return nil, err // the duty may still write to out
	}
	return out, nil
}
