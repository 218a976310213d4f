package sampler

import (
	"errors"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
)

type openMessage struct {
	trainer api.TrainerID
	step    samples.StepOpened
	reply   *ring.Slot[result[struct{}]]
	expires time.Time
}

// openCall is a pending call of OpenStep.
type openCall struct {
	openMessage
	recordID api.RecordID // empty until it is appended
	ended    bool
}

func (o *openCall) finish(err error) {
	o.ended = true
	o.reply.Put(result[struct{}]{err: err})
}

func (m openMessage) apply(c *core) {
	c.releaseCall()
	oc := &openCall{openMessage: m}
	plan, err := c.deps.Catalog.Plan(m.step.Customer)
	if err != nil {
		oc.finish(err)
		return
	}
	oc.step.Plan = plan.Name
	ts, err := c.follow(m.trainer)
	if err != nil {
		oc.finish(err)
		return
	}
	if len(ts.openCalls) >= c.cfg.MaxPendingCalls {
		oc.finish(api.Errorf(api.CodeShed, "%d calls to open a step are already pending", len(ts.openCalls)))
		return
	}
	ts.openCalls = append(ts.openCalls, oc)
	c.advanceCalls(ts)
}

// advanceOpen appends the record once the replica is synced.
func (c *core) advanceOpen(ts *trainerState, oc *openCall, now time.Time) {
	if oc.ended || oc.recordID != "" {
		return // finished by its verdict or by a failed append
	}
	if now.After(oc.expires) {
		oc.finish(api.Errorf(api.CodeDeadlineExceeded, "step %q was not opened in time", oc.step.Step))
		return
	}
	if !ts.replica.Synced() {
		return
	}
	if known, err := ts.stream().CheckStep(&oc.step); known {
		oc.finish(err)
		return
	}
	if err := c.deps.Catalog.CheckModelAccess(oc.step.Plan, oc.step.Model); err != nil {
		oc.finish(err)
		return
	}
	for _, other := range ts.openCalls {
		if other.recordID != "" && other.step.Step == oc.step.Step {
			return // another call is already appending this step
		}
	}
	if ts.stream().OpenSteps() >= c.cfg.MaxOpenSteps {
		oc.finish(api.Errorf(api.CodeShed, "trainer %q has %d open steps", ts.trainer, ts.stream().OpenSteps()))
		return
	}
	oc.recordID = api.RecordID(c.newID())
	rec := samples.Record{ID: oc.recordID, Body: oc.step}
	if err := c.appendSampleRecord(ts, rec, func(err error) {
		if err != nil && !oc.ended {
			oc.finish(err)
		}
	}); err != nil {
		oc.finish(err)
		return
	}
	c.claimStep(ts, oc.step.Step)
	c.publishNotice(ts)
}

// claimStep records this daemon as the runner of a step. The record is a hint:
// losing it only delays the start.
func (c *core) claimStep(ts *trainerState, id samples.StepID) {
	rec := samples.Record{ID: api.RecordID(c.newID()), Body: samples.StepRunner{Step: id, Daemon: c.cfg.Daemon}}
	_ = c.appendSampleRecord(ts, rec, func(error) {})
}

type pullRequestMessage struct {
	req     PullRequest
	reply   *ring.Slot[result[PullResult]]
	expires time.Time
}

// pullCall is a pending call of Pull.
type pullCall struct {
	pullRequestMessage
	recordID  api.RecordID // empty until the hand-over record is appended
	maxGroups int          // groups in that record
	ended     bool
}

func (p *pullCall) fail(err error) {
	p.ended = true
	p.reply.Put(result[PullResult]{err: err})
}

func (m pullRequestMessage) apply(c *core) {
	c.releaseCall()
	pc := &pullCall{pullRequestMessage: m}
	ts, err := c.follow(m.req.Trainer)
	if err != nil {
		pc.fail(err)
		return
	}
	for _, other := range ts.pullCalls {
		if other.req.PullNumber >= m.req.PullNumber {
			pc.fail(supersededError(m.req.PullNumber, other.req.PullNumber))
			return
		}
	}
	for _, other := range ts.pullCalls {
		other.fail(supersededError(other.req.PullNumber, m.req.PullNumber))
	}
	ts.pullCalls = append(ts.pullCalls, pc)
	c.advanceCalls(ts)
}

func supersededError(pull, by uint64) error {
	return api.Errorf(api.CodeSuperseded, "pull %d came after pull %d", pull, by)
}

// advancePull appends a hand-over record as soon as there are samples to deliver,
// drop or make final. If there are none in time, the pull returns no groups.
func (c *core) advancePull(ts *trainerState, pc *pullCall, now time.Time) {
	if pc.ended || pc.recordID != "" {
		return
	}
	expired := !now.Before(pc.expires)
	if !ts.replica.Synced() {
		if expired && now.After(pc.expires.Add(c.cfg.AppendTimeout)) {
			pc.fail(api.Errorf(api.CodeLogUnavailable, "the stream of trainer %q could not be read", ts.trainer))
		}
		return
	}
	if pc.req.PullNumber <= ts.stream().PullNumber() {
		pc.fail(supersededError(pc.req.PullNumber, ts.stream().PullNumber()))
		return
	}
	cursor := pc.req.Cursor
	h := ts.stream().ComposeHandOver(pc.req.PullNumber, cursor, c.stalenessLimit(pc.req.KnownVersion), pc.req.MaxGroups)
	settles := ts.stream().CursorSettles(cursor) && (expired || ts.stream().Idle(cursor))
	if len(h.Groups) > 0 || len(h.Dropped) > 0 || settles {
		c.appendHandOver(ts, pc, h)
		return
	}
	if expired {
		pc.ended = true
		pc.reply.Put(result[PullResult]{value: PullResult{FromOffset: cursor, NextOffset: cursor, PullNumber: pc.req.PullNumber}})
	}
}

