package leases

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"gotest.tools/v3/assert"
)

var roster = Roster{MaxActive: 48, RenewInterval: 350 * time.Millisecond, IdleInterval: 30 * time.Second, TTL: 1500 * time.Millisecond}

// fleet is a simulation of daemons that renew and lease upstreams according to this
// package, on a simulated clock. The journal is read without delay.
type fleet struct {
	t        *testing.T
	now      time.Time
	members  Members
	dead     map[api.DaemonID]bool
	renewals int
	listed   map[api.UpstreamID]*directory.Upstream
}

func newFleet(t *testing.T, large, small, upstreams int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), dead: make(map[api.DaemonID]bool),
		members: Members{LastRenewals: make(map[api.DaemonID]time.Time), Capacity: make(map[api.DaemonID]int)},
	}
	for i := range large + small {
		d := api.DaemonID(fmt.Sprint("d", i))
		f.members.LastRenewals[d], f.members.Capacity[d] = f.now, 192
		if i < large {
			f.members.Capacity[d] = 800
		}
	}
	ids := make([]api.UpstreamID, upstreams)
	for i := range ids {
		ids[i] = api.UpstreamID(fmt.Sprint("u", i))
	}
	f.listed = listed(ids...)
	return f
}

// advance plays a duration in steps of 100 ms.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for d, at := range f.members.LastRenewals {
			if !f.dead[d] && f.now.Sub(at) >= roster.RenewInterval && f.now.Sub(at) >= roster.Interval(d, f.members, f.now) {
				f.members.LastRenewals[d] = f.now
				f.renewals++
			}
		}
		live := roster.Live(f.members, f.now)
		for d := range live {
			if f.dead[d] {
				continue
			}
			in := Input{Self: d, Live: live, Capacity: f.members.Capacity, Held: f.members.Upstreams, Listed: f.listed, Table: table}
			for _, r := range Plan(in) {
				f.acquire(r.(*batch.LeaseAcquired))
			}
		}
	}
}

func (f *fleet) acquire(r *batch.LeaseAcquired) {
	for i := range f.members.Upstreams {
		if f.members.Upstreams[i].ID == r.Upstream {
			f.members.Upstreams[i].Holder = r.Daemon
			return
		}
	}
	f.members.Upstreams = append(f.members.Upstreams, batch.Upstream{ID: r.Upstream, Service: "s", Holder: r.Daemon})
}

// leases returns the number of leases by daemon.
func (f *fleet) leases() map[api.DaemonID]int {
	out := make(map[api.DaemonID]int)
	for _, u := range f.members.Upstreams {
		out[u.Holder]++
	}
	return out
}

// Plays a deployment of 295 daemons with 104 engines: the renewals of all together
// leave most of the journal's 500 appends a second to the jobs, and only daemons on
// large hosts hold leases.
func TestRenewalsDoNotGrowWithTheDeployment(t *testing.T) {
	f := newFleet(t, 63, 232, 104)
	f.advance(5 * time.Second) // the first leases
	f.renewals = 0
	f.advance(10 * time.Second)
	assert.Assert(t, f.renewals/10 < 200, "%d renewals a second", f.renewals/10)
	held := f.leases()
	total := 0
	for d, n := range held {
		assert.Equal(t, f.members.Capacity[d], 800, "%s", d)
		assert.Assert(t, n <= 3, "%s holds %d", d, n)
		total += n
	}
	assert.Equal(t, total, 104)
}

// All daemons of a small deployment hold leases, evenly.
func TestSmallDeploymentUsesAllDaemons(t *testing.T) {
	f := newFleet(t, 13, 0, 12)
	f.advance(2 * time.Second)
	for d, n := range f.leases() {
		assert.Equal(t, n, 1, "%s", d)
	}
}

// After the loss of most daemons with leases, the others take over within two seconds
// of the expiry, on whatever hosts are left.
func TestIdleDaemonsReplaceLostOnes(t *testing.T) {
	f := newFleet(t, 63, 232, 104)
	f.advance(5 * time.Second)
	for d := range f.members.LastRenewals {
		f.dead[d] = f.members.Capacity[d] == 800
	}
	f.advance(roster.TTL + 2*time.Second)
	total := 0
	for d, n := range f.leases() {
		assert.Assert(t, !f.dead[d], "%s is dead", d)
		total += n
	}
	assert.Equal(t, total, 104)
	assert.Assert(t, len(f.leases()) >= roster.MaxActive/2, "%d holders", len(f.leases()))
}

// Guards against leases that stand idle at daemons that can't reach the upstreams: three
// fifths of the daemons are cut off, and the others hold all leases within two seconds. They keep
// them when all daemons are cut off.
func TestCutOffDaemonsHoldNoLeasesWhileOthersReachUpstreams(t *testing.T) {
	for name, size := range map[string]struct{ large, small, upstreams int }{"small": {13, 0, 12}, "hundreds": {63, 232, 104}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, size.large, size.small, size.upstreams)
			f.advance(5 * time.Second)
			f.members.CutOff = make(map[api.DaemonID]bool)
			for i := range (size.large + size.small) * 3 / 5 {
				f.members.CutOff[api.DaemonID(fmt.Sprint("d", i))] = true
			}
			f.advance(2 * time.Second)
			total := 0
			for d, n := range f.leases() {
				assert.Check(t, !f.members.CutOff[d], "%s is cut off", d)
				total += n
			}
			assert.Equal(t, total, size.upstreams)
			before := f.leases()
			for d := range f.members.LastRenewals {
				f.members.CutOff[d] = true
			}
			f.advance(2 * time.Second)
			assert.DeepEqual(t, f.leases(), before)
		})
	}
}
