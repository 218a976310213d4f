package leasing

import (
	"context"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/upgrade"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// testManager is a Manager without its duty and with a settable clock.
type testManager struct {
	*Manager
	now          time.Time
	lastFullRead time.Time
	snapshot     jobreplica.Snapshot
	proposed     []batch.Record
	view         *directory.View
	open         []batch.OpenItem
}

func newTestManager(t *testing.T) *testManager {
	t.Helper()
	m := &testManager{now: time.Unix(1000, 0)}
	m.view = directory.NewView().Apply([]directory.Change{
		directory.ConfigChanged{Config: routes.Config{Version: 1, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{}}}}},
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s", Slots: 4}},
	})
	m.Manager = newManager(Config{
		Self: "d", StartMillis: 5, Roster: leases.Roster{MaxActive: 48, RenewInterval: 350 * time.Millisecond, IdleInterval: 30 * time.Second, TTL: 1500 * time.Millisecond}, TurnTimeout: 500 * time.Millisecond,
		MaxReadAge: 700 * time.Millisecond, ProposalTimeout: time.Second, SweepInterval: time.Hour, Now: func() time.Time { return m.now },
	}, Deps{
		Propose: func(r batch.Record, _ time.Duration) error {
			m.proposed = append(m.proposed, r)
			return nil
		},
		Snapshot:     func() *jobreplica.Snapshot { return &m.snapshot },
		LastFullRead: func() time.Time { return m.lastFullRead },
		View:         func() *directory.View { return m.view },
		CutOff:       func() bool { return false }, OpenItems: func(context.Context) ([]batch.OpenItem, error) { return m.open, nil },
	}, zap.NewNop())
	m.snapshot = jobreplica.Snapshot{
		Upstreams:    []batch.Upstream{{ID: "u", Service: "s", Holder: "other", LeaseOffset: 3}},
		LastRenewals: map[api.DaemonID]time.Time{"d": m.now, "other": m.now},
		StartMillis:  map[api.DaemonID]int64{"d": 5},
	}
	return m
}

// proposes makes a tick, at which this daemon's renewal and the journal are recent, after
// some time and reports whether a record of type T was proposed.
func proposes[T batch.Record](t *testing.T, m *testManager, after time.Duration) bool {
	t.Helper()
	m.now, m.proposed = m.now.Add(after), nil
	m.lastFullRead, m.snapshot.LastRenewals["d"] = m.now, m.now
	m.Tick(t.Context())
	return slices.ContainsFunc(m.proposed, func(r batch.Record) bool {
		_, ok := r.(T)
		return ok
	})
}

// countAcquired returns the number of leases acquired since the last call.
func (m *testManager) countAcquired() int {
	n := 0
	for _, r := range m.proposed {
		if _, ok := r.(*batch.LeaseAcquired); ok {
			n++
		}
	}
	m.proposed = nil
	return n
}

func TestExpiredLeaseIsAcquired(t *testing.T) {
	m := newTestManager(t)
	for at := time.Duration(0); at <= 3*time.Second; at += 100 * time.Millisecond {
		m.now = time.Unix(1000, 0).Add(at)
		m.lastFullRead, m.snapshot.LastRenewals["d"] = m.now, m.now
		m.Tick(t.Context())
		if m.countAcquired() > 0 {
			assert.Assert(t, at >= 1500*time.Millisecond && at <= 1700*time.Millisecond, "%v", at)
			return
		}
	}
	t.Fatal("lease was never acquired")
}

// While the journal cannot be read, a daemon does not see the renewals of others.
// It must not propose to acquire their leases, because the queued proposals would
// take effect when the journal recovers.
func TestNoLeaseIsAcquiredWhileReadsFail(t *testing.T) {
	m := newTestManager(t)
	m.snapshot.LastRenewals["d"] = m.now.Add(300 * time.Millisecond) // its own last renewal is newer
	m.lastFullRead = m.now.Add(300 * time.Millisecond)
	for at := time.Duration(0); at <= 5*time.Second; at += 100 * time.Millisecond {
		m.now = time.Unix(1000, 0).Add(at)
		m.Tick(t.Context())
		assert.Equal(t, m.countAcquired(), 0, "%v", at)
	}
}

// Guards against items that are listed as errored by a daemon that hasn't read the
// configuration under which another daemon accepted them.
func TestItemOfRouteNotReadYetIsNotExpired(t *testing.T) {
	m := newTestManager(t)
	m.cfg.SweepInterval = 0
	m.open = []batch.OpenItem{{ItemKey: batch.ItemKey{Job: "j", Item: "i"}, Host: "h", Path: "/new/x", TimeoutMillis: time.Hour.Milliseconds()}}
	expired := func() bool { return proposes[*batch.ItemExpired](t, m, 100*time.Millisecond) }
	begin := m.now
	m.view = m.view.ReadAt(begin.Add(-time.Second), time.Time{})
	for range 50 {
		assert.Assert(t, !expired(), "%v after the item was seen", m.now.Sub(begin))
	}
	without := m.view
	m.view = m.view.ReadAt(m.now, time.Time{}).Apply([]directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 2, Routes: []routes.Route{{Host: "h", Prefix: "/new/"}}}}})
	assert.Assert(t, !expired(), "the route is there")
	m.view = without
	assert.Assert(t, !expired())
	m.view = without.ReadAt(m.now.Add(time.Millisecond), time.Time{})
	assert.Assert(t, expired(), "the route was removed")
}

// Guards against a starting daemon that gives up the upstreams it holds before it has read
// the list of upstreams.
func TestUpstreamMissingFromListNotReadYetIsNotRemoved(t *testing.T) {
	m := newTestManager(t)
	m.snapshot.Upstreams[0].Holder = "d"
	loaded := m.view
	m.view = directory.NewView().Apply([]directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 1}}})
	removed := func() bool { return proposes[*batch.UpstreamRemoved](t, m, 100*time.Millisecond) }
	for range 20 {
		assert.Assert(t, !removed(), "the list was not read")
	}
	m.view = loaded.ReadAt(time.Time{}, m.now)
	assert.Assert(t, !removed(), "the upstream is listed")
	m.view = m.view.Apply([]directory.Change{directory.UpstreamUnlisted{ID: "u"}})
	assert.Assert(t, !removed(), "the list may be older than the lease")
	m.view = m.view.ReadAt(time.Time{}, m.now.Add(time.Millisecond))
	assert.Assert(t, removed())
}

// Guards against a level that a starting daemon announces before it has read of the others.
func TestRenewalBeforeTheFirstReadClaimsNoLevel(t *testing.T) {
	m := newTestManager(t)
	m.cfg.Levels = upgrade.Config{Silence: 40 * time.Second}
	renewal := func() *batch.DaemonAlive {
		m.now, m.proposed = m.now.Add(time.Second), nil
		m.Tick(t.Context())
		return m.proposed[0].(*batch.DaemonAlive)
	}
	m.snapshot = jobreplica.Snapshot{}
	assert.Equal(t, renewal().LevelInForce, 0, "nothing was read")
	m.snapshot = jobreplica.Snapshot{NextOffset: 3, Daemons: map[api.DaemonID]batch.Daemon{"d": {RecordLevel: batch.RecordLevel}}}
	m.lastFullRead = m.now
	assert.Equal(t, renewal().LevelInForce, batch.RecordLevel)
}
