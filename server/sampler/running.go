package sampler

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/fingerprint"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
	"dotterelmount.example/lib/work"
)

// plan starts and cancels jobs of all trainers, each up to its share of the
// room, another one first each time.
func (c *core) plan() {
	if len(c.order) == 0 {
		return
	}
	busy := 0
	for _, f := range c.order {
		if f.stream().OpenSteps() > 0 {
			busy++
		}
	}
	c.turn++
	for i := range c.order {
		f := c.order[(c.turn+i)%len(c.order)]
		if !f.replica.Synced() {
			continue
		}
		share := (c.cfg.Run.MaxOutstanding + busy) / max(1, busy)
		room := min(c.cfg.Run.MaxOutstanding-c.jobs-c.done, share-f.runner.Outstanding())
		c.planOne(f, room)
	}
}

func (c *core) planOne(f *follow, room int) {
	now := c.deps.Now()
	view := samples.View{Alive: c.deps.Members.Alive, Usable: c.usable}
	if len(f.work.team) > 1 {
		view.Owns = func(g samples.GroupRef) bool { return f.work.owned(g, string(c.cfg.Member)) }
	}
	p := f.runner.Plan(f.stream(), view, room, now)
	for _, id := range p.TakeOver {
		takeOvers.Add(1)
		c.claimStep(f, id)
	}
	c.cancel(f, p.Cancel)
	for i := range p.Start {
		c.submit(f, &p.Start[i], now)
	}
}

// usable reports whether a step's customer may still use its model.
func (c *core) usable(s *samples.StepOpened) bool {
	plan, err := c.deps.Catalog.Plan(s.Customer)
	return err == nil && c.deps.Catalog.MayUse(plan.Name, s.Model) == nil
}

func (c *core) cancel(f *follow, keys []samples.JobKey) {
	for _, key := range keys {
		if id, ok := f.jobs[key]; ok {
			c.deps.Submitter.Cancel(id)
		}
	}
}

func (c *core) submit(f *follow, s *samples.Start, now time.Time) {
	if s.Try > 1 {
		retries.Add(1)
	}
	plan := s.Step.Plan
	if p, err := c.deps.Catalog.Plan(s.Step.Customer); err == nil {
		plan = p.Name
	}
	g := &work.Generate{Messages: s.Spec.Messages, MaxTokens: s.Spec.MaxTokens}
	print, prefix := fingerprint.Generate(s.Step.Model, g.Messages)
	id := c.jobID(f, &s.JobKey)
	job := &work.Job{
		ID: id, Customer: s.Step.Customer, Plan: plan, Model: s.Step.Model, Lane: api.LaneRollout,
		Repeatable: true, Fingerprint: print, Prefix: prefix, CostTokens: s.Spec.MaxTokens,
		Deadline: now.Add(c.cfg.JobDeadline), Call: work.Call{Generate: g},
		Sink: &sink{post: c.post, trainer: f.trainer, model: s.Step.Model, key: s.JobKey, id: id},
	}
	if err := c.deps.Submitter.Submit(job); err != nil {
		refused.Add(1)
		f.runner.Finished(s.JobKey, false, now, c.cfg.Random())
		return
	}
	c.jobs++
	f.jobs[s.JobKey] = id
}

func (c *core) jobID(f *follow, k *samples.JobKey) api.RequestID {
	name := fmt.Sprintf("%s/%s/%s/%d/%d/%d", f.trainer, k.Slot.Step, k.Slot.Group, k.Slot.Index, k.Attempt, k.Try)
	return api.RequestID(name + "@" + c.newID())
}

// sink posts a job's end to the duty.
type sink struct {
	post    func(message) error
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
}

// Chunk implements work.Sink; the jobs are not streamed.
func (s *sink) Chunk(context.Context, work.Chunk) error { return nil }

// Finish implements work.Sink. The duty's ring has room for the end of every job.
func (s *sink) Finish(a work.Answer) {
	m := finishMessage{trainer: s.trainer, model: s.model, key: s.key, id: s.id, answer: a}
	checkPosted(s.post(m), string(s.id))
}

// finishMessage is the end of a job.
type finishMessage struct {
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
	answer  work.Answer
}

func (m finishMessage) apply(c *core) {
	c.jobs--
	f := c.followed[m.trainer]
	if f == nil || f.jobs[m.key] != m.id {
		return
	}
	delete(f.jobs, m.key)
	use, cancel := f.runner.Finished(m.key, whole(&m.answer), c.deps.Now(), c.cfg.Random())
	c.cancel(f, cancel)
	if use {
		c.keepSample(f, &m)
	}
}

// whole tells whether an answer is complete and names all its versions.
func whole(a *work.Answer) bool {
	if a.Outcome != api.OutcomeComplete || len(a.Versions) == 0 {
		return false
	}
	for _, v := range a.Versions {
		if v == 0 {
			return false
		}
	}
	return true
}

// pendingSample is a whole answer that is not yet known to be in the log. It
// stays in memory through an outage of the log.
type pendingSample struct {
	slot      samples.SlotRef
	attempt   int
	record    eventlog.Record
	appending bool
	notBefore time.Time
}

func (c *core) keepSample(f *follow, m *finishMessage) {
	a := &m.answer
	done := samples.SampleDone{
		Slot: m.key.Slot, Model: m.model, Attempt: m.key.Attempt, Daemon: c.cfg.Daemon,
		Sample: samples.Sample{Text: a.Text, Tokens: a.Tokens, Versions: a.Versions, FinishReason: a.FinishReason},
	}
	id := api.RecordID(c.newID())
	payload, err := samplecodec.Encode(samples.Record{ID: id, Body: done})
	if !invariant.Check(err == nil, "sampler_encodes_samples", "%v", err) {
		return
	}
	p := &pendingSample{slot: m.key.Slot, attempt: m.key.Attempt, record: eventlog.Record{ID: id, Payload: payload}}
	f.pending[id] = p
	c.done++
	c.appendSample(f, p)
}

func (c *core) appendSample(f *follow, p *pendingSample) {
	now := c.deps.Now()
	post := func(err error) {
		checkPosted(c.post(sampleAppended{trainer: f.trainer, id: p.record.ID, err: err}), "sample append")
	}
	err := c.deps.Appender.Append(f.name, p.record, now.Add(c.cfg.AppendDeadline), post)
	p.appending = err == nil
	p.notBefore = now.Add(c.cfg.ReadBackoff)
}

// sampleAppended is the end of a sample's append.
type sampleAppended struct {
	trainer api.TrainerID
	id      api.RecordID
	err     error
}

func (m sampleAppended) apply(c *core) {
	f := c.followed[m.trainer]
	if f == nil {
		return
	}
	p := f.pending[m.id]
	if p == nil {
		return
	}
	p.appending = false
	if m.err == nil {
		c.forgetSample(f, m.id)
		return
	}
	appendFailures.Add(1)
	p.notBefore = c.deps.Now().Add(c.cfg.ReadBackoff)
}

func (c *core) forgetSample(f *follow, id api.RecordID) {
	delete(f.pending, id)
	c.done--
}

// retryAppends appends samples again whose append failed or may have failed.
// The record keeps its id, so that the fold ignores a repeat.
func (c *core) retryAppends(f *follow) {
	now := c.deps.Now()
	for id, p := range f.pending {
		if p.appending || now.Before(p.notBefore) {
			continue
		}
		if !f.stream().Open(p.slot, p.attempt) {
			c.forgetSample(f, id)
			continue
		}
		c.appendSample(f, p)
	}
}
