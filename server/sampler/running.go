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

// plan starts and cancels jobs of all trainers, each within its share of
// MaxOutstanding. Each call begins with another trainer.
func (c *core) plan() {
	if len(c.trainers) == 0 {
		return
	}
	busy := 0
	for _, ts := range c.trainers {
		if ts.stream().OpenSteps() > 0 {
			busy++
		}
	}
	c.planRotation++
	for i := range c.trainers {
		ts := c.trainers[(c.planRotation+i)%len(c.trainers)]
		if !ts.replica.Synced() {
			continue
		}
		share := (c.cfg.Planner.MaxOutstanding + busy) / max(1, busy)
		room := min(c.cfg.Planner.MaxOutstanding-c.jobsInFlight-c.pendingSamples, share-ts.planner.Outstanding())
		c.planTrainer(ts, room)
	}
}

func (c *core) planTrainer(ts *trainerState, room int) {
	now := c.deps.Now()
	view := samples.View{Alive: c.deps.Members.Alive, Usable: c.usable}
	if len(ts.groups.followers) > 1 {
		view.Owns = func(g samples.GroupRef) bool { return ts.groups.isAssigned(g, string(c.cfg.Member)) }
	}
	p := ts.planner.Plan(ts.stream(), view, room, now)
	for _, id := range p.ToTakeOver {
		stepsTakenOver.Add(1)
		c.claimStep(ts, id)
	}
	c.cancelJobs(ts, p.ToCancel)
	for i := range p.ToStart {
		c.submitJob(ts, &p.ToStart[i], now)
	}
}

// usable reports whether a step's customer may still use its model.
func (c *core) usable(s *samples.StepOpened) bool {
	plan, err := c.deps.Catalog.Plan(s.Customer)
	return err == nil && c.deps.Catalog.CheckModelAccess(plan.Name, s.Model) == nil
}

func (c *core) cancelJobs(ts *trainerState, keys []samples.JobKey) {
	for _, key := range keys {
		if id, ok := ts.jobs[key]; ok {
			c.deps.Submitter.Cancel(id)
		}
	}
}

func (c *core) submitJob(ts *trainerState, s *samples.JobStart, now time.Time) {
	if s.TryNumber > 1 {
		jobsRetried.Add(1)
	}
	plan := s.Step.Plan
	if p, err := c.deps.Catalog.Plan(s.Step.Customer); err == nil {
		plan = p.Name
	}
	g := &work.Generate{Messages: s.Spec.Messages, MaxTokens: s.Spec.MaxTokens}
	fp, prefix := fingerprint.Generate(s.Step.Model, g.Messages)
	id := c.jobID(ts, &s.JobKey)
	job := &work.Job{
		ID: id, Customer: s.Step.Customer, Plan: plan, Model: s.Step.Model, Lane: api.LaneRollout,
		Repeatable: true, Owed: true, Fingerprint: fp, Prefix: prefix, CostTokens: s.Spec.MaxTokens,
		Deadline: now.Add(c.cfg.JobTimeout), Call: work.Call{Generate: g},
		Sink: &jobSink{post: c.post, trainer: ts.trainer, model: s.Step.Model, key: s.JobKey, id: id},
	}
	if err := c.deps.Submitter.Submit(job); err != nil {
		jobsRefused.Add(1)
		ts.planner.JobFinished(s.JobKey, false, now, c.cfg.Random())
		return
	}
	c.jobsInFlight++
	ts.jobs[s.JobKey] = id
}

func (c *core) jobID(ts *trainerState, k *samples.JobKey) api.RequestID {
	name := fmt.Sprintf("%s/%s/%s/%d/%d/%d", ts.trainer, k.Slot.Step, k.Slot.Group, k.Slot.Index, k.Attempt, k.TryNumber)
	return api.RequestID(name + "@" + c.newID())
}

// jobSink posts a job's result to the duty.
type jobSink struct {
	post    func(message) error
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
}

// WriteChunk implements work.Sink; it is not called, as the jobs do not stream.
func (s *jobSink) WriteChunk(context.Context, work.Chunk) error { return nil }

