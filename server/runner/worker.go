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

// upstreamLost reports whether the connection to the upstream ended during the run.
func (r *result) upstreamLost() bool {
	var e *generation.Error
	return !r.stalled && errors.As(r.err, &e) && e.ConnectionLost
}

func (r *result) outcome(active *run) generation.RunOutcome {
	cause := r.cause()
	var changed *VersionChangedError
	if errors.As(r.err, &changed) {
		return generation.RunOutcome{Upstream: active.Upstream}
	}
	ofUpstream := r.stalled || cause == generation.CauseConnection || cause == generation.CauseWrongUpstream
	return generation.RunOutcome{Upstream: active.Upstream, Failed: r.err != nil && ofUpstream, Stalled: r.stalled}
}

// textBuffer holds the events of a run that are not stored yet.
type textBuffer struct {
	runID      string
	software   string
	runStart   int
	firstEvent int
	events     []string
	versions   []api.WeightVersion
	last       api.WeightVersion // of the run's last event; 0: none yet
}

func (t *textBuffer) add(e generation.Event) {
	t.events, t.last = append(t.events, e.Data), e.Version
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

// takeRecord returns the record and the data of the buffered events and empties
// the buffer.
func (t *textBuffer) takeRecord(key batch.ItemKey, done bool) (*batch.TextAdded, string) {
	r := &batch.TextAdded{
		Job: key.Job, Item: key.Item, RunID: t.runID, RunStart: t.runStart, FirstEvent: t.firstEvent, EventCount: len(t.events), Versions: t.versions, Software: t.software, Done: done,
	}
	data := strings.Join(t.events, "\n")
	t.firstEvent += len(t.events)
	t.events, t.versions = nil, nil
	return r, data
}

// worker makes runs, each in a task of its own.
type worker struct {
	cfg  Config
	deps Deps
	log  *zap.Logger
}

// work runs an item, stores its text and sets the run's result.
func (w *worker) work(ctx context.Context, r *run) {
	t := &textBuffer{runID: r.id, software: r.upstream.Software, runStart: r.EventCount, firstEvent: r.EventCount}
	stalled := &atomic.Bool{}
	runCtx, cancel := context.WithCancel(r.ctx)
	watchdog := time.AfterFunc(w.cfg.FirstEventTimeout, func() {
		stalled.Store(true)
		cancel()
	})
	r.result.err = w.readEvents(runCtx, r, t, watchdog)
	r.readingDone.Store(true)
	watchdog.Stop()
	cancel()
	r.result.stalled = stalled.Load()
	r.result.cancelled = r.ctx.Err() != nil
	r.result.complete = r.result.err == nil
	w.store(ctx, r, t)
}

// readEvents runs the item and buffers its events, which it stores at
// FlushInterval. It returns nil once the text is complete.
// Errors: *generation.Error, *PromptError.
func (w *worker) readEvents(ctx context.Context, r *run, t *textBuffer, watchdog *time.Timer) error {
	prompt, err := w.deps.Prompt(ctx, r.Item.Body)
	if err != nil {
		return &PromptError{Cause: err}
	}
	s, err := w.deps.Engine.Start(ctx, r.upstream, &r.Run, prompt)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := w.checkIncarnation(ctx, r); err != nil {
		return err
	}
	flushed := w.cfg.Now()
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.Version < r.Job.MinVersion {
			return &generation.Error{Upstream: r.Upstream, Cause: generation.CauseWrongUpstream, Err: &VersionError{Version: e.Version, Min: r.Job.MinVersion}}
		}
		if r.Job.SingleVersion && w.mixesVersions(r, t, e) {
			return &generation.Error{Upstream: r.Upstream, Cause: generation.CauseWrongUpstream, Err: &VersionChangedError{Version: e.Version}}
		}
		if err := w.checkSoftware(r); err != nil {
			return err
		}
		watchdog.Reset(w.cfg.EventTimeout)
		now := w.cfg.Now()
		if r.result.events == 0 {
			r.result.firstEventAfter = now.Sub(r.startedAt)
			r.firstEventAfter.Store(int64(r.result.firstEventAfter))
		}
		t.add(e)
		r.result.events++
		r.lastEventAfter.Store(int64(now.Sub(r.startedAt)))
		r.receivedEvents.Add(1)
		if now.Sub(flushed) >= w.cfg.FlushInterval {
			flushed = now
			if w.mayStorePart(r) {
				w.flush(r, t)
			}
		}
	}
}

