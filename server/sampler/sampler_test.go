package sampler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/sampler"
	"gotest.tools/v3/assert"
)

// fakeLog is an in-memory log shared by the daemons of a test.
type fakeLog struct {
	mu               sync.Mutex
	streams          map[string][]eventlog.Entry
	changed          chan struct{}
	unavailable      bool
	duplicateAppends bool // each record is appended twice
	expired          api.Offset
}

func newLog() *fakeLog {
	return &fakeLog{streams: map[string][]eventlog.Entry{}, changed: make(chan struct{})}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, stream string, records []eventlog.Record) (api.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, &eventlog.UnavailableError{Op: "append"}
	}
	if l.duplicateAppends {
		records = append(records, records...)
	}
	first := api.Offset(len(l.streams[stream]) + 1)
	for i, r := range records {
		l.streams[stream] = append(l.streams[stream], eventlog.Entry{Offset: first + api.Offset(i), Record: r})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, positions []eventlog.Position, _ int, wait time.Duration) ([]eventlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		batches, found, changed := l.snapshot(positions)
		if found || !first || ctx.Err() != nil {
			return batches, nil
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, &eventlog.UnavailableError{Op: "read", Cause: ctx.Err()}
		}
	}
}

func (l *fakeLog) snapshot(positions []eventlog.Position) (batches []eventlog.Batch, found bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range positions {
		all := l.streams[p.Stream]
		b := eventlog.Batch{Stream: p.Stream, Oldest: l.expired + 1, Next: api.Offset(len(all) + 1)}
		if from := max(p.Offset, b.Oldest); int(from) <= len(all) {
			b.Entries = append(b.Entries, all[from-1:]...)
			found = true
		}
		batches = append(batches, b)
	}
	return batches, found, l.changed
}

// fakeAppender appends synchronously.
type fakeAppender struct{ log *fakeLog }

func (a fakeAppender) Append(stream string, r eventlog.Record, _ time.Time, done func(error)) error {
	_, err := a.log.Append(context.Background(), stream, []eventlog.Record{r})
	done(err)
	return nil
}

type fakeDeployment struct {
	mu            sync.Mutex
	version       api.WeightVersion // newest announced
	engineVersion api.WeightVersion
	dead          map[api.DaemonID]bool
	holdJobs      bool // jobs do not finish until finishHeld
	heldJobs      []*work.Job
	submitted     int
	failFirst     int // number of first jobs that fail
	// cancelled lists cancelled jobs; unserved are models that no engine serves.
	cancelled []api.RequestID
	unserved  map[api.ModelName]bool
}

func (d *fakeDeployment) Plan(c api.CustomerID) (api.Plan, error) {
	if c != "choir" {
		return api.Plan{}, api.Errorf(api.CodeUnknownCustomer, "customer %q", c)
	}
	return api.Plan{Name: "small", StalenessBound: 1}, nil
}

func (d *fakeDeployment) WeightInForce(api.ModelName) api.WeightVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

func (d *fakeDeployment) CheckModelAccess(_ api.PlanName, m api.ModelName) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unserved[m] {
		return api.Errorf(api.CodeUnknownModel, "model %q", m)
	}
	return nil
}

func (d *fakeDeployment) Alive(id api.DaemonID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dead[id]
}

func (d *fakeDeployment) Live() []api.DaemonID { return nil }

func (d *fakeDeployment) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *fakeDeployment) submittedJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.submitted
}

func (d *fakeDeployment) finishHeld() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.heldJobs {
		finish(j, d.engineVersion)
	}
}

func finish(j *work.Job, v api.WeightVersion) {
	versions := []api.WeightVersion{v}
	j.Sink.Finish(work.Result{Outcome: api.OutcomeComplete, Text: string(j.ID), Tokens: 1, Versions: versions})
}

// submitter is the dispatcher of one daemon.
type submitter struct{ deployment *fakeDeployment }

func (s submitter) Submit(j *work.Job) error {
	dep := s.deployment
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.submitted++
	switch {
	case dep.holdJobs:
		dep.heldJobs = append(dep.heldJobs, j)
	case dep.submitted <= dep.failFirst:
		j.Sink.Finish(work.Result{Outcome: api.OutcomeFailed, Err: api.Errorf(api.CodeUpstreamFailed, "crash")})
	default:
		finish(j, dep.engineVersion)
	}
	return nil
}

func (s submitter) Cancel(id api.RequestID) {
	s.deployment.set(func() { s.deployment.cancelled = append(s.deployment.cancelled, id) })
}

