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

// fakeReplica is a ledger that holds all its records.
type fakeReplica struct {
	mu      sync.Mutex
	entries []eventlog.Entry
}

func (l *fakeReplica) AppliedOffset() api.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return api.Offset(len(l.entries))
}

func (l *fakeReplica) Tail(from api.Offset, limit int) []eventlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := min(int(max(from, 1))-1, len(l.entries))
	return l.entries[start:min(start+limit, len(l.entries))]
}

func (l *fakeReplica) Offer(entries []eventlog.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if int(e.Offset) == len(l.entries)+1 {
			l.entries = append(l.entries, e)
		}
	}
}

func (l *fakeReplica) Image(context.Context) ([]byte, error) { return nil, nil }

func (l *fakeReplica) InstallImage([]byte) {}

func records(from, to int) []eventlog.Entry {
	var entries []eventlog.Entry
	for i := from; i <= to; i++ {
		id := api.RecordID(strconv.Itoa(i))
		entries = append(entries, eventlog.Entry{Offset: api.Offset(i), Record: eventlog.Record{ID: id, Payload: []byte(id)}})
	}
	return entries
}

// handler serves gossip alone.
type handler struct {
	*gossip.Gossip
	peer.SharesHandler
}

type daemon struct {
	id     api.DaemonID
	addr   string
	tail   *fakeReplica
	gossip *gossip.Gossip
	server *peer.Server
	client *peer.Client
}

func quick() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.ProbeInterval = 200 * time.Millisecond
	cfg.ProbeTimeout = 200 * time.Millisecond
	cfg.MinSuspicion = 600 * time.Millisecond
	return cfg
}

func start(t testing.TB, id, addr string, protocol membership.Config, seeds ...string) *daemon {
	t.Helper()
	d := &daemon{id: api.DaemonID(id), tail: &fakeReplica{}, client: peer.NewClient()}
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
	}
	assert.NilError(t, cfg.Validate())
	d.gossip = gossip.Start(duty.NewSystem(nil), cfg, d.client, d.tail)
	d.server, err = peer.Start(duty.NewSystem(nil), listener, handler{Gossip: d.gossip})
	assert.NilError(t, err)
	return d
}

func (d *daemon) kill(t testing.TB) {
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

func allSee(daemons []*daemon, live int) func() bool {
	return func() bool {
		for _, d := range daemons {
			if len(d.gossip.Live()) != live {
				return false
			}
		}
		return true
	}
}

func find(d *daemon, id api.DaemonID) membership.Member {
	for _, m := range d.gossip.Members() {
		if m.ID == id {
			return m
		}
	}
	return membership.Member{}
}

func TestFiveDaemons(t *testing.T) {
	first := start(t, "entry-0", "127.0.0.1:0", quick())
	daemons := []*daemon{first}
	for i := 1; i < 5; i++ {
		daemons = append(daemons, start(t, fmt.Sprintf("entry-%d", i), "127.0.0.1:0", quick(), first.addr))
	}
	waitFor(t, "all join", allSee(daemons, 5))

	daemons[3].tail.Offer(records(1, 300))
	daemons[3].gossip.OffsetAdvanced(300)
	waitFor(t, "records reach all from one", func() bool {
		for _, d := range daemons {
			if d.tail.AppliedOffset() != 300 {
				return false
			}
		}
		return true
	})
	waitFor(t, "one sees that they are in force everywhere", func() bool {
		for _, m := range first.gossip.Members() {
			if m.AppliedOffset != 300 {
				return false
			}
		}
		return true
	})

	killed := daemons[4]
	old := find(first, killed.id)
	killed.kill(t)
	rest := daemons[:4]
	waitFor(t, "death is seen by all", allSee(rest, 4))
	assert.Equal(t, find(first, killed.id).Status, membership.Dead)

	daemons[4] = start(t, string(killed.id), killed.addr, quick(), first.addr)
	waitFor(t, "restarted daemon is back and has all records", func() bool {
		return allSee(daemons, 5)() && daemons[4].tail.AppliedOffset() == 300
	})
	assert.Assert(t, find(first, killed.id).Incarnation > old.Incarnation)

	daemons[1].gossip.MarkStopping()
	waitFor(t, "stopping is seen", func() bool { return find(first, "entry-1").Stopping })
	assert.NilError(t, daemons[1].gossip.Leave(t.Context()))
	waitFor(t, "departure is seen", func() bool { return find(first, "entry-1").Status == membership.Left })
	assert.Assert(t, !first.gossip.LastPeerContact().IsZero())
	for _, d := range daemons {
		d.kill(t)
	}
}

// BenchmarkRest measures what daemons at rest spend, in one process: each has
// the production timing. Bytes are counted at both ends of the connections,
// without the headers of TCP and IP.
func BenchmarkRest(b *testing.B) {
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
			waitFor(b, "all join", allSee(daemons, size))
			rest(b, 10*time.Second)
			bytes, cpu, dials := traffic(), processor(), counter("dials")
			rest(b, measured)
			perDaemon := measured.Seconds() * float64(size)
			b.ReportMetric(float64(traffic()-bytes)/perDaemon, "B/s/daemon")
			b.ReportMetric(100*(processor()-cpu).Seconds()/perDaemon, "%core/daemon")
			b.ReportMetric(float64(counter("dials")-dials)/perDaemon, "dials/s/daemon")
			b.ReportMetric(0, "ns/op")
			for _, d := range daemons {
				d.kill(b)
			}
		})
	}
}

// rest waits while the daemons do what they do at rest.
func rest(b *testing.B, d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.Context().Done():
	}
}

func counter(name string) int64 {
	v, ok := expvar.Get("peer").(*expvar.Map).Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

func traffic() int64 { return counter("bytes_in") + counter("bytes_out") }

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
