// Package follow keeps a view of the upstreams, weight versions and configuration that
// are maintained outside the service. One duty per feed reads its changes, another
// applies them and publishes the view.
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

// Config configures a Watcher.
type Config struct {
	ReadWait      time.Duration // long-poll time of a read
	ReadTimeout   time.Duration // of a read, in addition to ReadWait
	RetryInterval time.Duration // after a failed read
	// RemovalGrace is how long after an outage of a feed removals of upstreams are held
	// back: entries that expired during the outage are listed again within that time.
	RemovalGrace time.Duration
	Now          func() time.Time
}

// FeedConfig configures a feed.
type FeedConfig struct {
	Name string
	Feed directory.Feed
	// MinReadInterval is the minimum time between the starts of two reads. Changes
	// made in between are read together.
	MinReadInterval time.Duration
	// ListsUpstreams is set on the feed that lists upstreams. A full load of it removes
	// the upstreams that it does not contain.
	ListsUpstreams bool
	// HasConfig is set on the feed of the configuration.
	HasConfig bool
}

// Watcher is the handle of the duties.
type Watcher struct {
	cfg         Config
	log         *zap.Logger
	view        atomic.Pointer[directory.View]
	readers     []*duty.Duty[struct{}]
	applier     *duty.Duty[any]
	onChange    func(*directory.View)
	loadedFeeds atomic.Int32
	// upstreamsReadNanos is the end of the last read of the feed that lists upstreams, in
	// Unix nanoseconds.
	upstreamsReadNanos atomic.Int64
	leaving            leavingUpstreams
	heldRemovals       map[directory.UpstreamUnlisted]time.Time // when each removal is applied
}

// readResult is the result of one read of a feed.
type readResult struct {
	changes   []directory.Change
	firstLoad bool // the first one of its feed
	fullLoad  bool // the changes are the full content of a feed with ListsUpstreams
	// holdUntil is the time until which removals may result from an outage of the feed.
	holdUntil time.Time
	// configAsOf and upstreamsAsOf are as in directory.View; zero: the read did not reach
	// the end of that feed.
	configAsOf, upstreamsAsOf time.Time
}

// applierRingSize suffices for 16 feeds: each reader posts one result at a time.
const applierRingSize = 16

// Start starts the duties. onChange is called with each new view, on the duty that
// applies changes.
func Start(sys *duty.System, cfg Config, log *zap.Logger, feeds []FeedConfig, onChange func(*directory.View)) *Watcher {
	w := newWatcher(cfg, log, onChange)
	w.applier = duty.Start(sys, duty.Config{Name: "directory", RingSize: applierRingSize, Tick: cfg.RetryInterval}, duty.Handler[any](w))
	for _, f := range feeds {
		r := &reader{watcher: w, feed: f}
		d := duty.Start(sys, duty.Config{Name: "feed-" + f.Name, RingSize: 1}, duty.Handler[struct{}](r))
		r.scheduleNext = func() { _ = d.Post(struct{}{}) } // never full: only the reader posts
		w.readers = append(w.readers, d)
		_ = d.Post(struct{}{}) // a new duty's ring is empty
	}
	return w
}

func newWatcher(cfg Config, log *zap.Logger, onChange func(*directory.View)) *Watcher {
	w := &Watcher{cfg: cfg, log: log, onChange: onChange, heldRemovals: make(map[directory.UpstreamUnlisted]time.Time)}
	w.view.Store(directory.NewView())
	return w
}

// View returns the newest view.
func (w *Watcher) View() *directory.View { return w.view.Load() }

// Loaded reports whether every feed has been loaded in full at least once.
func (w *Watcher) Loaded() bool { return int(w.loadedFeeds.Load()) >= len(w.readers) }

// UpstreamsCurrent reports whether a read of the feed that lists upstreams has ended within
// the time that one takes at most.
func (w *Watcher) UpstreamsCurrent() bool {
	return w.cfg.Now().Sub(time.Unix(0, w.upstreamsReadNanos.Load())) < w.cfg.ReadWait+w.cfg.ReadTimeout
}

// Handle implements duty.Handler: it applies the result of one read, or notes that an
// upstream leaves.
func (w *Watcher) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case readResult:
		w.applyRead(m)
	case leavingUpstream:
		w.noteLeaving(m)
	}
}

func (w *Watcher) applyRead(res readResult) {
	if res.fullLoad {
		res.changes = append(res.changes, w.removalsOfUnlisted(res.changes)...)
	}
	if changes := w.holdRemovals(res); len(changes) > 0 {
		w.publish(changes)
	}
	w.view.Store(w.View().ReadAt(res.configAsOf, res.upstreamsAsOf))
	if res.firstLoad {
		w.loadedFeeds.Add(1)
	}
}

// removalsOfUnlisted returns a removal of every known upstream that changes do not list.
func (w *Watcher) removalsOfUnlisted(changes []directory.Change) []directory.Change {
	listed := make(map[api.UpstreamID]bool, len(changes))
	for _, c := range changes {
		if l, ok := c.(directory.UpstreamListed); ok {
			listed[l.Upstream.ID] = true
		}
	}
	var out []directory.Change
	for id := range w.View().Upstreams {
		if !listed[id] {
			out = append(out, directory.UpstreamUnlisted{ID: id})
		}
	}
	return out
}

// Tick applies held removals that are due.
func (w *Watcher) Tick(context.Context) {
	var due []directory.Change
	now := w.cfg.Now()
	for u, until := range w.heldRemovals {
		if now.After(until) {
			delete(w.heldRemovals, u)
			due = append(due, u)
		}
	}
	if len(due) > 0 {
		w.publish(due)
	}
}

