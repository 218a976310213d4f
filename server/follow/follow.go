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
	Wait       time.Duration // longest wait of one call for a change
	Timeout    time.Duration // of a call beyond its wait
	RetryEvery time.Duration // after a failed call
	// Doubt is how long after an outage of its feed a removed upstream may be
	// still used: entries that lapsed meanwhile come back within that time.
	Doubt time.Duration
	Now   func() time.Time
}

// Source is a feed with the pace at which it is read.
type Source struct {
	Name string
	Feed directory.Feed
	// Pace is the shortest time between two reads; changes are gathered meanwhile.
	Pace time.Duration
	// Upstreams is set on the feed that lists upstreams: those that a whole
	// read does not list are gone.
	Upstreams bool
}

// Follower is the handle of the duties.
type Follower struct {
	cfg     Config
	log     *zap.Logger
	view    atomic.Pointer[directory.View]
	readers []*duty.Duty[struct{}]
	fold    *duty.Duty[batch]
	changed func(*directory.View)
	loaded  atomic.Int32
	doubted map[directory.Unlisted]time.Time // until when a removal waits
}

// batch is what one read found.
type batch struct {
	changes []directory.Change
	first   bool // of its feed
	whole   bool // the newest change of every key of a feed that lists upstreams
	// doubtUntil is until when removals may be due to the feed's own outage.
	doubtUntil time.Time
}

// ringSize is generous: a reader has one batch in hand at most.
const ringSize = 16

// Start spawns the duties. changed is called on the folding duty with each new view.
func Start(sys *duty.System, cfg Config, log *zap.Logger, sources []Source, changed func(*directory.View)) *Follower {
	f := newFollower(cfg, log, changed)
	f.fold = duty.Start(sys, duty.Config{Name: "directory", RingSize: ringSize, Tick: cfg.RetryEvery}, duty.Handler[batch](f))
	for _, s := range sources {
		r := &reader{follower: f, source: s}
		d := duty.Start(sys, duty.Config{Name: "feed-" + s.Name, RingSize: 1}, duty.Handler[struct{}](r))
		r.again = func() { _ = d.Post(struct{}{}) } // only the reader itself posts: there is room
		f.readers = append(f.readers, d)
		_ = d.Post(struct{}{}) // a new duty's ring is empty
	}
	return f
}

func newFollower(cfg Config, log *zap.Logger, changed func(*directory.View)) *Follower {
	f := &Follower{cfg: cfg, log: log, changed: changed, doubted: make(map[directory.Unlisted]time.Time)}
	f.view.Store(directory.Empty())
	return f
}

// View returns the newest view.
func (f *Follower) View() *directory.View { return f.view.Load() }

// Loaded reports whether every feed has been read whole once.
func (f *Follower) Loaded() bool { return int(f.loaded.Load()) >= len(f.readers) }

// Handle folds one batch.
func (f *Follower) Handle(_ context.Context, b batch) {
	if b.whole {
		b.changes = append(b.changes, f.missing(b.changes)...)
	}
	f.publish(f.holdBack(b))
	if b.first {
		f.loaded.Add(1)
	}
}

// missing returns the removal of every known upstream that changes don't list.
func (f *Follower) missing(changes []directory.Change) []directory.Change {
	listed := make(map[api.UpstreamID]bool, len(changes))
	for _, c := range changes {
		if l, ok := c.(directory.Listed); ok {
			listed[l.Upstream.ID] = true
		}
	}
	var out []directory.Change
	for id := range f.View().Upstreams {
		if !listed[id] {
			out = append(out, directory.Unlisted{ID: id})
		}
	}
	return out
}

// Tick carries out removals whose doubt is over.
func (f *Follower) Tick(context.Context) {
	var due []directory.Change
	now := f.cfg.Now()
	for u, until := range f.doubted {
		if now.After(until) {
			delete(f.doubted, u)
			due = append(due, u)
		}
	}
	if len(due) > 0 {
		f.publish(due)
	}
}

// holdBack holds back removals that may be due to an outage, and forgets those
// whose upstream is back.
func (f *Follower) holdBack(b batch) []directory.Change {
	out := make([]directory.Change, 0, len(b.changes))
	for _, c := range b.changes {
		switch c := c.(type) {
		case directory.Unlisted:
			if f.cfg.Now().Before(b.doubtUntil) {
				f.doubted[c] = b.doubtUntil
				continue
			}
		case directory.Listed:
			delete(f.doubted, directory.Unlisted{ID: c.Upstream.ID})
		}
		out = append(out, c)
	}
	return out
}

