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

// fakeLog is one log in memory for all daemons of a test.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]eventlog.Entry
	changed chan struct{}
	down    bool
	repeat  bool // each append takes effect twice
	expired api.Offset
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
	if l.down {
		return 0, &eventlog.UnavailableError{Op: "append"}
	}
	if l.repeat {
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
		batches, found, changed := l.look(positions)
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

func (l *fakeLog) look(positions []eventlog.Position) (batches []eventlog.Batch, found bool, changed chan struct{}) {
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

// fakeAppender appends at once.
type fakeAppender struct{ log *fakeLog }

func (a fakeAppender) Append(stream string, r eventlog.Record, _ time.Time, done func(error)) error {
	_, err := a.log.Append(context.Background(), stream, []eventlog.Record{r})
	done(err)
	return nil
}

type fakeWorld struct {
	mu      sync.Mutex
	version api.WeightVersion // in force
	engine  api.WeightVersion
	dead    map[api.DaemonID]bool
	stall   bool // jobs are taken and do not end by themselves
	held    []*work.Job
	runs    int
	fail    int // the first runs fail
	// cancelled jobs, and models that no upstream serves any more
	cancelled []api.RequestID
	unserved  map[api.ModelName]bool
}

func (w *fakeWorld) Plan(c api.CustomerID) (api.Plan, error) {
	if c != "choir" {
		return api.Plan{}, api.Errorf(api.CodeUnknownCustomer, "customer %q", c)
	}
	return api.Plan{Name: "small", StalenessBound: 1}, nil
}

func (w *fakeWorld) WeightInForce(api.ModelName) api.WeightVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *fakeWorld) CheckModelAccess(_ api.PlanName, m api.ModelName) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unserved[m] {
		return api.Errorf(api.CodeUnknownModel, "model %q", m)
	}
	return nil
}

func (w *fakeWorld) Alive(id api.DaemonID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead[id]
}

func (w *fakeWorld) Live() []api.DaemonID { return nil }

func (w *fakeWorld) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *fakeWorld) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

func (w *fakeWorld) finishHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.held {
		finish(j, w.engine)
	}
}

func finish(j *work.Job, v api.WeightVersion) {
	versions := []api.WeightVersion{v}
	j.Sink.Finish(work.Result{Outcome: api.OutcomeComplete, Text: string(j.ID), Tokens: 1, Versions: versions})
}

// submitter is the world as one daemon sees it.
type submitter struct{ world *fakeWorld }

func (s submitter) Submit(j *work.Job) error {
	w := s.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	switch {
	case w.stall:
		w.held = append(w.held, j)
	case w.runs <= w.fail:
		j.Sink.Finish(work.Result{Outcome: api.OutcomeFailed, Err: api.Errorf(api.CodeUpstreamFailed, "crash")})
	default:
		finish(j, w.engine)
	}
	return nil
}

func (s submitter) Cancel(id api.RequestID) {
	s.world.set(func() { s.world.cancelled = append(s.world.cancelled, id) })
}

func startDaemon(t *testing.T, id api.DaemonID, l *fakeLog, w *fakeWorld) *sampler.Sampler {
	return startForgetful(t, id, l, w, time.Hour)
}

// startForgetful starts a daemon that forgets streams after a time.
func startForgetful(t *testing.T, id api.DaemonID, l *fakeLog, w *fakeWorld, after time.Duration) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.FollowIdleTimeout = after
	cfg.Tick = time.Millisecond
	cfg.Planner.BackoffMin = time.Millisecond
	cfg.ReadBackoff = time.Millisecond
	cfg.Planner.TakeOverAfter = time.Second
	deps := sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: w, Members: w, Submitter: submitter{w}, Now: time.Now,
	}
	s := sampler.Start(duty.NewSystem(nil), cfg, deps)
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

func newWorld() *fakeWorld {
	return &fakeWorld{version: 1, engine: 1, dead: map[api.DaemonID]bool{}, unserved: map[api.ModelName]bool{}}
}

