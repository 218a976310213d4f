// Package keeper is the duty that keeps this daemon's leases: it renews them,
// takes those of daemons that are gone, gives up items whose time is over, and
// leaves at the stop.
package keeper

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/server/book"
	"go.uber.org/zap"
)

// Config of a Keeper.
type Config struct {
	Self       api.DaemonID
	Starts     int64         // of this process, in Unix milliseconds
	Tick       time.Duration // between two decisions
	RenewEvery time.Duration // between two renewals of the leases
	Expire     time.Duration // without a renewal the leases of a daemon are free
	// Turn is how long a daemon has to take an upstream before it is the next one's turn.
	Turn time.Duration
	// Stale is how old the last whole read of the journal may be: what others
	// do is not known beyond.
	Stale time.Duration
	// Repeat is how long a proposal may take to come back from the journal
	// before it is made again.
	Repeat time.Duration
	// SweepEvery is the time between two searches for items to give up.
	SweepEvery time.Duration
	Now        func() time.Time
}

// Deps of a Keeper.
type Deps struct {
	// Propose appends without waiting; what is not appended in time is dropped.
	Propose  func(r batch.Record, within time.Duration) error
	Fresh    func() time.Time // start of the last read that reached the journal's end
	Snapshot func() *book.Snapshot
	View     func() *directory.View
	Open     func(ctx context.Context) ([]batch.OpenItem, error)
}

// Keeper is the handle of the duty.
type Keeper struct {
	cfg      Config
	deps     Deps
	log      *zap.Logger
	duty     *duty.Duty[struct{}]
	renewed  time.Time // last renewal proposed
	swept    time.Time
	proposed map[api.UpstreamID]time.Time
	wanted   map[api.UpstreamID]time.Time // since when an upstream has had no live holder
	expired  map[batch.Key]time.Time
	leaving  bool
}

// Start spawns the duty.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Keeper {
	k := newKeeper(cfg, deps, log)
	k.duty = duty.Start(sys, duty.Config{Name: "lease-keeper", RingSize: 1, Tick: cfg.Tick}, duty.Handler[struct{}](k))
	return k
}

func newKeeper(cfg Config, deps Deps, log *zap.Logger) *Keeper {
	return &Keeper{
		cfg: cfg, deps: deps, log: log,
		proposed: make(map[api.UpstreamID]time.Time), expired: make(map[batch.Key]time.Time),
	}
}

// Handle gives up all leases: this daemon is about to stop.
func (k *Keeper) Handle(ctx context.Context, _ struct{}) {
	k.leaving = true
	k.propose(&batch.DaemonLeft{Daemon: k.cfg.Self})
}

// Leave gives up all leases.
func (k *Keeper) Leave() error { return k.duty.Post(struct{}{}) }

// Tick renews, takes and sweeps.
func (k *Keeper) Tick(ctx context.Context) {
	if k.leaving {
		return
	}
	now := k.cfg.Now()
	if now.Sub(k.renewed) >= k.cfg.RenewEvery {
		k.renewed = now
		k.propose(&batch.DaemonAlive{Daemon: k.cfg.Self, Starts: k.cfg.Starts, Config: k.config()})
	}
	if now.Sub(k.deps.Fresh()) > k.cfg.Stale {
		return
	}
	s := k.deps.Snapshot()
	live := k.live(s, now)
	k.take(s, live, now)
	if now.Sub(k.swept) >= k.cfg.SweepEvery {
		k.swept = now
		k.sweep(ctx, live, now)
	}
}

// config returns the version of the configuration in force here; 0: none.
func (k *Keeper) config() uint64 {
	if t := k.deps.View().Table; t != nil {
		return t.Version()
	}
	return 0
}

// live returns the daemons whose leases hold.
func (k *Keeper) live(s *book.Snapshot, now time.Time) map[api.DaemonID]bool {
	out := make(map[api.DaemonID]bool, len(s.Seen))
	for id, at := range s.Seen {
		if now.Sub(at) < k.cfg.Expire {
			out[id] = true
		}
	}
	return out
}

// take proposes the changes of leases that fall to this daemon.
func (k *Keeper) take(s *book.Snapshot, live map[api.DaemonID]bool, now time.Time) {
	if s.Starts[k.cfg.Self] != k.cfg.Starts {
		return // this process's first renewal is not in the journal yet
	}
	v := k.deps.View()
	if v.Table == nil {
		return
	}
	in := leases.Input{Self: k.cfg.Self, Live: live, Held: s.Upstreams, Listed: v.Upstreams, Table: v.Table}
	in.Passed = k.passed(leases.Wanted(in), now)
	for _, r := range leases.Plan(in) {
		id := upstreamOf(r)
		if now.Sub(k.proposed[id]) < k.cfg.Repeat {
			continue
		}
		k.proposed[id] = now
		k.log.Info("lease decided", zap.String("upstream", string(id)), zap.Int("live_daemons", len(live)),
			zap.Uint64("applied", uint64(s.Applied)), zap.Any("record", r))
		k.propose(r)
	}
}

// passed returns how many turns to take each wanted upstream have passed.
func (k *Keeper) passed(wanted []api.UpstreamID, now time.Time) map[api.UpstreamID]int {
	out := make(map[api.UpstreamID]int, len(wanted))
	since := make(map[api.UpstreamID]time.Time, len(wanted))
	for _, id := range wanted {
		since[id] = now
		if at, ok := k.wanted[id]; ok {
			since[id] = at
		}
		out[id] = int(now.Sub(since[id]) / k.cfg.Turn)
	}
	k.wanted = since
	return out
}

func upstreamOf(r batch.Record) api.UpstreamID {
	switch r := r.(type) {
	case *batch.LeaseTaken:
		return r.Upstream
	case *batch.UpstreamGone:
		return r.Upstream
	}
	return ""
}

// sweep gives up the items whose time is over or whose route is gone. Every
// live daemon does this for its part of the jobs.
func (k *Keeper) sweep(ctx context.Context, live map[api.DaemonID]bool, now time.Time) {
	v := k.deps.View()
	if v.Table == nil || !live[k.cfg.Self] {
		return
	}
	open, err := k.deps.Open(ctx)
	if err != nil {
		k.log.Warn("open items unknown", zap.Error(err))
		return
	}
	for _, i := range open {
		_, routed := v.Table.Match(i.Host, i.Path)
		if routed && now.UnixMilli() < i.DueMillis {
			continue
		}
		if !leases.Responsible(k.cfg.Self, live, string(i.Job)) || now.Sub(k.expired[i.Key]) < k.cfg.Repeat {
			continue
		}
		k.expired[i.Key] = now
		k.log.Info("item given up", zap.String("job", string(i.Job)), zap.String("item", string(i.Item)), zap.Bool("routed", routed),
			zap.Uint64("config", v.Table.Version()), zap.Int64("due_ms", i.DueMillis))
		k.propose(&batch.ItemExpired{Job: i.Job, Item: i.Item})
	}
	for key, at := range k.expired {
		if now.Sub(at) > k.cfg.Repeat {
			delete(k.expired, key)
		}
	}
}

func (k *Keeper) propose(r batch.Record) {
	if err := k.deps.Propose(r, k.cfg.Repeat); err != nil {
		k.log.Warn("proposal not queued", zap.Any("record", r), zap.Error(err))
	}
}

// Stop ends the duty. Errors: ctx.Err().
func (k *Keeper) Stop(ctx context.Context) error { return k.duty.Stop(ctx) }
