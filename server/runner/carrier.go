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

// result is how a run ended.
type result struct {
	events          int // that came
	firstEventAfter time.Duration
	complete        bool
	silent          bool
	cancelled       bool
	err             error
	// offset of the last text stored; the fold must have come so far before the
	// item may be run again.
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
	ofUpstream := r.silent || cause == generation.CauseConnection || cause == generation.CauseWrongUpstream
	return generation.Outcome{Upstream: a.Upstream, Failed: r.err != nil && ofUpstream, Stalled: r.silent}
}

// textBuffer gathers the events of a run that are not stored yet.
type textBuffer struct {
	run      string
	start    int
	from     int
	events   []string
	versions []api.WeightVersion
}

func (t *textBuffer) add(e generation.Event) {
	t.events = append(t.events, e.Data)
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

// takeRecord returns the record that stores what was gathered, and its data, and
// begins anew.
func (t *textBuffer) takeRecord(key batch.ItemKey, done bool) (*batch.TextAdded, string) {
	r := &batch.TextAdded{
		Job: key.Job, Item: key.Item, RunID: t.run, RunStart: t.start, FirstEvent: t.from, EventCount: len(t.events), Versions: t.versions, Done: done,
	}
	data := strings.Join(t.events, "\n")
	t.from += len(t.events)
	t.events, t.versions = nil, nil
	return r, data
}

// worker is the duty that carries one run at a time.
type worker struct {
	cfg     Config
	deps    Deps
	log     *zap.Logger
	postEnd func(context.Context, *run)
}

// Handle runs an item to its end.
func (c *worker) Handle(ctx context.Context, a *run) {
	t := &textBuffer{run: a.id, start: a.EventCount, from: a.EventCount}
	silent := &atomic.Bool{}
	call, cancel := context.WithCancel(a.ctx)
	watch := time.AfterFunc(c.cfg.FirstEventTimeout, func() {
		silent.Store(true)
		cancel()
	})
	a.result.err = c.readEvents(call, a, t, watch)
	a.readingDone.Store(true)
	watch.Stop()
	cancel()
	a.result.silent = silent.Load()
	a.result.cancelled = a.ctx.Err() != nil
	a.result.complete = a.result.err == nil
	c.store(ctx, a, t)
	c.postEnd(ctx, a)
}

// readEvents runs the item and gathers its events. It returns nil once the text is
// whole. Errors: *generation.Error, *PromptError.
func (c *worker) readEvents(ctx context.Context, a *run, t *textBuffer, watch *time.Timer) error {
	prompt, err := c.deps.Prompt(ctx, a.Item.Body)
	if err != nil {
		return &PromptError{Cause: err}
	}
	s, err := c.deps.Engine.Start(ctx, a.upstream, &a.Run, prompt)
	if err != nil {
		return err
	}
	defer s.Close()
	flushed := c.cfg.Now()
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.Version < a.Job.MinVersion || (a.Job.SingleVersion && c.mixesVersions(a, t, e)) {
			return &generation.Error{Upstream: a.Upstream, Cause: generation.CauseWrongUpstream, Err: &VersionError{Version: e.Version, Min: a.Job.MinVersion}}
		}
		watch.Reset(c.cfg.EventTimeout)
		now := c.cfg.Now()
		if a.result.events == 0 {
			a.result.firstEventAfter = now.Sub(a.startedAt)
		}
		t.add(e)
		a.result.events++
		a.events.Add(1)
		if now.Sub(flushed) >= c.cfg.FlushInterval {
			flushed = now
			c.flush(a, t)
		}
	}
}

// PromptError reports an item whose body can't be had now.
type PromptError struct{ Cause error }

// Error implements error.
func (e *PromptError) Error() string { return "no prompt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PromptError) Unwrap() error { return e.Cause }

// mixesVersions reports whether an event's version differs from that of the text before.
func (c *worker) mixesVersions(a *run, t *textBuffer, e generation.Event) bool {
	return slices.ContainsFunc(a.Versions, func(v api.WeightVersion) bool { return v != e.Version }) ||
		slices.ContainsFunc(t.versions, func(v api.WeightVersion) bool { return v != e.Version })
}

// VersionError reports a run on weights that its job does not allow.
type VersionError struct{ Version, Min api.WeightVersion }

// Error implements error.
func (e *VersionError) Error() string {
	return "weight version " + e.Version.String() + " where the job wants " + e.Min.String() + " or one version only"
}

// flush stores what has come of a run in progress.
func (c *worker) flush(a *run, t *textBuffer) {
	if err := c.deps.PostText(t.takeRecord(a.key, false)); err != nil {
		c.log.Warn("text not queued", zap.String("item", string(a.key.Item)), zap.Error(err))
	}
}

// store writes what is left of a run's text and waits for its place.
func (c *worker) store(ctx context.Context, a *run, t *textBuffer) {
	if len(t.events) == 0 && !a.result.complete {
		return
	}
	r, data := t.takeRecord(a.key, a.result.complete)
	var err error
	if a.result.offset, err = c.deps.StoreText(ctx, r, data); err != nil {
		a.result.err, a.result.complete = err, false
	}
}
