package throttle

import (
	"context"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// fixture is a Throttle without its duty, on a simulated clock.
type fixture struct {
	*Throttle
	now      time.Time
	lastRead time.Time
	proposed []batch.Record
	cutOff   bool
}

func newFixture() *fixture {
	f := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	f.lastRead = f.now
	f.Throttle = New(Config{
		Self: "d1", ReportInterval: time.Second, MaxReadAge: 2 * time.Second, Now: func() time.Time { return f.now },
	}, zap.NewNop())
	view := directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u"}}})
	f.deps = Deps{
		View: func() *directory.View { return view },
		Snapshot: func() *jobreplica.Snapshot {
			return &jobreplica.Snapshot{LastRenewals: map[api.DaemonID]time.Time{"d1": {}, "d2": {}}}
		},
		LastFullRead: func() time.Time { return f.lastRead }, CutOff: func() bool { return f.cutOff },
		Propose: func(r batch.Record, _ time.Duration) error { f.proposed = append(f.proposed, r); return nil },
	}
	return f
}

func (f *fixture) handle(m any) { f.Handle(context.Background(), m) }

// advance lets time pass in ticks; readable says whether the log can be read.
func (f *fixture) advance(d time.Duration, readable bool) {
	const tick = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		if readable {
			f.lastRead = f.now
		}
		f.Tick(context.Background())
	}
}

func (f *fixture) takeProposed() []batch.Record {
	out := f.proposed
	f.proposed = nil
	return out
}

func (f *fixture) rate(t *testing.T) float64 {
	t.Helper()
	rate, ok := f.Buckets().Rate("u")
	assert.Assert(t, ok, "no limit")
	return rate
}

func TestLimitIsReportedSharedAndLifted(t *testing.T) {
	f := newFixture()
	f.handle(limitNamed{"u", 8})
	f.handle(limitNamed{"u", 8})
	assert.DeepEqual(t, f.takeProposed(), []batch.Record{&batch.RequestLimitNamed{Upstream: "u", PerSecond: 8}})
	assert.Equal(t, f.rate(t), 4.0, "no demand is known")
	f.Buckets().Want("u")
	f.advance(100*time.Millisecond, true)
	reported := f.takeProposed()[0].(*batch.DemandReported)
	assert.Equal(t, reported.Daemon, api.DaemonID("d1"))
	assert.Assert(t, reported.PerSecond["u"] > 0)
	f.handle(&batch.DemandReported{Daemon: "d1", PerSecond: map[api.UpstreamID]float64{"u": 3}})
	f.handle(&batch.DemandReported{Daemon: "d2", PerSecond: map[api.UpstreamID]float64{"u": 1}})
	f.advance(100*time.Millisecond, true)
	assert.Equal(t, f.rate(t), 6.0)
	f.now = f.now.Add(time.Second)
	f.handle(noLimitNamed{"u"})
	assert.DeepEqual(t, f.takeProposed(), []batch.Record{&batch.RequestLimitNamed{Upstream: "u"}})
	_, limited := f.Buckets().Rate("u")
	assert.Assert(t, !limited)
}

// A daemon without access to the log must not go on using a share that the others may
// have taken over.
func TestShareShrinksWhileLogIsUnreadable(t *testing.T) {
	f := newFixture()
	f.handle(&batch.RequestLimitNamed{Upstream: "u", PerSecond: 8})
	f.handle(&batch.DemandReported{Daemon: "d1", PerSecond: map[api.UpstreamID]float64{"u": 9}})
	f.advance(100*time.Millisecond, true)
	assert.Equal(t, f.rate(t), 8.0)
	f.advance(3*time.Second, false)
	assert.Equal(t, f.rate(t), 4.0)
}

func TestLimitJustNamedIsReportedAgainIfAnotherDaemonLiftsIt(t *testing.T) {
	f := newFixture()
	f.handle(limitNamed{"u", 8})
	f.takeProposed()
	f.handle(&batch.RequestLimitNamed{Upstream: "u"})
	assert.DeepEqual(t, f.takeProposed(), []batch.Record{&batch.RequestLimitNamed{Upstream: "u", PerSecond: 8}})
	assert.Equal(t, f.rate(t), 4.0)
	f.now = f.now.Add(2 * time.Second)
	f.handle(&batch.RequestLimitNamed{Upstream: "u"})
	_, limited := f.Buckets().Rate("u")
	assert.Assert(t, !limited)
}

func TestDemandEndsWithAnEmptyReport(t *testing.T) {
	f := newFixture()
	f.handle(limitNamed{"u", 8})
	f.Buckets().Want("u")
	f.advance(10*time.Second, true)
	records := f.takeProposed()
	last := records[len(records)-1].(*batch.DemandReported)
	assert.Equal(t, len(last.PerSecond), 0)
	f.advance(5*time.Second, true)
	assert.Equal(t, len(f.takeProposed()), 0)
}

// Guards against a share of a request limit that stands idle while its daemon is cut off.
func TestCutOffDaemonGivesUpItsShareAtOnce(t *testing.T) {
	f := newFixture()
	f.handle(limitNamed{"u", 8})
	for range 30 {
		f.Buckets().Want("u")
		f.advance(100*time.Millisecond, true)
	}
	assert.Assert(t, f.wanted["u"] > 5, "%v", f.wanted)
	f.takeProposed()
	f.cutOff = true
	f.advance(100*time.Millisecond, true)
	assert.DeepEqual(t, f.takeProposed(), []batch.Record{&batch.DemandReported{Daemon: "d1", PerSecond: map[api.UpstreamID]float64{}}})
	f.advance(2*time.Second, true)
	assert.Equal(t, len(f.takeProposed()), 0, "nothing is left to report")
	f.cutOff = false
	f.Buckets().Want("u")
	f.advance(100*time.Millisecond, true)
	assert.Assert(t, f.takeProposed()[0].(*batch.DemandReported).PerSecond["u"] > 0)
}