func startDaemon(t *testing.T, id api.DaemonID, l *fakeLog, d *fakeDeployment) *sampler.Sampler {
	return startWithIdleTimeout(t, id, l, d, time.Hour)
}

// startWithIdleTimeout starts a daemon with this FollowIdleTimeout.
func startWithIdleTimeout(t *testing.T, id api.DaemonID, l *fakeLog, d *fakeDeployment, after time.Duration) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.FollowIdleTimeout = after
	cfg.Tick = time.Millisecond
	cfg.Planner.BackoffMin = time.Millisecond
	cfg.ReadBackoff = time.Millisecond
	cfg.Planner.TakeOverAfter = time.Second
	deps := sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: d, Members: d, Submitter: submitter{d}, Now: time.Now,
	}
	s := sampler.Start(duty.NewSystem(nil), cfg, deps)
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

func newDeployment() *fakeDeployment {
	return &fakeDeployment{version: 1, engineVersion: 1, dead: map[api.DaemonID]bool{}, unserved: map[api.ModelName]bool{}}
}

func step(id samples.StepID, groups, n int) samples.StepOpened {
	s := samples.StepOpened{Step: id, Model: "m", Customer: "choir"}
	for i := range groups {
		prompt := []work.Message{{Role: "user", Content: fmt.Sprint("voicing ", i)}}
		s.Groups = append(s.Groups, samples.GroupSpec{ID: samples.GroupID(fmt.Sprint("g", i)), Messages: prompt, N: n, MaxTokens: 4})
	}
	return s
}

// trainer pulls from one daemon after another and keeps what it receives.
type trainer struct {
	pull      uint64
	cursor    api.Offset
	received  map[samples.SlotRef]samples.Sample
	completed []samples.StepID
}

func (tr *trainer) nextPull(t *testing.T, s *sampler.Sampler) (sampler.PullResult, error) {
	tr.pull++
	return s.Pull(t.Context(), sampler.PullRequest{
		Trainer: "t1", PullNumber: tr.pull, Cursor: tr.cursor, MaxGroups: 2, Wait: 100 * time.Millisecond,
	})
}

func (tr *trainer) accept(t *testing.T, res sampler.PullResult) {
	for _, g := range res.Groups {
		for i, sample := range g.Samples {
			ref := samples.SlotRef{Step: g.Step, Group: g.Group, Index: i}
			_, again := tr.received[ref]
			assert.Assert(t, !again, "slot %v received again", ref)
			tr.received[ref] = sample
		}
	}
	tr.cursor = res.NextOffset
	tr.completed = append(tr.completed, res.CompletedSteps...)
}

// pullUntilComplete pulls until a step is complete.
func (tr *trainer) pullUntilComplete(t *testing.T, daemons ...*sampler.Sampler) {
	for i := 0; len(tr.completed) == 0; i++ {
		if res, err := tr.nextPull(t, daemons[i%len(daemons)]); err == nil {
			tr.accept(t, res)
		}
		assert.NilError(t, t.Context().Err())
	}
}

func newTrainer() *trainer { return &trainer{received: map[samples.SlotRef]samples.Sample{}} }

func TestStepCompletesThroughAnyDaemon(t *testing.T) {
	l, dep := newLog(), newDeployment()
	l.duplicateAppends, dep.failFirst = true, 5
	a, b := startDaemon(t, "a", l, dep), startDaemon(t, "b", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 5, 3)))
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s", 5, 3)))
	err := b.OpenStep(t.Context(), "t1", step("s", 5, 2))
	assert.Equal(t, api.CodeOf(err), api.CodeConflict)
	tr := newTrainer()
	tr.pullUntilComplete(t, a, b)
	assert.Equal(t, len(tr.received), 15)
	for ref, s := range tr.received {
		prefix := fmt.Sprintf("t1/%s/%s/%d/", ref.Step, ref.Group, ref.Index)
		assert.Assert(t, strings.HasPrefix(s.Text, prefix), s.Text)
	}
	last, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	if last.Counts.Final != 15 { // the last pull went to b
		last, err = b.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
	assert.Equal(t, last.Counts.Final, 15, "the daemon that completed the step")
	for _, d := range []*sampler.Sampler{a, b} {
		report := awaitOffset(t, d, last.AppliedOffset)
		assert.Equal(t, report.AppliedOffset, last.AppliedOffset)
		assert.Equal(t, report.Counts.Final, 15)
	}
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s", 5, 3)), "repeat of a completed step")
	_, err = b.TrainerState(t.Context(), "nobody")
	assert.Equal(t, api.CodeOf(err), api.CodeUnknownTrainer)
}

