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
	events    int // that came
	first     time.Duration
	whole     bool
	silent    bool
	cancelled bool
	err       error
	// offset of the last text stored; the fold must have come so far before the
	// item may be run again.
	offset batch.Offset
}

func (r *result) cause() generation.Cause {
	var e *generation.Error
	if errors.As(r.err, &e) {
		return e.Cause
	}
	return generation.CauseBroken
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
	ofUpstream := r.silent || cause == generation.CauseBroken || cause == generation.CauseMisdirected
	return generation.Outcome{Upstream: a.Upstream, Failed: r.err != nil && ofUpstream, Silent: r.silent}
}

// text gathers the events of a run that are not stored yet.
type text struct {
	run      string
	start    int
	from     int
	events   []string
	versions []api.WeightVersion
}

func (t *text) add(e generation.Event) {
	t.events = append(t.events, e.Data)
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

// take returns the record that stores what was gathered, and its data, and
// begins anew.
func (t *text) take(key batch.Key, done bool) (*batch.TextAdded, string) {
	r := &batch.TextAdded{
		Job: key.Job, Item: key.Item, Run: t.run, Start: t.start, From: t.from, Events: len(t.events), Versions: t.versions, Done: done,
	}
	data := strings.Join(t.events, "\n")
	t.from += len(t.events)
	t.events, t.versions = nil, nil
	return r, data
}

// carrier is the duty that carries one run at a time.
type carrier struct {
	cfg    Config
	deps   Deps
	log    *zap.Logger
	report func(context.Context, *run)
}

// Handle runs an item to its end.
func (c *carrier) Handle(ctx context.Context, a *run) {
	t := &text{run: a.id, start: a.Events, from: a.Events}
	silent := &atomic.Bool{}
	call, cancel := context.WithCancel(a.ctx)
	watch := time.AfterFunc(c.cfg.FirstEvent, func() {
		silent.Store(true)
		cancel()
	})
	a.result.err = c.read(call, a, t, watch)
	a.over.Store(true)
	watch.Stop()
	cancel()
	a.result.silent = silent.Load()
	a.result.cancelled = a.ctx.Err() != nil
	a.result.whole = a.result.err == nil
	c.store(ctx, a, t)
	c.report(ctx, a)
}

// read runs the item and gathers its events. It returns nil once the text is
// whole. Errors: *generation.Error, *PromptError.
func (c *carrier) read(ctx context.Context, a *run, t *text, watch *time.Timer) error {
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
		if e.Version < a.Job.MinVersion || (a.Job.SingleVersion && c.mixes(a, t, e)) {
			return &generation.Error{Upstream: a.Upstream, Cause: generation.CauseMisdirected, Err: &VersionError{Version: e.Version, Least: a.Job.MinVersion}}
		}
		watch.Reset(c.cfg.EventGap)
		now := c.cfg.Now()
		if a.result.events == 0 {
			a.result.first = now.Sub(a.began)
		}
		t.add(e)
		a.result.events++
		a.events.Add(1)
		if now.Sub(flushed) >= c.cfg.FlushEvery {
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

// mixes reports whether an event's version differs from that of the text before.
func (c *carrier) mixes(a *run, t *text, e generation.Event) bool {
	return slices.ContainsFunc(a.Versions, func(v api.WeightVersion) bool { return v != e.Version }) ||
		slices.ContainsFunc(t.versions, func(v api.WeightVersion) bool { return v != e.Version })
}

// VersionError reports a run on weights that its job does not allow.
type VersionError struct{ Version, Least api.WeightVersion }

// Error implements error.
func (e *VersionError) Error() string {
	return "weight version " + e.Version.String() + " where the job wants " + e.Least.String() + " or one version only"
}

// flush stores what has come of a run in progress.
func (c *carrier) flush(a *run, t *text) {
	if err := c.deps.PostText(t.take(a.key, false)); err != nil {
		c.log.Warn("text not queued", zap.String("item", string(a.key.Item)), zap.Error(err))
	}
}

// store writes what is left of a run's text and waits for its place.
func (c *carrier) store(ctx context.Context, a *run, t *text) {
	if len(t.events) == 0 && !a.result.whole {
		return
	}
	r, data := t.take(a.key, a.result.whole)
	var err error
	if a.result.offset, err = c.deps.StoreText(ctx, r, data); err != nil {
		a.result.err, a.result.whole = err, false
	}
}