func step(id samples.StepID, groups, n int) samples.StepOpened {
	s := samples.StepOpened{Step: id, Model: "m", Customer: "choir"}
	for i := range groups {
		prompt := []work.Message{{Role: "user", Content: fmt.Sprint("voicing ", i)}}
		s.Groups = append(s.Groups, samples.GroupSpec{ID: samples.GroupID(fmt.Sprint("g", i)), Messages: prompt, N: n, MaxTokens: 4})
	}
	return s
}

// trainer pulls from one daemon after the other.
type trainer struct {
	pull   uint64
	cursor api.Offset
	used   map[samples.SlotRef]samples.Sample
	whole  []samples.StepID
}

func (tr *trainer) ask(t *testing.T, s *sampler.Sampler) (sampler.PullResult, error) {
	tr.pull++
	return s.Pull(t.Context(), sampler.PullRequest{
		Trainer: "t1", PullNumber: tr.pull, Cursor: tr.cursor, MaxGroups: 2, Wait: 100 * time.Millisecond,
	})
}

func (tr *trainer) take(t *testing.T, a sampler.PullResult) {
	for _, g := range a.Groups {
		for i, sample := range g.Samples {
			ref := samples.SlotRef{Step: g.Step, Group: g.Group, Index: i}
			_, again := tr.used[ref]
			assert.Assert(t, !again, "slot %v used again", ref)
			tr.used[ref] = sample
		}
	}
	tr.cursor = a.NextOffset
	tr.whole = append(tr.whole, a.CompletedSteps...)
}

// drive pulls until a step is whole.
func (tr *trainer) drive(t *testing.T, daemons ...*sampler.Sampler) {
	for i := 0; len(tr.whole) == 0; i++ {
		if a, err := tr.ask(t, daemons[i%len(daemons)]); err == nil {
			tr.take(t, a)
		}
		assert.NilError(t, t.Context().Err())
	}
}

func newTrainer() *trainer { return &trainer{used: map[samples.SlotRef]samples.Sample{}} }

func TestStepIsWholeThroughAnyDaemon(t *testing.T) {
	l, w := newLog(), newWorld()
	l.repeat, w.fail = true, 5
	a, b := startDaemon(t, "a", l, w), startDaemon(t, "b", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 5, 3)))
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s", 5, 3)))
	err := b.OpenStep(t.Context(), "t1", step("s", 5, 2))
	assert.Equal(t, api.CodeOf(err), api.CodeConflict)
	tr := newTrainer()
	tr.drive(t, a, b)
	assert.Equal(t, len(tr.used), 15)
	for ref, s := range tr.used {
		prefix := fmt.Sprintf("t1/%s/%s/%d/", ref.Step, ref.Group, ref.Index)
		assert.Assert(t, strings.HasPrefix(s.Text, prefix), s.Text)
	}
	whole, err := a.TrainerState(t.Context(), "t1")
	assert.NilError(t, err)
	if whole.Counts.Final != 15 { // the last answer came through b
		whole, err = b.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
	assert.Equal(t, whole.Counts.Final, 15, "the daemon that told the step whole")
	for _, d := range []*sampler.Sampler{a, b} {
		report := readTo(t, d, whole.AppliedOffset)
		assert.Equal(t, report.AppliedOffset, whole.AppliedOffset)
		assert.Equal(t, report.Counts.Final, 15)
	}
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s", 5, 3)), "a repeat of a whole step does not open it again")
	_, err = b.TrainerState(t.Context(), "nobody")
	assert.Equal(t, api.CodeOf(err), api.CodeUnknownTrainer)
}