// Finish implements work.Sink. The duty's ring has room for every result.
func (s *jobSink) Finish(res work.Result) {
	m := finishMessage{trainer: s.trainer, model: s.model, key: s.key, id: s.id, result: res}
	checkPosted(s.post(m), string(s.id))
}

// finishMessage reports the result of a job.
type finishMessage struct {
	trainer api.TrainerID
	model   api.ModelName
	key     samples.JobKey
	id      api.RequestID
	result  work.Result
}

func (m finishMessage) apply(c *core) {
	c.jobsInFlight--
	ts := c.followed[m.trainer]
	if ts == nil || ts.jobs[m.key] != m.id {
		return
	}
	delete(ts.jobs, m.key)
	use, cancel := ts.planner.JobFinished(m.key, isComplete(&m.result), c.deps.Now(), c.cfg.Random())
	c.cancelJobs(ts, cancel)
	if use {
		c.queueSample(ts, &m)
	}
}

// isComplete reports whether a result is complete and names all its versions.
func isComplete(res *work.Result) bool {
	if res.Outcome != api.OutcomeComplete || len(res.Versions) == 0 {
		return false
	}
	for _, v := range res.Versions {
		if v == 0 {
			return false
		}
	}
	return true
}

// pendingSample is a complete sample not yet known to be in the log. It is kept in
// memory during an outage of the log.
type pendingSample struct {
	slot      samples.SlotRef
	attempt   int
	record    eventlog.Record
	appending bool
	notBefore time.Time // earliest next append
}

func (c *core) queueSample(ts *trainerState, m *finishMessage) {
	res := &m.result
	done := samples.SampleDone{
		Slot: m.key.Slot, Model: m.model, Attempt: m.key.Attempt, Daemon: c.cfg.Daemon,
		Sample: samples.Sample{Text: res.Text, Tokens: res.Tokens, Versions: res.Versions, FinishReason: res.FinishReason},
	}
	id := api.RecordID(c.newID())
	payload, err := samplecodec.Encode(samples.Record{ID: id, Body: done})
	if !invariant.Check(err == nil, "sampler_encodes_samples", "%v", err) {
		return
	}
	p := &pendingSample{slot: m.key.Slot, attempt: m.key.Attempt, record: eventlog.Record{ID: id, Payload: payload}}
	ts.pendingSamples[id] = p
	c.pendingSamples++
	c.appendSample(ts, p)
}

func (c *core) appendSample(ts *trainerState, p *pendingSample) {
	now := c.deps.Now()
	post := func(err error) {
		checkPosted(c.post(sampleAppendedMessage{trainer: ts.trainer, id: p.record.ID, err: err}), "sample append")
	}
	err := c.deps.Appender.Append(ts.streamName, p.record, now.Add(c.cfg.AppendTimeout), post)
	p.appending = err == nil
	p.notBefore = now.Add(c.cfg.ReadBackoff)
}

// sampleAppendedMessage reports the end of a sample's append.
type sampleAppendedMessage struct {
	trainer api.TrainerID
	id      api.RecordID
	err     error
}

func (m sampleAppendedMessage) apply(c *core) {
	ts := c.followed[m.trainer]
	if ts == nil {
		return
	}
	p := ts.pendingSamples[m.id]
	if p == nil {
		return
	}
	p.appending = false
	if m.err == nil {
		c.dropPending(ts, m.id)
		return
	}
	appendFailures.Add(1)
	p.notBefore = c.deps.Now().Add(c.cfg.ReadBackoff)
}

func (c *core) dropPending(ts *trainerState, id api.RecordID) {
	delete(ts.pendingSamples, id)
	c.pendingSamples--
}

// retrySampleAppends repeats appends that failed or may have failed. The record
// keeps its ID, so that a duplicate is ignored when it is applied.
func (c *core) retrySampleAppends(ts *trainerState) {
	now := c.deps.Now()
	for id, p := range ts.pendingSamples {
		if p.appending || now.Before(p.notBefore) {
			continue
		}
		if !ts.stream().IsOpen(p.slot, p.attempt) {
			c.dropPending(ts, id)
			continue
		}
		c.appendSample(ts, p)
	}
}
