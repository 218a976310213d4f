package gossip_test

import (
	"context"
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/server/gossip"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeReplica is a ConfigReplica that keeps all its records.
type fakeReplica struct {
	mu      sync.Mutex
	entries []eventlog.Entry
}

func (r *fakeReplica) AppliedOffset() api.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return api.Offset(len(r.entries))
}

func (r *fakeReplica) Tail(from api.Offset, limit int) []eventlog.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := min(int(max(from, 1))-1, len(r.entries))
	return r.entries[start:min(start+limit, len(r.entries))]
}

func (r *fakeReplica) Offer(entries []eventlog.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if int(e.Offset) == len(r.entries)+1 {
			r.entries = append(r.entries, e)
		}
	}
}

func (r *fakeReplica) Image(context.Context) ([]byte, error) { return nil, nil }

func (r *fakeReplica) InstallImage([]byte) {}

func records(from, to int) []eventlog.Entry {
	var entries []eventlog.Entry
	for i := from; i <= to; i++ {
		id := api.RecordID(strconv.Itoa(i))
		entries = append(entries, eventlog.Entry{Offset: api.Offset(i), Record: eventlog.Record{ID: id, Payload: []byte(id)}})
	}
	return entries
}

// handler implements only the gossip part of the peer protocol.
type handler struct {
	*gossip.Gossip
	peer.SharesHandler
}

type daemon struct {
	id      api.DaemonID
	addr    string
	replica *fakeReplica
	gossip  *gossip.Gossip
	server  *peer.Server
	client  *peer.Client
	strikes chan api.Strike // of other daemons
}

func fastProtocol() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.ProbeInterval = 200 * time.Millisecond
	cfg.ProbeTimeout = 200 * time.Millisecond
	cfg.MinSuspicion = 600 * time.Millisecond
	return cfg
}

func start(t testing.TB, id, addr string, protocol membership.Config, seeds ...string) *daemon {
	t.Helper()
	d := &daemon{id: api.DaemonID(id), replica: &fakeReplica{}, client: peer.NewClient(), strikes: make(chan api.Strike, 8)}
	listener, err := peer.Listen(addr)
	assert.NilError(t, err)
	d.addr = listener.Addr().String()
	cfg := gossip.Config{
		Self: membership.Member{
			ID: d.id, PeerAddress: d.addr, CallerAddress: d.addr, DataCentre: "sapporo-a",
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Seeds:    seeds,
		Protocol: protocol,
		OnPeerStrike: func(s api.Strike) error {
			d.strikes <- s
			return nil
		},
	}
	assert.NilError(t, cfg.Validate())
	d.gossip = gossip.Start(duty.NewSystem(nil), cfg, d.client, d.replica)
	d.server, err = peer.Start(duty.NewSystem(nil), listener, handler{Gossip: d.gossip})
	assert.NilError(t, err)
	return d
}

func (d *daemon) shutdown(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(t, d.server.Shutdown(ctx))
	assert.NilError(t, d.gossip.Stop(ctx))
	d.client.Close()
}

func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(90*time.Second), poll.WithDelay(20*time.Millisecond))
}

func allHaveLive(daemons []*daemon, live int) func() bool {
	return func() bool {
		for _, d := range daemons {
			if len(d.gossip.Live()) != live {
				return false
			}
		}
		return true
	}
}

func memberOf(d *daemon, id api.DaemonID) membership.Member {
	for _, m := range d.gossip.Members() {
		if m.ID == id {
			return m
		}
	}
	return membership.Member{}
}

