// Package worker runs the dispatcher's attempts. Each worker is a duty that makes
// one call to an upstream at a time. Its only decision is when a call has stalled.
package worker

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

// Task is one attempt at a job or, without a job, a probe that requests the
// upstream's status.
type Task struct {
	Worker  int // index of the worker that runs it
	Attempt uint64
	Job     *work.Job
	Cancel  context.CancelFunc // set for a probe only
	Target  upstream.Target
	// ResumeText is the output of earlier attempts, of ResumeTokens tokens.
	ResumeText   string
	ResumeTokens int
	Ctx          context.Context // ends at the job's deadline, on cancellation and when the dispatcher stops
	// ProgressDeadline is the maximum time between chunks of a response. The first
	// chunk may take FirstChunkFactor times as long because the request waits in
	// the engine's queue.
	ProgressDeadline time.Duration
	// StillAdmitted is called right before the call. If it returns false, the task
	// ends unsent.
	StillAdmitted func() bool
	// Tokens is the number of tokens received so far. Other threads read it.
	Tokens atomic.Int64
}

// FirstChunkFactor multiplies the progress deadline of the first chunk.
const FirstChunkFactor = 4

// Result is the result of a task.
type Result struct {
	Task     *Task
	Err      error // nil, or *upstream.CallError
	Text     string
	Tokens   int
	Versions []api.WeightVersion // in order of their first token
	Finish   upstream.Finish
	Plain    upstream.PlainResponse
	Elapsed  time.Duration
	// TimeToFirstChunk is the time from the start of the call to its first chunk.
	TimeToFirstChunk time.Duration
}

// Worker handles the tasks of one duty.
type Worker struct {
	client     upstream.Client
	postResult func(context.Context, Result)
	now        func() time.Time
}

// New returns a worker. postResult passes a result to the dispatcher and waits for
// room.
func New(client upstream.Client, now func() time.Time, postResult func(context.Context, Result)) *Worker {
	return &Worker{client: client, postResult: postResult, now: now}
}

// Start starts n workers that share a client.
func Start(sys *duty.System, n int, client upstream.Client, now func() time.Time, postResult func(context.Context, Result)) []*duty.Duty[*Task] {
	out := make([]*duty.Duty[*Task], n)
	for i := range out {
		out[i] = duty.Start(sys, duty.Config{Name: "carrier", RingSize: 1}, duty.Handler[*Task](New(client, now, postResult)))
	}
	return out
}

// Handle runs one task and reports its result.
func (w *Worker) Handle(ctx context.Context, t *Task) {
	r := Result{Task: t}
	if t.Job == nil {
		_, r.Err = w.client.Status(t.Ctx, t.Target)
		t.Cancel()
		w.postResult(ctx, r)
		return
	}
	if !t.StillAdmitted() {
		r.Err = &upstream.CallError{Upstream: t.Target.ID, Code: api.CodeNoUpstream, Cause: api.Errorf(api.CodeNoUpstream, "the upstream no longer accepts work")}
		w.postResult(ctx, r)
		return
	}
	started := w.now()
	wd := newWatchdog(t.Ctx, t.ProgressDeadline)
	defer wd.stop()
	if t.Job.Call.Generate != nil {
		w.generate(t, wd, &r, started)
	} else {
		r.Plain, r.Err = w.client.CallPlain(wd.ctx, t.Target, t.Job.ID, t.Job.Call.Plain)
	}
	r.Elapsed = w.now().Sub(started)
	r.Err = wd.classify(r.Err)
	w.postResult(ctx, r)
}

func (w *Worker) generate(t *Task, wd *watchdog, r *Result, started time.Time) {
	g := *t.Job.Call.Generate
	g.ResumeText = t.ResumeText
	g.MaxTokens -= t.ResumeTokens
	var text strings.Builder
	r.Finish, r.Err = w.client.Generate(wd.ctx, t.Target, t.Job.ID, t.Job.Model, &g, func(chunk work.Chunk) error {
		wd.pause()
		defer wd.resume()
		if text.Len() == 0 {
			r.TimeToFirstChunk = w.now().Sub(started)
		}
		text.WriteString(chunk.Text)
		r.Tokens += chunk.Tokens
		t.Tokens.Add(int64(chunk.Tokens))
		if chunk.Tokens > 0 && !slices.Contains(r.Versions, chunk.Version) {
			r.Versions = append(r.Versions, chunk.Version)
		}
		if t.Job.Stream && chunk.Text != "" {
			return t.Job.Sink.WriteChunk(t.Ctx, chunk)
		}
		return nil
	})
	r.Text = text.String()
}

// watchdog cancels a call that exceeds its progress deadline.
type watchdog struct {
	ctx              context.Context
	cancel           context.CancelCauseFunc
	progressDeadline time.Duration

	mu    sync.Mutex
	timer *time.Timer
}

// noProgressError is the cancellation cause set by the watchdog.
type noProgressError struct{}

func (noProgressError) Error() string { return "no progress within the progress deadline" }

func newWatchdog(parent context.Context, progressDeadline time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, progressDeadline: progressDeadline}
	w.timer = time.AfterFunc(FirstChunkFactor*progressDeadline, func() { cancel(noProgressError{}) })
	return w
}

// pause stops the timer while the job's sink takes a chunk, as that time is not
// the upstream's.
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

// classify sets the code of a call's error by the reason why its context ended.
func (w *watchdog) classify(err error) error {
	var call *upstream.CallError
	if err == nil || !errors.As(err, &call) || w.ctx.Err() == nil {
		return err
	}
	e := *call
	var noProgress noProgressError
	switch {
	case errors.As(context.Cause(w.ctx), &noProgress):
		e.Code = api.CodeUpstreamSilent
	case errors.Is(w.ctx.Err(), context.DeadlineExceeded):
		e.Code = api.CodeDeadlineExceeded
	default:
		e.Code = api.CodeCancelled
	}
	return &e
}
