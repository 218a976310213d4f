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
	Self          api.DaemonID
	StartMillis   int64         // of this process, in Unix milliseconds
	Tick          time.Duration // between two decisions
	RenewInterval time.Duration // between two renewals of the leases
	LeaseTTL      time.Duration // without a renewal the leases of a daemon are free
	// TurnTimeout is how long a daemon has to take an upstream before it is the next one's turn.
	TurnTimeout time.Duration
	// MaxReadAge is how old the last whole read of the journal may be: what others
	// do is not known beyond.
	MaxReadAge time.Duration
	// ProposalTimeout is how long a proposal may take to come back from the journal
	// before it is made again.
	ProposalTimeout time.Duration
	// SweepInterval is the time between two searches for items to give up.
	SweepInterval time.Duration
	Now           func() time.Time
}

// Deps of a Keeper.
type Deps struct {
	// Propose appends without waiting; what is not appended in time is dropped.
	Propose      func(r batch.Record, within time.Duration) error
	LastFullRead func() time.Time // start of the last read that reached the journal's end
	Snapshot     func() *book.Snapshot
	View         func() *directory.View
	OpenItems    func(ctx context.Context) ([]batch.OpenItem, error)
}

// Manager is the handle of the duty.
type Manager struct {
	cfg         Config
	deps        Deps
	log         *zap.Logger
	duty        *duty.Duty[struct{}]
	renewedAt   time.Time // last renewal proposed
	sweptAt     time.Time
	proposedAt  map[api.UpstreamID]time.Time
	wantedSince map[api.UpstreamID]time.Time // since when an upstream has had no live holder
	expiredAt   map[batch.ItemKey]time.Time
	leaving     bool
}

// Start spawns the duty.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Manager {
	k := newKeeper(cfg, deps, log)
	k.duty = duty.Start(sys, duty.Config{Name: "lease-keeper", RingSize: 1, Tick: cfg.Tick}, duty.Handler[struct{}](k))
	return k
}

func newKeeper(cfg Config, deps Deps, log *zap.Logger) *Manager {
	return &Manager{
		cfg: cfg, deps: deps, log: log,
		proposedAt: make(map[api.UpstreamID]time.Time), expiredAt: make(map[batch.ItemKey]time.Time),
	}
}

// Handle gives up all leases: this daemon is about to stop.
func (k *Manager) Handle(ctx context.Context, _ struct{}) {
	k.leaving = true
	k.propose(&batch.DaemonLeft{Daemon: k.cfg.Self})
}

// Leave gives up all leases.
func (k *Manager) Leave() error { return k.duty.Post(struct{}{}) }

// Tick renews, takes and sweeps.
func (k *Manager) Tick(ctx context.Context) {
	if k.leaving {
		return
	}
	now := k.cfg.Now()
	if now.Sub(k.renewedAt) >= k.cfg.RenewInterval {
		k.renewedAt = now
		k.propose(&batch.DaemonAlive{Daemon: k.cfg.Self, StartMillis: k.cfg.StartMillis, ConfigVersion: k.configVersion()})
	}
	if now.Sub(k.deps.LastFullRead()) > k.cfg.MaxReadAge {
		return
	}
	s := k.deps.Snapshot()
	live := k.liveDaemons(s, now)
	k.acquireLeases(s, live, now)
	if now.Sub(k.sweptAt) >= k.cfg.SweepInterval {
		k.sweptAt = now
		k.expireItems(ctx, live, now)
	}
}

// configVersion returns the version of the configuration in force here; 0: none.
func (k *Manager) configVersion() uint64 {
	if t := k.deps.View().Table; t != nil {
		return t.Version()
	}
	return 0
}

// liveDaemons returns the daemons whose leases hold.
func (k *Manager) liveDaemons(s *book.Snapshot, now time.Time) map[api.DaemonID]bool {
	out := make(map[api.DaemonID]bool, len(s.LastRenewals))
	for id, at := range s.LastRenewals {
		if now.Sub(at) < k.cfg.LeaseTTL {
			out[id] = true
		}
	}
	return out
}

