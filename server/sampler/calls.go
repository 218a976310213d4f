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

// stepWait is a call of OpenStep under way.
type stepWait struct {
	openMessage
	record api.RecordID // empty until it is appended
	ended  bool
}

func (w *stepWait) finish(err error) {
	w.ended = true
	w.reply.Put(result[struct{}]{err: err})
}

func (m openMessage) apply(c *core) {
	c.release()
	w := &stepWait{openMessage: m}
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
	if len(f.opening) >= c.cfg.FrontLimit {
		w.finish(api.Errorf(api.CodeShed, "%d steps wait already", len(f.opening)))
		return
	}
	f.opening = append(f.opening, w)
	c.advance(f)
}

func (c *core) advanceStep(f *follow, w *stepWait, now time.Time) {
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
	if known, err := f.stream().Check(&w.step); known {
		w.finish(err)
		return
	}
	if err := c.deps.Catalog.MayUse(w.step.Plan, w.step.Model); err != nil {
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
	c.notice(f)
}

// claimStep records this daemon as the runner of a step. It is a hint: a lost
// one only delays the start.
func (c *core) claimStep(f *follow, id samples.StepID) {
	rec := samples.Record{ID: api.RecordID(c.newID()), Body: samples.StepRunner{Step: id, Daemon: c.cfg.Daemon}}
	_ = c.append(f, rec, func(error) {})
}

type pullMessage struct {
	req     PullRequest
	reply   *ring.Slot[result[PullAnswer]]
	expires time.Time
}

// pullWait is a call of Pull under way.
type pullWait struct {
	pullMessage
	record   api.RecordID // empty until its hand-over is appended
	proposed int          // groups in the hand-over
	ended    bool
}

func (w *pullWait) fail(err error) {
	w.ended = true
	w.reply.Put(result[PullAnswer]{err: err})
}

func (m pullMessage) apply(c *core) {
	c.release()
	w := &pullWait{pullMessage: m}
	f, err := c.follow(m.req.Trainer)
	if err != nil {
		w.fail(err)
		return
	}
	for _, other := range f.pulls {
		if other.req.Pull >= m.req.Pull {
			w.fail(superseded(m.req.Pull, other.req.Pull))
			return
		}
	}
	for _, other := range f.pulls {
		other.fail(superseded(other.req.Pull, m.req.Pull))
	}
	f.pulls = append(f.pulls, w)
	c.advance(f)
}

func superseded(pull, by uint64) error {
	return api.Errorf(api.CodeSuperseded, "pull %d came after pull %d", pull, by)
}

// advancePull appends the pull's hand-over as soon as there is something to
// hand, to drop or to make final; at its end it answers with nothing.
func (c *core) advancePull(f *follow, w *pullWait, now time.Time) {
	if w.ended || w.record != "" {
		return
	}
	expired := !now.Before(w.expires)
	if !f.replica.Synced() {
		if expired && now.After(w.expires.Add(c.cfg.AppendDeadline)) {
			w.fail(api.Errorf(api.CodeLogUnavailable, "the stream of trainer %q could not be read", f.trainer))
		}
		return
	}
	if w.req.Pull <= f.stream().Pull() {
		w.fail(superseded(w.req.Pull, f.stream().Pull()))
		return
	}
	cursor := w.req.Cursor
	h := f.stream().Compose(w.req.Pull, cursor, c.limit(w.req.InForce), w.req.MaxGroups)
	settles := f.stream().Settles(cursor) && (expired || f.stream().Idle(cursor))
	if len(h.Groups) > 0 || len(h.Dropped) > 0 || settles {
		c.appendHandOver(f, w, h)
		return
	}
	if expired {
		w.ended = true
		w.reply.Put(result[PullAnswer]{value: PullAnswer{From: cursor, Next: cursor, Pull: w.req.Pull}})
	}
}

func (c *core) limit(known api.WeightVersion) samples.LimitFunc {
	return func(s *samples.StepOpened) (api.WeightVersion, uint64, bool) {
		plan, err := c.deps.Catalog.Plan(s.Customer)
		if err != nil {
			return 0, 0, false
		}
		return max(known, c.deps.Catalog.WeightInForce(s.Model)), plan.StalenessBound, true
	}
}

func (c *core) appendHandOver(f *follow, w *pullWait, h samples.HandOver) {
	w.record = api.RecordID(c.newID())
	w.proposed = len(h.Groups)
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
func (w *pullWait) verdict(v *samples.Verdict) {
	if w.ended {
		return
	}
	if v.Err != nil {
		w.fail(v.Err)
		return
	}
	a := PullAnswer{
		From: w.req.Cursor, Next: v.Offset, Pull: w.req.Pull,
		Groups: v.Groups, Dropped: v.Dropped, Whole: v.Whole,
	}
	invariant.Check(a.Next > a.From && len(a.Groups) <= w.proposed, "samples_answer_matches_record",
		"pull %d from %d to %d, %d groups of %d", a.Pull, a.From, a.Next, len(a.Groups), w.proposed)
	for i := range a.Groups {
		for j := range a.Groups[i].Samples {
			invariant.Check(a.Groups[i].Samples[j].Oldest() > 0, "samples_name_versions",
				"group %s/%s sample %d", a.Groups[i].Step, a.Groups[i].Group, j)
		}
	}
	w.ended = true
	w.reply.Put(result[PullAnswer]{value: a})
}

type stateMessage struct {
	trainer api.TrainerID
	reply   *ring.Slot[result[samples.Report]]
	expires time.Time
}

func (m stateMessage) apply(c *core) {
	c.release()
	f, err := c.follow(m.trainer)
	if err != nil {
		m.reply.Put(result[samples.Report]{err: err})
		return
	}
	f.states = append(f.states, m)
	c.advance(f)
}

// answerState reports whether the call has its answer.
func (c *core) answerState(f *follow, m stateMessage, now time.Time) bool {
	if !f.replica.Synced() {
		if now.After(m.expires) {
			m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeLogUnavailable, "trainer %q", f.trainer)})
			return true
		}
		return false
	}
	if f.stream().Through() == 0 {
		m.reply.Put(result[samples.Report]{err: api.Errorf(api.CodeUnknownTrainer, "trainer %q", f.trainer)})
		return true
	}
	r := f.stream().Report()
	r.Late = f.runner.Late(f.stream(), c.usable, now)
	m.reply.Put(result[samples.Report]{value: r})
	return true
}

// append hands a record of a trainer's stream to the appender. Errors: those of
// appendRecord, CodeInvalid.
func (c *core) append(f *follow, r samples.Record, done func(error)) error {
	payload, err := samplecodec.Encode(r)
	if err != nil {
		return err
	}
	return c.appendRecord(f.name, eventlog.Record{ID: r.ID, Payload: payload}, done)
}

// appendRecord hands a record to the appender; done is called on the duty's
// thread with a typed error. Errors: CodeShed, CodeLogUnavailable.
func (c *core) appendRecord(stream string, r eventlog.Record, done func(error)) error {
	if c.appends >= c.cfg.FrontLimit {
		return api.Errorf(api.CodeShed, "%d appends are under way", c.appends)
	}
	deadline := c.deps.Now().Add(c.cfg.AppendDeadline)
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
	m.done(typed(m.err))
}

// typed maps the error of an append.
func typed(err error) error {
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
