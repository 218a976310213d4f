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

// openCall is a call of OpenStep under way.
type openCall struct {
	openMessage
	record api.RecordID // empty until it is appended
	ended  bool
}

func (w *openCall) finish(err error) {
	w.ended = true
	w.reply.Put(result[struct{}]{err: err})
}

func (m openMessage) apply(c *core) {
	c.releaseCall()
	w := &openCall{openMessage: m}
	plan, err := c.deps.Catalog.Plan(m.step.Customer)
	if err != nil {
		w.finish(err)
		return
	}
	w.step.Plan = plan.Name
	f, err := c.follow(m.trainer)
	if err != nil {
		w.finish(err)
		return
	}
	if len(f.opening) >= c.cfg.MaxPendingCalls {
		w.finish(api.Errorf(api.CodeShed, "%d steps wait already", len(f.opening)))
		return
	}
	f.opening = append(f.opening, w)
	c.advanceCalls(f)
}

func (c *core) advanceStep(f *trainerState, w *openCall, now time.Time) {
	if w.ended || w.record != "" {
		return // the verdict or the append's end finishes it
	}
	if now.After(w.expires) {
		w.finish(api.Errorf(api.CodeDeadlineExceeded, "step %q was not opened in time", w.step.Step))
		return
	}
	if !f.replica.Synced() {
		return
	}
	if known, err := f.stream().CheckStep(&w.step); known {
		w.finish(err)
		return
	}
	if err := c.deps.Catalog.CheckModelAccess(w.step.Plan, w.step.Model); err != nil {
		w.finish(err)
		return
	}
	for _, other := range f.opening {
		if other.record != "" && other.step.Step == w.step.Step {
			return // the same step is on its way into the log
		}
	}
	if f.stream().OpenSteps() >= c.cfg.MaxOpenSteps {
		w.finish(api.Errorf(api.CodeShed, "trainer %q has %d open steps", f.trainer, f.stream().OpenSteps()))
		return
	}
	w.record = api.RecordID(c.newID())
	rec := samples.Record{ID: w.record, Body: w.step}
	if err := c.append(f, rec, func(err error) {
		if err != nil && !w.ended {
			w.finish(err)
		}
	}); err != nil {
		w.finish(err)
		return
	}
	c.claimStep(f, w.step.Step)
	c.publishNotice(f)
}

// claimStep records this daemon as the runner of a step. It is a hint: a lost
// one only delays the start.
func (c *core) claimStep(f *trainerState, id samples.StepID) {
	rec := samples.Record{ID: api.RecordID(c.newID()), Body: samples.StepRunner{Step: id, Daemon: c.cfg.Daemon}}
	_ = c.append(f, rec, func(error) {})
}

type pullMessage struct {
	req     PullRequest
	reply   *ring.Slot[result[PullResult]]
	expires time.Time
}

// pullCall is a call of Pull under way.
type pullCall struct {
	pullMessage
	record    api.RecordID // empty until its hand-over is appended
	maxGroups int          // groups in the hand-over
	ended     bool
}

func (w *pullCall) fail(err error) {
	w.ended = true
	w.reply.Put(result[PullResult]{err: err})
}

func (m pullMessage) apply(c *core) {
	c.releaseCall()
	w := &pullCall{pullMessage: m}
	f, err := c.follow(m.req.Trainer)
	if err != nil {
		w.fail(err)
		return
	}
	for _, other := range f.pulls {
		if other.req.PullNumber >= m.req.PullNumber {
			w.fail(supersededError(m.req.PullNumber, other.req.PullNumber))
			return
		}
	}
	for _, other := range f.pulls {
		other.fail(supersededError(other.req.PullNumber, m.req.PullNumber))
	}
	f.pulls = append(f.pulls, w)
	c.advanceCalls(f)
}

func supersededError(pull, by uint64) error {
	return api.Errorf(api.CodeSuperseded, "pull %d came after pull %d", pull, by)
}

// advancePull appends the pull's hand-over as soon as there is something to
// hand, to drop or to make final; at its end it answers with nothing.
func (c *core) advancePull(f *trainerState, w *pullCall, now time.Time) {
	if w.ended || w.record != "" {
		return
	}
	expired := !now.Before(w.expires)
	if !f.replica.Synced() {
		if expired && now.After(w.expires.Add(c.cfg.AppendTimeout)) {
			w.fail(api.Errorf(api.CodeLogUnavailable, "the stream of trainer %q could not be read", f.trainer))
		}
		return
	}
	if w.req.PullNumber <= f.stream().PullNumber() {
		w.fail(supersededError(w.req.PullNumber, f.stream().PullNumber()))
		return
	}
	cursor := w.req.Cursor
	h := f.stream().ComposeHandOver(w.req.PullNumber, cursor, c.stalenessLimit(w.req.KnownVersion), w.req.MaxGroups)
	settles := f.stream().Settles(cursor) && (expired || f.stream().Idle(cursor))
	if len(h.Groups) > 0 || len(h.Dropped) > 0 || settles {
		c.appendHandOver(f, w, h)
		return
	}
	if expired {
		w.ended = true
		w.reply.Put(result[PullResult]{value: PullResult{FromOffset: cursor, NextOffset: cursor, PullNumber: w.req.PullNumber}})
	}
}