// acquireLeases proposes the changes of leases that fall to this daemon.
func (k *Manager) acquireLeases(s *book.Snapshot, live map[api.DaemonID]bool, now time.Time) {
	if s.StartMillis[k.cfg.Self] != k.cfg.StartMillis {
		return // this process's first renewal is not in the journal yet
	}
	v := k.deps.View()
	if v.Table == nil {
		return
	}
	in := leases.Input{Self: k.cfg.Self, Live: live, Held: s.Upstreams, Listed: v.Upstreams, Table: v.Table}
	in.SkippedTurns = k.skippedTurns(leases.Unheld(in), now)
	for _, r := range leases.Plan(in) {
		id := upstreamOf(r)
		if now.Sub(k.proposedAt[id]) < k.cfg.ProposalTimeout {
			continue
		}
		k.proposedAt[id] = now
		k.log.Info("lease decided", zap.String("upstream", string(id)), zap.Int("live_daemons", len(live)),
			zap.Uint64("applied", uint64(s.AppliedOffset)), zap.Any("record", r))
		k.propose(r)
	}
}

// skippedTurns returns how many turns to take each wanted upstream have passed.
func (k *Manager) skippedTurns(wanted []api.UpstreamID, now time.Time) map[api.UpstreamID]int {
	out := make(map[api.UpstreamID]int, len(wanted))
	since := make(map[api.UpstreamID]time.Time, len(wanted))
	for _, id := range wanted {
		since[id] = now
		if at, ok := k.wantedSince[id]; ok {
			since[id] = at
		}
		out[id] = int(now.Sub(since[id]) / k.cfg.TurnTimeout)
	}
	k.wantedSince = since
	return out
}

func upstreamOf(r batch.Record) api.UpstreamID {
	switch r := r.(type) {
	case *batch.LeaseAcquired:
		return r.Upstream
	case *batch.UpstreamRemoved:
		return r.Upstream
	}
	return ""
}

// expireItems gives up the items whose time is over or whose route is gone. Every
// live daemon does this for its part of the jobs.
func (k *Manager) expireItems(ctx context.Context, live map[api.DaemonID]bool, now time.Time) {
	v := k.deps.View()
	if v.Table == nil || !live[k.cfg.Self] {
		return
	}
	open, err := k.deps.OpenItems(ctx)
	if err != nil {
		k.log.Warn("open items unknown", zap.Error(err))
		return
	}
	for _, i := range open {
		_, routed := v.Table.Match(i.Host, i.Path)
		if routed && now.UnixMilli() < i.DeadlineMillis {
			continue
		}
		if !leases.Responsible(k.cfg.Self, live, string(i.Job)) || now.Sub(k.expiredAt[i.ItemKey]) < k.cfg.ProposalTimeout {
			continue
		}
		k.expiredAt[i.ItemKey] = now
		k.log.Info("item given up", zap.String("job", string(i.Job)), zap.String("item", string(i.Item)), zap.Bool("routed", routed),
			zap.Uint64("config", v.Table.Version()), zap.Int64("due_ms", i.DeadlineMillis))
		k.propose(&batch.ItemExpired{Job: i.Job, Item: i.Item})
	}
	for key, at := range k.expiredAt {
		if now.Sub(at) > k.cfg.ProposalTimeout {
			delete(k.expiredAt, key)
		}
	}
}

func (k *Manager) propose(r batch.Record) {
	if err := k.deps.Propose(r, k.cfg.ProposalTimeout); err != nil {
		k.log.Warn("proposal not queued", zap.Any("record", r), zap.Error(err))
	}
}

// Stop ends the duty. Errors: ctx.Err().
func (k *Manager) Stop(ctx context.Context) error { return k.duty.Stop(ctx) }