// awaitOffset returns a daemon's report once it has read the stream to an offset;
// daemons may have read different parts.
func awaitOffset(t *testing.T, d *sampler.Sampler, through api.Offset) samples.Report {
	t.Helper()
	for {
		r, err := d.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
		if r.AppliedOffset >= through {
			return r
		}
		assert.NilError(t, t.Context().Err())
	}
}

func TestGroupsOfLostPullAreHandedOverAgain(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a, b := startDaemon(t, "a", l, dep), startDaemon(t, "b", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	tr := newTrainer()
	for {
		lost, err := tr.nextPull(t, a)
		assert.NilError(t, err)
		if len(lost.Groups) > 0 {
			break // the trainer never accepts this result
		}
	}
	_, err := b.Pull(t.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: 1})
	assert.Equal(t, api.CodeOf(err), api.CodeSuperseded)
	tr.pullUntilComplete(t, b)
	assert.Equal(t, len(tr.received), 4)
}

func TestStaleSamplesAreDroppedAndGeneratedAgain(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 2)))
	tr := newTrainer()
	for {
		lost, err := tr.nextPull(t, a)
		assert.NilError(t, err)
		if len(lost.Groups) > 0 {
			break
		}
	}
	dep.set(func() { dep.version, dep.engineVersion = 3, 3 })
	next, err := tr.nextPull(t, a)
	assert.NilError(t, err)
	assert.Equal(t, len(next.Groups), 0)
	assert.Equal(t, len(next.DroppedSamples), 2)
	tr.accept(t, next)
	tr.pullUntilComplete(t, a)
	for _, s := range tr.received {
		assert.DeepEqual(t, s.Versions, []api.WeightVersion{3})
	}
}

// awaitSubmitted waits until the given number of jobs has been submitted.
func awaitSubmitted(t *testing.T, s *sampler.Sampler, d *fakeDeployment, jobs int) {
	for d.submittedJobs() < jobs {
		_, err := s.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
}

func TestStepOfDeadDaemonIsTakenOver(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitSubmitted(t, a, dep, 4)
	dep.set(func() { dep.holdJobs, dep.dead["a"] = false, true })
	b := startDaemon(t, "b", l, dep)
	tr := newTrainer()
	tr.pullUntilComplete(t, b)
	assert.Equal(t, len(tr.received), 4)
	assert.Equal(t, dep.submittedJobs(), 8)
}

func TestSamplesSurviveLogOutage(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitSubmitted(t, a, dep, 4)
	l.set(func() { l.unavailable = true })
	dep.finishHeld()
	err := a.OpenStep(t.Context(), "t1", step("s2", 1, 1))
	assert.Equal(t, api.CodeOf(err), api.CodeLogUnavailable)
	l.set(func() { l.unavailable = false })
	tr := newTrainer()
	tr.pullUntilComplete(t, a)
	assert.Equal(t, len(tr.received), 4)
	assert.Equal(t, dep.submittedJobs(), 4, "no sample is generated again")
}

func TestTrainerContinuesAfterRecordsExpired(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	tr := newTrainer()
	tr.pullUntilComplete(t, a)
	l.set(func() { l.expired = api.Offset(len(l.streams["trainer.t1"])) })
	b := startDaemon(t, "b", l, dep)
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s2", 2, 2)))
	tr.completed = nil
	tr.pullUntilComplete(t, b, a)
	assert.Equal(t, len(tr.received), 8)
}

func TestStopFailsPendingCalls(t *testing.T) {
	l, dep := newLog(), newDeployment()
	dep.holdJobs = true
	a := startDaemon(t, "a", l, dep)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)))
	errs := make(chan error, 1)
	go func() {
		_, err := a.Pull(t.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: 1, Wait: time.Hour})
		errs <- err
	}()
	awaitSubmitted(t, a, dep, 1)
	assert.NilError(t, a.Stop(t.Context()))
	assert.Equal(t, api.CodeOf(<-errs), api.CodeNotReady)
}

func TestUnfollowedStreamIsReadAgain(t *testing.T) {
	l, dep := newLog(), newDeployment()
	a, b := startWithIdleTimeout(t, "a", l, dep, time.Nanosecond), startWithIdleTimeout(t, "b", l, dep, time.Nanosecond)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 20, 2)))
	tr := newTrainer()
	tr.pullUntilComplete(t, b, a)
	assert.Equal(t, len(tr.received), 40)
	for range 20 {
		last, err := a.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
		report := awaitOffset(t, b, last.AppliedOffset)
		assert.Equal(t, report.Counts.Final, 40)
	}
}