// readTo returns what a daemon reports once it has read a stream to an offset: a
// report is of what its daemon has read, which may be less than another has.
func readTo(t *testing.T, d *sampler.Sampler, through api.Offset) samples.Report {
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

func TestLostAnswerIsHandedAgainElsewhere(t *testing.T) {
	l, w := newLog(), newWorld()
	a, b := startDaemon(t, "a", l, w), startDaemon(t, "b", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	tr := newTrainer()
	for {
		lost, err := tr.ask(t, a)
		assert.NilError(t, err)
		if len(lost.Groups) > 0 {
			break // the trainer never takes this answer
		}
	}
	_, err := b.Pull(t.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: 1})
	assert.Equal(t, api.CodeOf(err), api.CodeSuperseded)
	tr.drive(t, b)
	assert.Equal(t, len(tr.used), 4)
}

func TestStaleSamplesAreDroppedAndMadeAgain(t *testing.T) {
	l, w := newLog(), newWorld()
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 2)))
	tr := newTrainer()
	for {
		lost, err := tr.ask(t, a)
		assert.NilError(t, err)
		if len(lost.Groups) > 0 {
			break
		}
	}
	w.set(func() { w.version, w.engine = 3, 3 })
	again, err := tr.ask(t, a)
	assert.NilError(t, err)
	assert.Equal(t, len(again.Groups), 0)
	assert.Equal(t, len(again.DroppedSamples), 2)
	tr.take(t, again)
	tr.drive(t, a)
	for _, s := range tr.used {
		assert.DeepEqual(t, s.Versions, []api.WeightVersion{3})
	}
}

// awaitRuns waits until a number of jobs were submitted.
func awaitRuns(t *testing.T, s *sampler.Sampler, w *fakeWorld, runs int) {
	for w.started() < runs {
		_, err := s.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
	}
}

func TestStepOfDeadDaemonIsTakenOver(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitRuns(t, a, w, 4)
	w.set(func() { w.stall, w.dead["a"] = false, true })
	b := startDaemon(t, "b", l, w)
	tr := newTrainer()
	tr.drive(t, b)
	assert.Equal(t, len(tr.used), 4)
	assert.Equal(t, w.started(), 8)
}

func TestSamplesOutliveOutageOfLog(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	awaitRuns(t, a, w, 4)
	l.set(func() { l.down = true })
	w.finishHeld()
	err := a.OpenStep(t.Context(), "t1", step("s2", 1, 1))
	assert.Equal(t, api.CodeOf(err), api.CodeLogUnavailable)
	l.set(func() { l.down = false })
	tr := newTrainer()
	tr.drive(t, a)
	assert.Equal(t, len(tr.used), 4)
	assert.Equal(t, w.started(), 4, "no sample is made again")
}

func TestTrainerGoesOnAfterFrontOfStreamExpired(t *testing.T) {
	l, w := newLog(), newWorld()
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 2, 2)))
	tr := newTrainer()
	tr.drive(t, a)
	l.set(func() { l.expired = api.Offset(len(l.streams["trainer.t1"])) })
	b := startDaemon(t, "b", l, w)
	assert.NilError(t, b.OpenStep(t.Context(), "t1", step("s2", 2, 2)))
	tr.whole = nil
	tr.drive(t, b, a)
	assert.Equal(t, len(tr.used), 8)
}

func TestStopAnswersWaitingCalls(t *testing.T) {
	l, w := newLog(), newWorld()
	w.stall = true
	a := startDaemon(t, "a", l, w)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 1, 1)))
	errs := make(chan error, 1)
	go func() {
		_, err := a.Pull(t.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: 1, Wait: time.Hour})
		errs <- err
	}()
	awaitRuns(t, a, w, 1)
	assert.NilError(t, a.Stop(t.Context()))
	assert.Equal(t, api.CodeOf(<-errs), api.CodeNotReady)
}

func TestForgottenStreamIsReadAgain(t *testing.T) {
	l, w := newLog(), newWorld()
	a, b := startForgetful(t, "a", l, w, time.Nanosecond), startForgetful(t, "b", l, w, time.Nanosecond)
	assert.NilError(t, a.OpenStep(t.Context(), "t1", step("s", 20, 2)))
	tr := newTrainer()
	tr.drive(t, b, a)
	assert.Equal(t, len(tr.used), 40)
	for range 20 {
		_, err := a.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
		report, err := b.TrainerState(t.Context(), "t1")
		assert.NilError(t, err)
		assert.Equal(t, report.Counts.Final, 40)
	}
}
