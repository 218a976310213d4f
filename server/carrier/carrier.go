// Package carrier runs attempts: each carrier is one duty that carries one
// call at a time between the dispatcher and an upstream. It decides nothing
// beyond when a call has gone silent.
package carrier

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
)

// Task is one attempt at a job or, without a job, a probe that asks the
// upstream for its status.
type Task struct {
	Worker  int // index of the carrier that runs it
	Attempt uint64
	Job     *work.Job
	Cancel  context.CancelFunc // of a probe
	Target  upstream.Target
	// Resume is the answer's text from earlier attempts, of ResumeTokens tokens.
	Resume       string
	ResumeTokens int
	Ctx          context.Context // ends at the job's deadline, on cancel and at the stop
	// ProgressDeadline is the longest time without progress; the first piece of an
	// answer may take FirstByteFactor times as long, as it waits in the
	// engine's own queue.
	ProgressDeadline time.Duration
	// StillAdmitted is asked right before the call; false sends the task back unsent.
	StillAdmitted func() bool
	// Tokens counts those that have come so far, for readers on other threads.
	Tokens atomic.Int64
}

// FirstByteFactor stretches the silence allowed before the first piece.
const FirstByteFactor = 4

// Result ends a task.
type Result struct {
	Task     *Task
	Err      error // nil, or *upstream.CallError
	Text     string
	Tokens   int
	Versions []api.WeightVersion // in the order in which they made tokens
	Finish   upstream.Finish
	Plain    upstream.PlainResponse
	Elapsed  time.Duration
	// TimeToFirstChunk is the time until the first piece of the answer.
	TimeToFirstChunk time.Duration
}

// Worker is the handler of one carrier duty.
type Worker struct {
	client     upstream.Client
	postResult func(context.Context, Result)
	now        func() time.Time
}

// New returns a carrier's handler. report hands a result to the dispatcher,
// waiting for room.
func New(client upstream.Client, now func() time.Time, report func(context.Context, Result)) *Worker {
	return &Worker{client: client, postResult: report, now: now}
}

// Start spawns n carriers that share a client.
func Start(sys *duty.System, n int, client upstream.Client, now func() time.Time, report func(context.Context, Result)) []*duty.Duty[*Task] {
	out := make([]*duty.Duty[*Task], n)
	for i := range out {
		out[i] = duty.Start(sys, duty.Config{Name: "carrier", RingSize: 1}, duty.Handler[*Task](New(client, now, report)))
	}
	return out
}

// Handle runs one task and reports its result.
func (c *Worker) Handle(ctx context.Context, t *Task) {
	r := Result{Task: t}
	if t.Job == nil {
		_, r.Err = c.client.Status(t.Ctx, t.Target)
		t.Cancel()
		c.postResult(ctx, r)
		return
	}
	if !t.StillAdmitted() {
		r.Err = &upstream.CallError{Upstream: t.Target.ID, Code: api.CodeNoUpstream, Cause: api.Errorf(api.CodeNoUpstream, "no longer admitted")}
		c.postResult(ctx, r)
		return
	}
	started := c.now()
	w := newWatchdog(t.Ctx, t.ProgressDeadline)
	defer w.stop()
	if t.Job.Call.Generate != nil {
		c.generate(t, w, &r, started)
	} else {
		r.Plain, r.Err = c.client.CallPlain(w.ctx, t.Target, t.Job.ID, t.Job.Call.Plain)
	}
	r.Elapsed = c.now().Sub(started)
	r.Err = w.classify(r.Err)
	c.postResult(ctx, r)
}

func (c *Worker) generate(t *Task, w *watchdog, r *Result, started time.Time) {
	g := *t.Job.Call.Generate
	g.ResumeText = t.Resume
	g.MaxTokens -= t.ResumeTokens
	var text strings.Builder
	r.Finish, r.Err = c.client.Generate(w.ctx, t.Target, t.Job.ID, t.Job.Model, &g, func(d work.Chunk) error {
		w.pause()
		defer w.resume()
		if text.Len() == 0 {
			r.TimeToFirstChunk = c.now().Sub(started)
		}
		text.WriteString(d.Text)
		r.Tokens += d.Tokens
		t.Tokens.Add(int64(d.Tokens))
		if d.Tokens > 0 && !slices.Contains(r.Versions, d.Version) {
			r.Versions = append(r.Versions, d.Version)
		}
		if t.Job.Stream && d.Text != "" {
			return t.Job.Sink.WriteChunk(t.Ctx, d)
		}
		return nil
	})
	r.Text = text.String()
}

// watchdog cancels a call that makes no progress.
type watchdog struct {
	ctx              context.Context
	cancel           context.CancelCauseFunc
	progressDeadline time.Duration

	mu    sync.Mutex
	timer *time.Timer
}

// noProgressError is the cause of a cancel by the watchdog.
type noProgressError struct{}

func (noProgressError) Error() string { return "no progress within the progress deadline" }

func newWatchdog(parent context.Context, silence time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, progressDeadline: silence}
	w.timer = time.AfterFunc(FirstByteFactor*silence, func() { cancel(noProgressError{}) })
	return w
}

// pause suspends the deadline while the caller, not the upstream, is waited for.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.progressDeadline)
}

func (w *watchdog) stop() {
	w.pause()
	w.cancel(nil)
}

// classify replaces a call's error by the reason for which it was ended.
func (w *watchdog) classify(err error) error {
	var call *upstream.CallError
	if err == nil || !errors.As(err, &call) || w.ctx.Err() == nil {
		return err
	}
	e := *call
	var silent noProgressError
	switch {
	case errors.As(context.Cause(w.ctx), &silent):
		e.Code = api.CodeUpstreamSilent
	case errors.Is(w.ctx.Err(), context.DeadlineExceeded):
		e.Code = api.CodeDeadlineExceeded
	default:
		e.Code = api.CodeCancelled
	}
	return &e
}
