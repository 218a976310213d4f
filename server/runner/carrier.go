package runner

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/generation"
	"go.uber.org/zap"
)

// result is the result of a run.
type result struct {
	events          int // number received
	firstEventAfter time.Duration
	complete        bool
	stalled         bool
	cancelled       bool
	err             error
	// offset is that of the last stored text. The item may be run again only once
	// this offset is applied.
	offset batch.Offset
}

func (r *result) cause() generation.Cause {
	var e *generation.Error
	if errors.As(r.err, &e) {
		return e.Cause
	}
	return generation.CauseConnection
}

func (r *result) status() int {
	var e *generation.Error
	if errors.As(r.err, &e) {
		return e.Status
	}
	return 0
}

func (r *result) outcome(a *run) generation.Outcome {
	cause := r.cause()
	ofUpstream := r.stalled || cause == generation.CauseConnection || cause == generation.CauseWrongUpstream
	return generation.Outcome{Upstream: a.Upstream, Failed: r.err != nil && ofUpstream, Stalled: r.stalled}
}

// textBuffer holds the events of a run that are not stored yet.
type textBuffer struct {
	runID      string
	runStart   int
	firstEvent int
	events     []string
	versions   []api.WeightVersion
}

func (t *textBuffer) add(e generation.Event) {
	t.events = append(t.events, e.Data)
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

// takeRecord returns the record and the data of the buffered events and empties
// the buffer.
func (t *textBuffer) takeRecord(key batch.ItemKey, done bool) (*batch.TextAdded, string) {
	r := &batch.TextAdded{
		Job: key.Job, Item: key.Item, RunID: t.runID, RunStart: t.runStart, FirstEvent: t.firstEvent, EventCount: len(t.events), Versions: t.versions, Done: done,
	}
	data := strings.Join(t.events, "\n")
	t.firstEvent += len(t.events)
	t.events, t.versions = nil, nil
	return r, data
}

// worker handles one run at a time.
type worker struct {
	cfg     Config
	deps    Deps
	log     *zap.Logger
	postEnd func(context.Context, *run)
}

// Handle runs an item, stores its text and reports the result.
func (w *worker) Handle(ctx context.Context, a *run) {
	t := &textBuffer{runID: a.id, runStart: a.EventCount, firstEvent: a.EventCount}
	stalled := &atomic.Bool{}
	runCtx, cancel := context.WithCancel(a.ctx)
	watchdog := time.AfterFunc(w.cfg.FirstEventTimeout, func() {
		stalled.Store(true)
		cancel()
	})
	a.result.err = w.readEvents(runCtx, a, t, watchdog)
	a.readingDone.Store(true)
	watchdog.Stop()
	cancel()
	a.result.stalled = stalled.Load()
	a.result.cancelled = a.ctx.Err() != nil
	a.result.complete = a.result.err == nil
	w.store(ctx, a, t)
	w.postEnd(ctx, a)
}

// readEvents runs the item and buffers its events, which it stores at
// FlushInterval. It returns nil once the text is complete.
// Errors: *generation.Error, *PromptError.
func (w *worker) readEvents(ctx context.Context, a *run, t *textBuffer, watchdog *time.Timer) error {
	prompt, err := w.deps.Prompt(ctx, a.Item.Body)
	if err != nil {
		return &PromptError{Cause: err}
	}
	s, err := w.deps.Engine.Start(ctx, a.upstream, &a.Run, prompt)
	if err != nil {
		return err
	}
	defer s.Close()
	flushed := w.cfg.Now()
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.Version < a.Job.MinVersion || (a.Job.SingleVersion && w.mixesVersions(a, t, e)) {
			return &generation.Error{Upstream: a.Upstream, Cause: generation.CauseWrongUpstream, Err: &VersionError{Version: e.Version, Min: a.Job.MinVersion}}
		}
		watchdog.Reset(w.cfg.EventTimeout)
		now := w.cfg.Now()
		if a.result.events == 0 {
			a.result.firstEventAfter = now.Sub(a.startedAt)
		}
		t.add(e)
		a.result.events++
		a.receivedEvents.Add(1)
		if now.Sub(flushed) >= w.cfg.FlushInterval {
			flushed = now
			w.flush(a, t)
		}
	}
}

// PromptError reports that an item's body could not be read.
type PromptError struct{ Cause error }

// Error implements error.
func (e *PromptError) Error() string { return "read prompt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PromptError) Unwrap() error { return e.Cause }

// mixesVersions reports whether an event's weight version differs from that of the
// preceding text.
func (w *worker) mixesVersions(a *run, t *textBuffer, e generation.Event) bool {
	return slices.ContainsFunc(a.Versions, func(v api.WeightVersion) bool { return v != e.Version }) ||
		slices.ContainsFunc(t.versions, func(v api.WeightVersion) bool { return v != e.Version })
}

// VersionError reports a run on a weight version that its job does not allow.
type VersionError struct{ Version, Min api.WeightVersion }

// Error implements error.
func (e *VersionError) Error() string {
	return "weight version " + e.Version.String() + " is below the job's minimum " + e.Min.String() + " or differs from the preceding text's"
}

// flush posts the buffered text of a run in progress.
func (w *worker) flush(a *run, t *textBuffer) {
	if err := w.deps.PostText(t.takeRecord(a.key, false)); err != nil {
		w.log.Warn("text dropped", zap.String("item", string(a.key.Item)), zap.Error(err))
	}
}

// store stores the rest of a run's text and waits for the record's offset.
func (w *worker) store(ctx context.Context, a *run, t *textBuffer) {
	if len(t.events) == 0 && !a.result.complete {
		return
	}
	r, data := t.takeRecord(a.key, a.result.complete)
	var err error
	if a.result.offset, err = w.deps.StoreText(ctx, r, data); err != nil {
		a.result.err, a.result.complete = err, false
	}
}
