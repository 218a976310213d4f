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
	if len(c.trainers) == 0 {
		return
	}
	busy := 0
	for _, f := range c.trainers {
		if f.stream().OpenSteps() > 0 {
			busy++
		}
	}
	c.firstPlanned++
	for i := range c.trainers {
		f := c.trainers[(c.firstPlanned+i)%len(c.trainers)]
		if !f.replica.Synced() {
			continue
		}
		share := (c.cfg.Planner.MaxOutstanding + busy) / max(1, busy)
		room := min(c.cfg.Planner.MaxOutstanding-c.jobs-c.pendingSamples, share-f.planner.Outstanding())
		c.planTrainer(f, room)
	}
}

func (c *core) planTrainer(f *trainerState, room int) {
	now := c.deps.Now()
	view := samples.View{Alive: c.deps.Members.Alive, Usable: c.usable}
	if len(f.groups.followers) > 1 {
		view.Owns = func(g samples.GroupRef) bool { return f.groups.isAssigned(g, string(c.cfg.Member)) }
	}
	p := f.planner.Plan(f.stream(), view, room, now)
	for _, id := range p.ToTakeOver {
		takeOvers.Add(1)
		c.claimStep(f, id)
	}
	c.cancelJobs(f, p.ToCancel)
	for i := range p.ToStart {
		c.submitJob(f, &p.ToStart[i], now)
	}
}

// usable reports whether a step's customer may still use its model.
func (c *core) usable(s *samples.StepOpened) bool {
	plan, err := c.deps.Catalog.Plan(s.Customer)
	return err == nil && c.deps.Catalog.CheckModelAccess(plan.Name, s.Model) == nil
}

func (c *core) cancelJobs(f *trainerState, keys []samples.JobKey) {
	for _, key := range keys {
		if id, ok := f.jobs[key]; ok {
			c.deps.Submitter.Cancel(id)
		}
	}
}

func (c *core) submitJob(f *trainerState, s *samples.JobStart, now time.Time) {
	if s.TryNumber > 1 {
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
		Deadline: now.Add(c.cfg.JobTimeout), Call: work.Call{Generate: g},
		Sink: &jobSink{post: c.post, trainer: f.trainer, model: s.Step.Model, key: s.JobKey, id: id},
	}
	if err := c.deps.Submitter.Submit(job); err != nil {
		refused.Add(1)
		f.planner.JobFinished(s.JobKey, false, now, c.cfg.Random())
		return
	}
	c.jobs++
	f.jobs[s.JobKey] = id
}

func (c *core) jobID(f *trainerState, k *samples.JobKey) api.RequestID {
	name := fmt.Sprintf("%s/%s/%s/%d/%d/%d", f.trainer, k.Slot.Step, k.Slot.Group, k.Slot.Index, k.Attempt, k.TryNumber)
	return api.RequestID(name + "@" + c.newID())
}

// jobSink posts a job's end to the duty.
type jobSink struct {
	post    func(message) error
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
}

// WriteChunk implements work.Sink; the jobs are not streamed.
func (s *jobSink) WriteChunk(context.Context, work.Chunk) error { return nil }

// Finish implements work.Sink. The duty's ring has room for the end of every job.
func (s *jobSink) Finish(a work.Result) {
	m := finishMessage{trainer: s.trainer, model: s.model, key: s.key, id: s.id, answer: a}
	checkPosted(s.post(m), string(s.id))
}

// finishMessage is the end of a job.
type finishMessage struct {
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
	answer  work.Result
}

func (m finishMessage) apply(c *core) {
	c.jobs--
	f := c.followed[m.trainer]
	if f == nil || f.jobs[m.key] != m.id {
		return
	}
	delete(f.jobs, m.key)
	use, cancel := f.planner.JobFinished(m.key, isComplete(&m.answer), c.deps.Now(), c.cfg.Random())
	c.cancelJobs(f, cancel)
	if use {
		c.queueSample(f, &m)
	}
}

// isComplete tells whether an answer is complete and names all its versions.
func isComplete(a *work.Result) bool {
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

func (c *core) queueSample(f *trainerState, m *finishMessage) {
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
	c.pendingSamples++
	c.appendSample(f, p)
}

func (c *core) appendSample(f *trainerState, p *pendingSample) {
	now := c.deps.Now()
	post := func(err error) {
		checkPosted(c.post(sampleAppended{trainer: f.trainer, id: p.record.ID, err: err}), "sample append")
	}
	err := c.deps.Appender.Append(f.name, p.record, now.Add(c.cfg.AppendTimeout), post)
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

func (c *core) forgetSample(f *trainerState, id api.RecordID) {
	delete(f.pending, id)
	c.pendingSamples--
}

// retryAppends appends samples again whose append failed or may have failed.
// The record keeps its id, so that the fold ignores a repeat.
func (c *core) retryAppends(f *trainerState) {
	now := c.deps.Now()
	for id, p := range f.pending {
		if p.appending || now.Before(p.notBefore) {
			continue
		}
		if !f.stream().IsOpen(p.slot, p.attempt) {
			c.forgetSample(f, id)
			continue
		}
		c.appendSample(f, p)
	}
}
