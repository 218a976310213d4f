// Package follow keeps a view of what an outside authority says: one duty a
// feed waits for changes, one folds them and publishes the view.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"go.uber.org/zap"
)

// Config of a Follower.
type Config struct {
	ReadWait      time.Duration // longest wait of one call for a change
	CallTimeout   time.Duration // of a call beyond its wait
	RetryInterval time.Duration // after a failed call
	// RemovalGrace is how long after an outage of its feed a removed upstream may be
	// still used: entries that lapsed meanwhile come back within that time.
	RemovalGrace time.Duration
	Now          func() time.Time
}

// FeedConfig is a feed with the pace at which it is read.
type FeedConfig struct {
	Name string
	Feed directory.Feed
	// MinReadInterval is the shortest time between two reads; changes are gathered meanwhile.
	MinReadInterval time.Duration
	// ListsUpstreams is set on the feed that lists upstreams: those that a whole
	// read does not list are gone.
	ListsUpstreams bool
}

// Watcher is the handle of the duties.
type Watcher struct {
	cfg          Config
	log          *zap.Logger
	view         atomic.Pointer[directory.View]
	readers      []*duty.Duty[struct{}]
	fold         *duty.Duty[readResult]
	changed      func(*directory.View)
	loaded       atomic.Int32
	heldRemovals map[directory.UpstreamUnlisted]time.Time // until when a removal waits
}

// readResult is what one read found.
type readResult struct {
	changes   []directory.Change
	firstLoad bool // of its feed
	fullLoad  bool // the newest change of every key of a feed that lists upstreams
	// holdUntil is until when removals may be due to the feed's own outage.
	holdUntil time.Time
}

// ringSize is generous: a reader has one batch in hand at most.
const ringSize = 16

// Start spawns the duties. changed is called on the folding duty with each new view.
func Start(sys *duty.System, cfg Config, log *zap.Logger, sources []FeedConfig, changed func(*directory.View)) *Watcher {
	f := newFollower(cfg, log, changed)
	f.fold = duty.Start(sys, duty.Config{Name: "directory", RingSize: ringSize, Tick: cfg.RetryInterval}, duty.Handler[readResult](f))
	for _, s := range sources {
		r := &reader{watcher: f, feed: s}
		d := duty.Start(sys, duty.Config{Name: "feed-" + s.Name, RingSize: 1}, duty.Handler[struct{}](r))
		r.scheduleNext = func() { _ = d.Post(struct{}{}) } // only the reader itself posts: there is room
		f.readers = append(f.readers, d)
		_ = d.Post(struct{}{}) // a new duty's ring is empty
	}
	return f
}

func newFollower(cfg Config, log *zap.Logger, changed func(*directory.View)) *Watcher {
	f := &Watcher{cfg: cfg, log: log, changed: changed, heldRemovals: make(map[directory.UpstreamUnlisted]time.Time)}
	f.view.Store(directory.NewView())
	return f
}

// View returns the newest view.
func (f *Watcher) View() *directory.View { return f.view.Load() }

// Loaded reports whether every feed has been read whole once.
func (f *Watcher) Loaded() bool { return int(f.loaded.Load()) >= len(f.readers) }

// Handle folds one batch.
func (f *Watcher) Handle(_ context.Context, b readResult) {
	if b.fullLoad {
		b.changes = append(b.changes, f.removalsOfUnlisted(b.changes)...)
	}
	f.publish(f.filterHeld(b))
	if b.firstLoad {
		f.loaded.Add(1)
	}
}

// removalsOfUnlisted returns the removal of every known upstream that changes don't list.
func (f *Watcher) removalsOfUnlisted(changes []directory.Change) []directory.Change {
	listed := make(map[api.UpstreamID]bool, len(changes))
	for _, c := range changes {
		if l, ok := c.(directory.UpstreamListed); ok {
			listed[l.Upstream.ID] = true
		}
	}
	var out []directory.Change
	for id := range f.View().Upstreams {
		if !listed[id] {
			out = append(out, directory.UpstreamUnlisted{ID: id})
		}
	}
	return out
}

// Tick carries out removals whose doubt is over.
func (f *Watcher) Tick(context.Context) {
	var due []directory.Change
	now := f.cfg.Now()
	for u, until := range f.heldRemovals {
		if now.After(until) {
			delete(f.heldRemovals, u)
			due = append(due, u)
		}
	}
	if len(due) > 0 {
		f.publish(due)
	}
}