func (f *Follower) publish(changes []directory.Change) {
	old := f.view.Load()
	next := old.Apply(changes)
	f.describe(old, next, changes)
	f.view.Store(next)
	f.changed(next)
}

// describe logs what the changes lead to.
func (f *Follower) describe(old, next *directory.View, changes []directory.Change) {
	if next.Table != old.Table {
		f.log.Info("configuration in force", zap.Uint64("version", next.Table.Version()))
	}
	for _, c := range changes {
		switch c := c.(type) {
		case directory.Malformed:
			f.log.Warn("record ignored", zap.String("key", c.Key), zap.Error(c.Cause))
		case directory.Announced:
			f.log.Info("weight version announced", zap.String("model", string(c.Model)), zap.Uint64("version", uint64(c.Version)))
		case directory.Unlisted:
			f.log.Info("upstream unlisted", zap.String("upstream", string(c.ID)))
		case directory.Listed:
			before, known := old.Upstreams[c.Upstream.ID]
			if !known || before.Draining != c.Upstream.Draining || before.BornMillis != c.Upstream.BornMillis {
				f.log.Info("upstream listed", zap.String("upstream", string(c.Upstream.ID)),
					zap.String("address", c.Upstream.Address), zap.Bool("draining", c.Upstream.Draining),
					zap.Uint64("revision", c.Upstream.Revision))
			}
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (f *Follower) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, f.fold, f.readers)
}

// reader is the duty that waits for a feed's changes.
type reader struct {
	follower *Follower
	source   Source
	again    func()
	cursor   directory.Cursor
	loaded   bool
	known    bool // loaded at least once
	failing  bool
	failedAt time.Time // of the last failed call
}

// Handle makes one call.
func (r *reader) Handle(ctx context.Context, _ struct{}) {
	defer r.again()
	began := r.follower.cfg.Now()
	b, err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(ctx, err)
		return
	}
	r.succeeded()
	if len(b.changes) > 0 || b.first || b.whole {
		if err := r.follower.fold.PostWait(ctx, b); err != nil {
			return // stopping
		}
	}
	duty.Pause(ctx, r.source.Pace-r.follower.cfg.Now().Sub(began))
}

func (r *reader) read(ctx context.Context) (batch, error) {
	cfg := r.follower.cfg
	b := batch{first: !r.known, whole: !r.loaded && r.source.Upstreams, doubtUntil: r.doubtUntil()}
	ctx, cancel := context.WithTimeout(ctx, cfg.Wait+cfg.Timeout)
	defer cancel()
	var err error
	var next directory.Cursor
	if r.loaded {
		b.changes, next, err = r.source.Feed.Next(ctx, r.cursor, cfg.Wait)
	} else {
		b.changes, next, err = r.source.Feed.Load(ctx)
	}
	var gap *directory.GapError
	if errors.As(err, &gap) {
		r.follower.log.Warn("feed has a gap", zap.String("feed", r.source.Name), zap.Uint64("from", uint64(gap.From)))
		r.loaded = false
		return r.read(ctx)
	}
	if err != nil {
		return batch{}, err
	}
	r.loaded, r.known, r.cursor = true, true, next
	return b, nil
}

// doubtUntil returns until when removals may be due to the last outage: a
// fixed time after it, so that a leaving upstream is not used for longer.
func (r *reader) doubtUntil() time.Time {
	if r.failedAt.IsZero() {
		return time.Time{}
	}
	return r.failedAt.Add(r.follower.cfg.Doubt)
}

func (r *reader) failed(ctx context.Context, err error) {
	r.failedAt = r.follower.cfg.Now()
	if !r.failing {
		r.failing = true
		r.follower.log.Warn("feed lost", zap.String("feed", r.source.Name), zap.Uint64("cursor", uint64(r.cursor)), zap.Error(err))
	}
	duty.Pause(ctx, r.follower.cfg.RetryEvery)
}

func (r *reader) succeeded() {
	if r.failing {
		r.failing = false
		r.follower.log.Info("feed regained", zap.String("feed", r.source.Name), zap.Uint64("cursor", uint64(r.cursor)))
	}
}