// stalenessLimit looks up the newest weight version and the staleness bound of a
// step.
func (c *core) stalenessLimit(known api.WeightVersion) samples.LimitFunc {
	return func(s *samples.StepOpened) (api.WeightVersion, uint64, bool) {
		plan, err := c.deps.Catalog.Plan(s.Customer)
		if err != nil {
			return 0, 0, false
		}
		return max(known, c.deps.Catalog.WeightInForce(s.Model)), plan.StalenessBound, true
	}
}

func (c *core) appendHandOver(ts *trainerState, pc *pullCall, h samples.HandOver) {
	pc.recordID = api.RecordID(c.newID())
	pc.maxGroups = len(h.Groups)
	err := c.appendSampleRecord(ts, samples.Record{ID: pc.recordID, Body: h}, func(err error) {
		if err != nil && !pc.ended {
			pc.fail(err)
		}
	})
	if err != nil {
		pc.fail(err)
	}
}

// handleVerdict ends the call with exactly the groups that were handed over when the
// record was applied.
func (p *pullCall) handleVerdict(v *samples.Verdict) {
	if p.ended {
		return
	}
	if v.Err != nil {
		p.fail(v.Err)
		return
	}
	res := PullResult{
		FromOffset: p.req.Cursor, NextOffset: v.Offset, PullNumber: p.req.PullNumber,
		Groups: v.Groups, DroppedSamples: v.Dropped, CompletedSteps: v.CompletedSteps,
	}
	invariant.Check(res.NextOffset > res.FromOffset && len(res.Groups) <= p.maxGroups, "samples_answer_matches_record",
		"pull %d from %d to %d, %d groups of %d", res.PullNumber, res.FromOffset, res.NextOffset, len(res.Groups), p.maxGroups)
	for i := range res.Groups {
		for j := range res.Groups[i].Samples {
			invariant.Check(res.Groups[i].Samples[j].Oldest() > 0, "samples_name_versions",
				"group %s/%s sample %d", res.Groups[i].Step, res.Groups[i].Group, j)
		}
	}
	p.ended = true
	p.reply.Put(result[PullResult]{value: res})
}

// stateCall is a call of TrainerState.
type stateCall struct {
	trainer api.TrainerID
	reply   *ring.Slot[result[samples.Report]]
	expires time.Time
}

func (m stateCall) apply(c *core) {
	c.releaseCall()
	ts, err := c.follow(m.trainer)
	if err != nil {
		m.reply.Put(result[samples.Report]{err: err})
		return
	}
	ts.stateCalls = append(ts.stateCalls, m)
	c.advanceCalls(ts)
}

// completeState reports whether the call has been completed.
func (c *core) completeState(ts *trainerState, m stateCall, now time.Time) bool {
	if !ts.replica.Synced() {
		if now.After(m.expires) {
			m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeLogUnavailable, "trainer %q", ts.trainer)})
			return true
		}
		return false
	}
	if ts.stream().AppliedOffset() == 0 {
		m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeUnknownTrainer, "trainer %q", ts.trainer)})
		return true
	}
	r := ts.stream().Report()
	r.Late = ts.planner.LateSlots(ts.stream(), c.usable, now)
	m.reply.Put(result[samples.Report]{value: r})
	return true
}

// appendSampleRecord appends a record to a trainer's stream in the background.
// Errors: those of appendRecord, CodeInvalid.
func (c *core) appendSampleRecord(ts *trainerState, r samples.Record, done func(error)) error {
	payload, err := samplecodec.Encode(r)
	if err != nil {
		return err
	}
	return c.appendRecord(ts.streamName, eventlog.Record{ID: r.ID, Payload: payload}, done)
}

// appendRecord appends a record in the background; done is called on the duty's
// thread with an error of appendError. Errors: CodeShed, CodeLogUnavailable.
func (c *core) appendRecord(stream string, r eventlog.Record, done func(error)) error {
	if c.appendsInFlight >= c.cfg.MaxPendingCalls {
		return api.Errorf(api.CodeShed, "%d appends are already in progress", c.appendsInFlight)
	}
	deadline := c.deps.Now().Add(c.cfg.AppendTimeout)
	post := func(err error) {
		posted := c.post(appendedMessage{done: done, err: err})
		checkPosted(posted, "append")
	}
	if err := c.deps.Appender.Append(stream, r, deadline, post); err != nil {
		return api.Errorf(api.CodeLogUnavailable, "append: %w", err)
	}
	c.appendsInFlight++
	return nil
}

// appendedMessage reports the end of an append.
type appendedMessage struct {
	done func(error)
	err  error
}

func (m appendedMessage) apply(c *core) {
	c.appendsInFlight--
	m.done(appendError(m.err))
}

// appendError returns CodeUnknownResult if the record may be in the log, otherwise
// CodeLogUnavailable.
func appendError(err error) error {
	var ambiguous *eventlog.AmbiguousError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &ambiguous):
		return api.Errorf(api.CodeUnknownResult, "append: %w", err)
	default:
		return api.Errorf(api.CodeLogUnavailable, "append: %w", err)
	}
}

// checkPosted asserts that posting a message failed only because the duty has ended.
func checkPosted(err error, what string) {
	var closed *ring.ClosedError
	invariant.Check(err == nil || errors.As(err, &closed), "sampler_message_lost", "%s: %v", what, err)
}