func TestDaemonsExchangeMembersAndRecords(t *testing.T) {
	first := start(t, "entry-0", "127.0.0.1:0", fastProtocol())
	daemons := []*daemon{first}
	for i := 1; i < 5; i++ {
		daemons = append(daemons, start(t, fmt.Sprintf("entry-%d", i), "127.0.0.1:0", fastProtocol(), first.addr))
	}
	waitFor(t, "all join", allHaveLive(daemons, 5))

	daemons[3].replica.Offer(records(1, 300))
	daemons[3].gossip.OffsetAdvanced(300)
	waitFor(t, "all daemons have the records offered to one", func() bool {
		for _, d := range daemons {
			if d.replica.AppliedOffset() != 300 {
				return false
			}
		}
		return true
	})
	waitFor(t, "one daemon sees that all have applied the records", func() bool {
		for _, m := range first.gossip.Members() {
			if m.AppliedOffset != 300 {
				return false
			}
		}
		return true
	})

	restarted := daemons[4]
	old := memberOf(first, restarted.id)
	restarted.shutdown(t)
	rest := daemons[:4]
	waitFor(t, "all see the stopped daemon as dead", allHaveLive(rest, 4))
	assert.Equal(t, memberOf(first, restarted.id).Status, membership.Dead)

	daemons[4] = start(t, string(restarted.id), restarted.addr, fastProtocol(), first.addr)
	waitFor(t, "restarted daemon has rejoined and has all records", func() bool {
		return allHaveLive(daemons, 5)() && daemons[4].replica.AppliedOffset() == 300
	})
	assert.Assert(t, memberOf(first, restarted.id).Incarnation > old.Incarnation)

	daemons[1].gossip.MarkStopping()
	waitFor(t, "daemon is seen as stopping", func() bool { return memberOf(first, "entry-1").Stopping })
	assert.NilError(t, daemons[1].gossip.Leave(t.Context()))
	waitFor(t, "daemon is seen as left", func() bool { return memberOf(first, "entry-1").Status == membership.Left })
	assert.Assert(t, !first.gossip.LastPeerContact().IsZero())
	for _, d := range daemons {
		d.shutdown(t)
	}
}

// BenchmarkIdle measures traffic, CPU time and dials of idle daemons with the default
// protocol, in one process. Bytes are counted at both ends of the connections,
// without TCP and IP headers.
func BenchmarkIdle(b *testing.B) {
	const measured = 15 * time.Second
	for _, size := range []int{4, 8, 16, 32} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			var daemons []*daemon
			seed := ""
			for i := range size {
				d := start(b, fmt.Sprintf("entry-%02d", i), "127.0.0.1:0", membership.DefaultConfig(), seed)
				daemons = append(daemons, d)
				seed = daemons[0].addr
			}
			waitFor(b, "all join", allHaveLive(daemons, size))
			sleep(b, 10*time.Second)
			bytes, cpu, dials := peerBytes(), cpuTime(), peerCounter("dials")
			sleep(b, measured)
			perDaemon := measured.Seconds() * float64(size)
			b.ReportMetric(float64(peerBytes()-bytes)/perDaemon, "B/s/daemon")
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()/perDaemon, "%core/daemon")
			b.ReportMetric(float64(peerCounter("dials")-dials)/perDaemon, "dials/s/daemon")
			b.ReportMetric(0, "ns/op")
			for _, d := range daemons {
				d.shutdown(b)
			}
		})
	}
}

// sleep waits for d or until the benchmark ends.
func sleep(b *testing.B, d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.Context().Done():
	}
}

func peerCounter(name string) int64 {
	v, ok := expvar.Get("peer").(*expvar.Map).Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

func peerBytes() int64 { return peerCounter("bytes_in") + peerCounter("bytes_out") }

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestStrikesReachTheLiveDaemons(t *testing.T) {
	a := start(t, "entry-a", "127.0.0.1:0", fastProtocol())
	defer a.shutdown(t)
	b := start(t, "entry-b", "127.0.0.1:0", fastProtocol(), a.addr)
	defer b.shutdown(t)
	c := start(t, "entry-c", "127.0.0.1:0", fastProtocol(), a.addr)
	defer c.shutdown(t)
	waitFor(t, "a knows b and c", func() bool { return len(a.gossip.Live()) == 3 })
	strike := api.Strike{Fingerprint: 1 << 63, Upstream: "u", Alone: true}
	assert.NilError(t, a.gossip.ShareStrike(strike))
	for _, d := range []*daemon{b, c} {
		select {
		case got := <-d.strikes:
			assert.Equal(t, got, strike)
		case <-time.After(10 * time.Second):
			t.Fatalf("%s got no strike", d.id)
		}
	}
	assert.Equal(t, len(a.strikes), 0, "a daemon does not report to itself")
}