// filterHeld holds back removals that may be due to an outage, and forgets those
// whose upstream is back.
func (f *Watcher) filterHeld(b readResult) []directory.Change {
	out := make([]directory.Change, 0, len(b.changes))
	for _, c := range b.changes {
		switch c := c.(type) {
		case directory.UpstreamUnlisted:
			if f.cfg.Now().Before(b.holdUntil) {
				f.heldRemovals[c] = b.holdUntil
				continue
			}
		case directory.UpstreamListed:
			delete(f.heldRemovals, directory.UpstreamUnlisted{ID: c.Upstream.ID})
		}
		out = append(out, c)
	}
	return out
}

func (f *Watcher) publish(changes []directory.Change) {
	old := f.view.Load()
	next := old.Apply(changes)
	f.logChanges(old, next, changes)
	f.view.Store(next)
	f.changed(next)
}

// logChanges logs what the changes lead to.
func (f *Watcher) logChanges(old, next *directory.View, changes []directory.Change) {
	if next.Table != old.Table {
		f.log.Info("configuration in force", zap.Uint64("version", next.Table.Version()))
	}
	for _, c := range changes {
		switch c := c.(type) {
		case directory.MalformedRecord:
			f.log.Warn("record ignored", zap.String("key", c.Key), zap.Error(c.Cause))
		case directory.WeightsAnnounced:
			f.log.Info("weight version announced", zap.String("model", string(c.Model)), zap.Uint64("version", uint64(c.Version)))
		case directory.UpstreamUnlisted:
			f.log.Info("upstream unlisted", zap.String("upstream", string(c.ID)))
		case directory.UpstreamListed:
			before, known := old.Upstreams[c.Upstream.ID]
			if !known || before.Draining != c.Upstream.Draining || before.StartMillis != c.Upstream.StartMillis {
				f.log.Info("upstream listed", zap.String("upstream", string(c.Upstream.ID)),
					zap.String("address", c.Upstream.Address), zap.Bool("draining", c.Upstream.Draining),
					zap.Uint64("revision", c.Upstream.Revision))
			}
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (f *Watcher) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, f.fold, f.readers)
}

// reader is the duty that waits for a feed's changes.
type reader struct {
	watcher      *Watcher
	feed         FeedConfig
	scheduleNext func()
	cursor       directory.Cursor
	loaded       bool
	everLoaded   bool // loaded at least once
	failing      bool
	failedAt     time.Time // of the last failed call
}

// Handle makes one call.
func (r *reader) Handle(ctx context.Context, _ struct{}) {
	defer r.scheduleNext()
	began := r.watcher.cfg.Now()
	b, err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(ctx, err)
		return
	}
	r.succeeded()
	if len(b.changes) > 0 || b.firstLoad || b.fullLoad {
		if err := r.watcher.fold.PostWait(ctx, b); err != nil {
			return // stopping
		}
	}
	duty.Sleep(ctx, r.feed.MinReadInterval-r.watcher.cfg.Now().Sub(began))
}

func (r *reader) read(ctx context.Context) (readResult, error) {
	cfg := r.watcher.cfg
	b := readResult{firstLoad: !r.everLoaded, fullLoad: !r.loaded && r.feed.ListsUpstreams, holdUntil: r.holdUntil()}
	ctx, cancel := context.WithTimeout(ctx, cfg.ReadWait+cfg.CallTimeout)
	defer cancel()
	var err error
	var next directory.Cursor
	if r.loaded {
		b.changes, next, err = r.feed.Feed.Next(ctx, r.cursor, cfg.ReadWait)
	} else {
		b.changes, next, err = r.feed.Feed.Load(ctx)
	}
	var gap *directory.GapError
	if errors.As(err, &gap) {
		r.watcher.log.Warn("feed has a gap", zap.String("feed", r.feed.Name), zap.Uint64("from", uint64(gap.From)))
		r.loaded = false
		return r.read(ctx)
	}
	if err != nil {
		return readResult{}, err
	}
	r.loaded, r.everLoaded, r.cursor = true, true, next
	return b, nil
}

// holdUntil returns until when removals may be due to the last outage: a
// fixed time after it, so that a leaving upstream is not used for longer.
func (r *reader) holdUntil() time.Time {
	if r.failedAt.IsZero() {
		return time.Time{}
	}
	return r.failedAt.Add(r.watcher.cfg.RemovalGrace)
}

func (r *reader) failed(ctx context.Context, err error) {
	r.failedAt = r.watcher.cfg.Now()
	if !r.failing {
		r.failing = true
		r.watcher.log.Warn("feed lost", zap.String("feed", r.feed.Name), zap.Uint64("cursor", uint64(r.cursor)), zap.Error(err))
	}
	duty.Sleep(ctx, r.watcher.cfg.RetryInterval)
}

func (r *reader) succeeded() {
	if r.failing {
		r.failing = false
		r.watcher.log.Info("feed regained", zap.String("feed", r.feed.Name), zap.Uint64("cursor", uint64(r.cursor)))
	}
}
