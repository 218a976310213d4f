// Package leasing runs the duty that manages this daemon's leases on upstreams. It
// renews them, acquires those of dead daemons, expires items past their deadline, reroutes
// jobs and releases all leases before the daemon stops.
package leasing

import (
	"context"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/absence"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/upgrade"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

// Config configures a Manager.
type Config struct {
	Self        api.DaemonID
	StartMillis int64         // start of this process in Unix milliseconds
	Tick        time.Duration // interval of decisions
	IdleTick    time.Duration // the same while this daemon may not hold leases
	Capacity    int           // of this host, in thousandths of a core
	Roster      leases.Roster
	// Address is where this daemon takes requests of others, ip:port; empty: nowhere.
	Address    string
	DataCentre api.DataCentre
	// Locality decides when the lease of an upstream leaves its data centre.
	Locality locality.Policy
	// TurnTimeout is how long each daemon in turn may take to acquire an upstream
	// before the next daemon may.
	TurnTimeout time.Duration
	// MaxReadAge is the maximum age of the last full read of the journal for
	// decisions: with older reads the renewals of other daemons are unknown.
	MaxReadAge time.Duration
	// ProposalTimeout is how long a proposal may take to be read back from the
	// journal before it is repeated.
	ProposalTimeout time.Duration
	// SweepInterval is the interval of searches for expired items and rerouted jobs.
	SweepInterval time.Duration
	// Rules are the rules of placement that are to be in force.
	Rules int
	// Levels decides which records all live daemons read.
	Levels upgrade.Config
	Now    func() time.Time
}

// Deps are the dependencies of a Manager.
type Deps struct {
	// Propose appends a record without waiting. The record is dropped if it is not
	// appended within the given time.
	Propose      func(r batch.Record, within time.Duration) error
	LastFullRead func() time.Time // start of the last read that reached the journal's end
	Snapshot     func() *jobreplica.Snapshot
	View         func() *directory.View
	OpenItems    func(ctx context.Context) ([]batch.OpenItem, error)
	// CutOff reports whether this daemon reaches no upstream.
	CutOff func() bool
}

// Manager manages this daemon's leases.
type Manager struct {
	cfg             Config
	deps            Deps
	log             *zap.Logger
	duty            *duty.Duty[struct{}]
	renewedAt       time.Time // when the last renewal was proposed
	cutOff          bool      // as of the last renewal
	rulesProposedAt time.Time
	sweptAt         time.Time
	proposedAt      map[api.UpstreamID]time.Time
	unheldSince     map[api.UpstreamID]time.Time // when an upstream was first seen without a live holder
	expired         proposals[batch.ItemKey]
	rerouted        proposals[batch.JobID]
	dropped         proposals[batch.ItemKey]
	swapped         proposals[string] // by service
	unrouted        absence.Tracker[batch.ItemKey]
	misrouted       absence.Tracker[batch.JobID]
	unlisted        absence.Tracker[api.UpstreamID] // held by this daemon
	leaving         bool
	idle            bool // this daemon may not hold leases
}

// Start starts the duty.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Manager {
	m := newManager(cfg, deps, log)
	m.duty = duty.Start(sys, duty.Config{Name: "lease-keeper", RingSize: 1, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[struct{}](m))
	return m
}

func newManager(cfg Config, deps Deps, log *zap.Logger) *Manager {
	return &Manager{
		cfg: cfg, deps: deps, log: log,
		proposedAt: make(map[api.UpstreamID]time.Time), expired: make(proposals[batch.ItemKey]), rerouted: make(proposals[batch.JobID]), dropped: make(proposals[batch.ItemKey]),
		swapped: make(proposals[string]),
	}
}

// Handle releases all leases because this daemon is about to stop.
func (m *Manager) Handle(ctx context.Context, _ struct{}) {
	m.leaving = true
	m.propose(&batch.DaemonLeft{Daemon: m.cfg.Self})
}

// Leave releases all leases and ends their management. It never blocks. Errors:
// *duty.FullError, *ring.ClosedError.
func (m *Manager) Leave() error { return m.duty.Post(struct{}{}) }

// Tick renews this daemon's leases, acquires free ones and expires items.
func (m *Manager) Tick(ctx context.Context) {
	if m.leaving {
		return
	}
	now := m.cfg.Now()
	s := m.deps.Snapshot()
	if s.Partial {
		return // whoever renews is taken to have a state
	}
	since, cutOff := now.Sub(m.renewedAt), m.deps.CutOff()
	if cutOff != m.cutOff || since >= m.cfg.Roster.RenewInterval && since >= m.renewInterval(s, now) {
		m.renewedAt, m.cutOff = now, cutOff
		m.propose(&batch.DaemonAlive{
			Daemon: m.cfg.Self, StartMillis: m.cfg.StartMillis, ConfigVersion: m.configVersion(), Capacity: m.cfg.Capacity,
			Address: m.cfg.Address, DataCentre: m.cfg.DataCentre, CutOff: cutOff,
			ImageLevel: batch.ImageLevel, RecordLevel: batch.RecordLevel, LevelInForce: s.LevelInForce(m.cfg.Levels, m.deps.LastFullRead()),
		})
	}
	if now.Sub(m.deps.LastFullRead()) > m.cfg.MaxReadAge {
		return
	}
	live := m.cfg.Roster.Live(s.Members(), now)
	m.idle = s.StartMillis[m.cfg.Self] == m.cfg.StartMillis && m.renewInterval(s, now) > m.cfg.Roster.RenewInterval
	m.acquireLeases(s, live, now)
	if now.Sub(m.sweptAt) >= m.cfg.SweepInterval {
		m.sweptAt = now
		m.sweep(ctx, live, now)
	}
}

// Idle implements duty.Idler.
func (m *Manager) Idle() bool { return m.idle }

// renewInterval returns the time between two renewals of this daemon. Until its first
// renewal is in the journal, it renews as an active daemon.
func (m *Manager) renewInterval(s *jobreplica.Snapshot, now time.Time) time.Duration {
	if s.StartMillis[m.cfg.Self] != m.cfg.StartMillis {
		return m.cfg.Roster.RenewInterval
	}
	return m.cfg.Roster.Interval(m.cfg.Self, s.Members(), now)
}

// configVersion returns the version of this daemon's configuration, or 0 if it has
// none.
func (m *Manager) configVersion() uint64 {
	if t := m.deps.View().Table; t != nil {
		return t.Version()
	}
	return 0
}

// acquireLeases proposes the lease changes for which it is this daemon's turn.
func (m *Manager) acquireLeases(s *jobreplica.Snapshot, live map[api.DaemonID]bool, now time.Time) {
	if s.StartMillis[m.cfg.Self] != m.cfg.StartMillis {
		return // this process's first renewal is not in the journal yet
	}
	v := m.deps.View()
	if v.Table == nil {
		return
	}
	in := leases.Input{Self: m.cfg.Self, Live: live, Capacity: s.Capacity, Held: s.Upstreams, Listed: v.Upstreams, Table: v.Table, Locality: m.cfg.Locality}
	in.DataCentres = make(map[api.DaemonID]api.DataCentre, len(live))
	for d := range live {
		in.DataCentres[d] = s.Daemons[d].DataCentre
	}
	in.SkippedTurns = m.skippedTurns(leases.Unheld(in), now)
	for _, r := range m.confirmRemovals(leases.Plan(in), v, now) {
		id := upstreamOf(r)
		if now.Sub(m.proposedAt[id]) < m.cfg.ProposalTimeout {
			continue
		}
		m.proposedAt[id] = now
		m.log.Info("lease change proposed", zap.String("upstream", string(id)), zap.Int("live_daemons", len(live)),
			zap.Uint64("applied", uint64(s.NextOffset)), zap.Any("record", r))
		m.propose(r)
	}
}

// confirmRemovals leaves out the removals of upstreams that are missing only from this
// daemon's list, which may not be read yet, or be older than the one by which another daemon
// acquired the lease.
func (m *Manager) confirmRemovals(plan []batch.Record, v *directory.View, now time.Time) []batch.Record {
	var missing []api.UpstreamID
	for _, r := range plan {
		if removal, ok := r.(*batch.UpstreamRemoved); ok {
			missing = append(missing, removal.Upstream)
		}
	}
	confirmed := m.unlisted.Confirm(missing, v.UpstreamsAsOf, now)
	return slices.DeleteFunc(plan, func(r batch.Record) bool {
		removal, ok := r.(*batch.UpstreamRemoved)
		return ok && !slices.Contains(confirmed, removal.Upstream)
	})
}

// skippedTurns returns for each unheld upstream how many daemons' turns to acquire
// it have passed.
func (m *Manager) skippedTurns(unheld []api.UpstreamID, now time.Time) map[api.UpstreamID]int {
	out := make(map[api.UpstreamID]int, len(unheld))
	since := make(map[api.UpstreamID]time.Time, len(unheld))
	for _, id := range unheld {
		since[id] = now
		if at, ok := m.unheldSince[id]; ok {
			since[id] = at
		}
		out[id] = int(now.Sub(since[id]) / m.cfg.TurnTimeout)
	}
	m.unheldSince = since
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

func (m *Manager) propose(r batch.Record) {
	if err := m.deps.Propose(r, m.cfg.ProposalTimeout); err != nil {
		m.log.Warn("proposal dropped", zap.Any("record", r), zap.Error(err))
	}
}

// Stop stops the duty. Errors: ctx.Err().
func (m *Manager) Stop(ctx context.Context) error { return m.duty.Stop(ctx) }