// checkIncarnation returns an error if a run that continues a text, or whose upstream was
// listed long ago, is on a later process of the upstream: its software may be another
// version. Errors: *generation.Error.
func (w *worker) checkIncarnation(ctx context.Context, r *run) error {
	if r.EventCount == 0 && w.deps.UpstreamsCurrent() {
		return nil
	}
	report, err := w.deps.Engine.Report(ctx, r.upstream)
	if err != nil {
		return err
	}
	if err := report.CheckIncarnation(r.upstream); err != nil {
		return &generation.Error{Upstream: r.Upstream, Cause: generation.CauseWrongUpstream, Err: err}
	}
	return nil
}

// checkSoftware returns an error if the upstream is listed with other software than at
// the run's start: it may have restarted under its ID before the run began.
func (w *worker) checkSoftware(r *run) error {
	u := w.deps.View().Upstreams[r.Upstream]
	if u == nil || u.Software == r.upstream.Software {
		return nil
	}
	return &generation.Error{Upstream: r.Upstream, Cause: generation.CauseWrongUpstream, Err: &SoftwareError{Listed: u.Software, Started: r.upstream.Software}}
}

// SoftwareError reports that an upstream's software is not the one that a run was started
// with.
type SoftwareError struct{ Listed, Started string }

// Error implements error.
func (e *SoftwareError) Error() string {
	return "software version " + e.Listed + " is listed, the run was started with " + e.Started
}

// PromptError reports that an item's body could not be read.
type PromptError struct{ Cause error }

// Error implements error.
func (e *PromptError) Error() string { return "read prompt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PromptError) Unwrap() error { return e.Cause }

// mixesVersions reports whether an event's weight version differs from that of the
// preceding text.
func (w *worker) mixesVersions(r *run, t *textBuffer, e generation.Event) bool {
	return slices.ContainsFunc(r.Versions, func(v api.WeightVersion) bool { return v != e.Version }) || t.last != 0 && t.last != e.Version
}

// VersionError reports a run on a weight version that its job does not allow.
type VersionError struct{ Version, Min api.WeightVersion }

// Error implements error.
func (e *VersionError) Error() string {
	return "weight version " + e.Version.String() + " is below the job's minimum " + e.Min.String()
}

// VersionChangedError reports that the weight version changed within a text that must be of
// one. The upstream is sound.
type VersionChangedError struct{ Version api.WeightVersion }

// Error implements error.
func (e *VersionChangedError) Error() string {
	return "weight version " + e.Version.String() + " differs from the preceding text's"
}

// mayStorePart reports whether an incomplete text may be stored: an item that must be of one
// weight version would never run again once no upstream has the version of its text.
func (w *worker) mayStorePart(r *run) bool { return !r.Job.SingleVersion || w.deps.TextDroppable() }

// flush posts the buffered text of a run in progress.
func (w *worker) flush(r *run, t *textBuffer) {
	if err := w.deps.PostText(t.takeRecord(r.key, false)); err != nil {
		w.log.Warn("text dropped", zap.String("item", string(r.key.Item)), zap.Error(err))
	}
}

// store stores the rest of a run's text and waits for the record's offset.
func (w *worker) store(ctx context.Context, r *run, t *textBuffer) {
	if !r.result.complete && (len(t.events) == 0 || !w.mayStorePart(r)) {
		return
	}
	record, data := t.takeRecord(r.key, r.result.complete)
	var err error
	if r.result.offset, err = w.deps.StoreText(ctx, record, data); err != nil {
		r.result.err, r.result.complete = err, false
	}
}