func (c *core) stalenessLimit(known api.WeightVersion) samples.LimitFunc {
	return func(s *samples.StepOpened) (api.WeightVersion, uint64, bool) {
		plan, err := c.deps.Catalog.Plan(s.Customer)
		if err != nil {
			return 0, 0, false
		}
		return max(known, c.deps.Catalog.WeightInForce(s.Model)), plan.StalenessBound, true
	}
}

func (c *core) appendHandOver(f *trainerState, w *pullCall, h samples.HandOver) {
	w.record = api.RecordID(c.newID())
	w.maxGroups = len(h.Groups)
	err := c.append(f, samples.Record{ID: w.record, Body: h}, func(err error) {
		if err != nil && !w.ended {
			w.fail(err)
		}
	})
	if err != nil {
		w.fail(err)
	}
}

// verdict answers the pull with exactly what the fold handed.
func (w *pullCall) verdict(v *samples.Verdict) {
	if w.ended {
		return
	}
	if v.Err != nil {
		w.fail(v.Err)
		return
	}
	a := PullResult{
		FromOffset: w.req.Cursor, NextOffset: v.Offset, PullNumber: w.req.PullNumber,
		Groups: v.Groups, DroppedSamples: v.Dropped, CompletedSteps: v.Whole,
	}
	invariant.Check(a.NextOffset > a.FromOffset && len(a.Groups) <= w.maxGroups, "samples_answer_matches_record",
		"pull %d from %d to %d, %d groups of %d", a.PullNumber, a.FromOffset, a.NextOffset, len(a.Groups), w.maxGroups)
	for i := range a.Groups {
		for j := range a.Groups[i].Samples {
			invariant.Check(a.Groups[i].Samples[j].Oldest() > 0, "samples_name_versions",
				"group %s/%s sample %d", a.Groups[i].Step, a.Groups[i].Group, j)
		}
	}
	w.ended = true
	w.reply.Put(result[PullResult]{value: a})
}

type stateMessage struct {
	trainer api.TrainerID
	reply   *ring.Slot[result[samples.Report]]
	expires time.Time
}

func (m stateMessage) apply(c *core) {
	c.releaseCall()
	f, err := c.follow(m.trainer)
	if err != nil {
		m.reply.Put(result[samples.Report]{err: err})
		return
	}
	f.states = append(f.states, m)
	c.advanceCalls(f)
}

// answerState reports whether the call has its answer.
func (c *core) answerState(f *trainerState, m stateMessage, now time.Time) bool {
	if !f.replica.Synced() {
		if now.After(m.expires) {
			m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeLogUnavailable, "trainer %q", f.trainer)})
			return true
		}
		return false
	}
	if f.stream().AppliedOffset() == 0 {
		m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeUnknownTrainer, "trainer %q", f.trainer)})
		return true
	}
	r := f.stream().Report()
	r.Late = f.planner.LateSlots(f.stream(), c.usable, now)
	m.reply.Put(result[samples.Report]{value: r})
	return true
}

// append hands a record of a trainer's stream to the appender. Errors: those of
// appendRecord, CodeInvalid.
func (c *core) append(f *trainerState, r samples.Record, done func(error)) error {
	payload, err := samplecodec.Encode(r)
	if err != nil {
		return err
	}
	return c.appendRecord(f.name, eventlog.Record{ID: r.ID, Payload: payload}, done)
}

// appendRecord hands a record to the appender; done is called on the duty's
// thread with a typed error. Errors: CodeShed, CodeLogUnavailable.
func (c *core) appendRecord(stream string, r eventlog.Record, done func(error)) error {
	if c.appends >= c.cfg.MaxPendingCalls {
		return api.Errorf(api.CodeShed, "%d appends are under way", c.appends)
	}
	deadline := c.deps.Now().Add(c.cfg.AppendTimeout)
	post := func(err error) {
		posted := c.post(appendedMessage{done: done, err: err})
		checkPosted(posted, "append")
	}
	if err := c.deps.Appender.Append(stream, r, deadline, post); err != nil {
		return api.Errorf(api.CodeLogUnavailable, "append: %w", err)
	}
	c.appends++
	return nil
}

// appendedMessage is the end of an append.
type appendedMessage struct {
	done func(error)
	err  error
}

func (m appendedMessage) apply(c *core) {
	c.appends--
	m.done(appendError(m.err))
}

// appendError maps the error of an append.
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

// checkPosted asserts that a message was lost only because the duty has ended.
func checkPosted(err error, what string) {
	var closed *ring.ClosedError
	invariant.Check(err == nil || errors.As(err, &closed), "sampler_message_lost", "%s: %v", what, err)
}