// holdRemovals holds back removals that may result from an outage, and drops those
// whose upstream is listed again.
func (w *Watcher) holdRemovals(res readResult) []directory.Change {
	out := make([]directory.Change, 0, len(res.changes))
	for _, c := range res.changes {
		switch c := c.(type) {
		case directory.UpstreamUnlisted:
			if w.cfg.Now().Before(res.holdUntil) {
				w.heldRemovals[c] = res.holdUntil
				continue
			}
		case directory.UpstreamListed:
			delete(w.heldRemovals, directory.UpstreamUnlisted{ID: c.Upstream.ID})
		}
		out = append(out, c)
	}
	return out
}

func (w *Watcher) publish(changes []directory.Change) {
	previous := w.view.Load()
	next := previous.Apply(changes)
	w.logChanges(previous, next, changes)
	w.view.Store(next)
	w.onChange(next)
}

// logChanges logs the effects of changes.
func (w *Watcher) logChanges(previous, next *directory.View, changes []directory.Change) {
	if next.Table != previous.Table {
		w.log.Info("configuration applied", zap.Uint64("version", next.Table.Version()), zap.Bool("keys_required", next.Customers.Required()))
		if ignored := next.Customers.Ignored(); len(ignored) > 0 {
			w.log.Warn("entries of the configuration ignored", zap.Uint64("version", next.Table.Version()), zap.Strings("entries", ignored))
		}
	}
	for _, c := range changes {
		switch c := c.(type) {
		case directory.MalformedRecord:
			w.log.Warn("malformed record ignored", zap.String("key", c.Key), zap.Error(c.Cause))
		case directory.WeightsAnnounced:
			w.log.Info("weight version announced", zap.String("model", string(c.Model)), zap.Uint64("version", uint64(c.Version)))
		case directory.UpstreamUnlisted:
			w.log.Info("upstream unlisted", zap.String("upstream", string(c.ID)))
		case directory.UpstreamListed:
			before, known := previous.Upstreams[c.Upstream.ID]
			if !known || before.Draining != c.Upstream.Draining || before.StartMillis != c.Upstream.StartMillis || before.Software != c.Upstream.Software {
				w.log.Info("upstream listed", zap.String("upstream", string(c.Upstream.ID)),
					zap.String("address", c.Upstream.Address), zap.Bool("draining", c.Upstream.Draining),
					zap.Uint64("revision", c.Upstream.Revision), zap.String("software", c.Upstream.Software))
			}
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (w *Watcher) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, w.applier, w.readers)
}

// reader is the handler of the duty that reads a feed.
type reader struct {
	watcher      *Watcher
	feed         FeedConfig
	scheduleNext func()
	cursor       directory.Cursor
	loaded       bool // the next read continues at cursor
	everLoaded   bool
	failing      bool
	lastFailure  time.Time // zero: no read has failed
}

// Handle makes one read.
func (r *reader) Handle(ctx context.Context, _ struct{}) {
	defer r.scheduleNext()
	startedAt := r.watcher.cfg.Now()
	res, err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.handleFailure(ctx, err)
		return
	}
	r.handleSuccess()
	if err := r.watcher.applier.PostWait(ctx, res); err != nil {
		return // stopping
	}
	duty.Sleep(ctx, r.feed.MinReadInterval-r.watcher.cfg.Now().Sub(startedAt))
}

// read reads the changes after the cursor or, at first and after a gap, loads the feed.
func (r *reader) read(ctx context.Context) (readResult, error) {
	cfg := r.watcher.cfg
	res := readResult{firstLoad: !r.everLoaded, fullLoad: !r.loaded && r.feed.ListsUpstreams, holdUntil: r.holdUntil()}
	ctx, cancel := context.WithTimeout(ctx, cfg.ReadWait+cfg.ReadTimeout)
	defer cancel()
	startedAt := cfg.Now()
	var err error
	page := directory.Page{AtEnd: true}
	if r.loaded {
		page, err = r.feed.Feed.Next(ctx, r.cursor, cfg.ReadWait)
	} else {
		page.Changes, page.Next, err = r.feed.Feed.Load(ctx)
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
	r.loaded, r.everLoaded, r.cursor, res.changes = true, true, page.Next, page.Changes
	setLeaveTimes(res.changes, cfg.Now())
	if page.AtEnd && r.feed.HasConfig {
		res.configAsOf = startedAt
	}
	if page.AtEnd && r.feed.ListsUpstreams {
		res.upstreamsAsOf = startedAt
	}
	if r.feed.ListsUpstreams {
		r.watcher.upstreamsReadNanos.Store(cfg.Now().UnixNano())
	}
	return res, nil
}

// holdUntil returns the time until which removals may result from the last outage. It
// is a fixed time after the outage, not after the removal: an upstream that has really
// left must not be used for a full period more.
func (r *reader) holdUntil() time.Time {
	if r.lastFailure.IsZero() {
		return time.Time{}
	}
	return r.lastFailure.Add(r.watcher.cfg.RemovalGrace)
}

func (r *reader) handleFailure(ctx context.Context, err error) {
	r.lastFailure = r.watcher.cfg.Now()
	if !r.failing {
		r.failing = true
		r.watcher.log.Warn("feed read failed", zap.String("feed", r.feed.Name), zap.Uint64("cursor", uint64(r.cursor)), zap.Error(err))
	}
	duty.Sleep(ctx, r.watcher.cfg.RetryInterval)
}

func (r *reader) handleSuccess() {
	if r.failing {
		r.failing = false
		r.watcher.log.Info("feed available again", zap.String("feed", r.feed.Name), zap.Uint64("cursor", uint64(r.cursor)))
	}
}
