// Package hosted wires the parts of a daemon that runs on the users' platform,
// in one place.
package hosted

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmountd/internal/accept"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/loglines"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/settings"
	"dotterelmount.example/lib/sockets"
	"dotterelmount.example/platform/entry"
	"dotterelmount.example/platform/feed"
	"dotterelmount.example/platform/servers"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/book"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"dotterelmount.example/server/follow"
	"dotterelmount.example/server/keeper"
	"dotterelmount.example/server/relay"
	"dotterelmount.example/server/runner"
	"dotterelmount.example/server/upkeep"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// exitInternalError is the exit status after a defect.
const exitInternalError = 70

// Node is a running daemon.
type Node struct {
	settings  *settings.Hosted
	log       *loglines.Log
	system    *duty.System
	client    *servers.Client
	follower  *follow.Watcher
	committer *committer.Committer
	// chunkCommitter appends chunks to this daemon's partition of them.
	chunkCommitter *committer.Committer
	chunkPartition int
	chunkReader    *chunks.Reader
	replica        atomic.Pointer[book.JobReplica]
	runner         *runner.Runner
	keeper         *keeper.Manager
	upkeep         *upkeep.Upkeep
	relay          *relay.Relay
	callers        *http.Server
	readiness      *http.Server
	metrics        *http.Server
	// stopping daemons are not ready and close connections after their answer.
	stopping atomic.Bool
}

// Start starts a daemon. Errors: an address that can't be listened on.
func Start(s *settings.Hosted) (*Node, error) {
	n := &Node{settings: s, client: servers.New()}
	n.system = duty.NewSystem(n.onPanic)
	n.log = loglines.Start(n.system, os.Stdout)
	n.log.Logger = n.log.With(zap.String("daemon", s.Daemon))
	invariant.OnViolation(n.onViolation)
	n.log.Info("starting", zap.String("data_centre", s.DataCentre), zap.String("callers", s.CallerAddress), zap.String("store", s.StoreAddress))
	if s.Retention < s.JobRetention {
		n.log.Warn("the store keeps records shorter than jobs are to be readable",
			zap.Duration("retention", s.Retention), zap.Duration("remember", s.JobRetention))
	}
	st := store.New(s.StoreAddress)
	n.startFollower(st)
	process := fmt.Sprintf("%s/%s", s.Daemon, uuid.Must(uuid.NewV7()))
	n.startRelay(process)
	n.startChunks(st, process)
	n.startJobs(st.Partition(replay.Topic, 0), process)
	if err := n.serve(); err != nil {
		return nil, err
	}
	n.log.Info("serving", zap.String("listening", s.CallerAddress))
	return n, nil
}

// View returns what the platform says of the deployment.
func (n *Node) View() *directory.View { return n.follower.View() }

func (n *Node) startFollower(st *store.Client) {
	n.follower = follow.Start(n.system, followConfig, n.log.Logger, []follow.FeedConfig{
		{Name: "operator", Feed: feed.NewOperator(st), MinReadInterval: operatorReadInterval},
		{Name: "servers", Feed: feed.NewServers(st), MinReadInterval: serversReadInterval, ListsUpstreams: true},
	}, n.onViewChange)
}

// onViewChange lets go of connections to upstreams that are gone.
func (n *Node) onViewChange(v *directory.View) {
	addresses := make(map[string]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		addresses[u.Address] = true
	}
	n.client.PruneConnections(func(address string) bool { return addresses[address] })
}

func (n *Node) startJobs(j journal.Journal, process string) {
	self := api.DaemonID(n.settings.Daemon)
	starts := time.Now().UnixMilli()
	n.committer = n.startCommitter(j, replay.Topic, process)

	runs := runnerConfig
	runs.Self, runs.Process, runs.Workers = self, process, n.settings.Workers
	n.runner = runner.Start(n.system, runs, runner.Deps{
		Engine: n.client, View: n.View, StoreText: n.storeText, PostText: n.postText, Prompt: n.chunkReader.ReadChunk, Propose: func(r batch.Record) error { return n.propose(r, 0) },
		OnOutcome:       func(o generation.Outcome) { n.upkeep.ReportOutcome(o) }, // upkeep starts before there are runs
		LeasedUpstreams: func() []batch.Upstream { return n.leaseSnapshot().Upstreams },
	}, n.log.Logger)

	keeps := keeperConfig
	keeps.Self, keeps.StartMillis = self, starts
	n.keeper = keeper.Start(n.system, keeps, keeper.Deps{
		Propose: n.propose, Snapshot: n.leaseSnapshot, LastFullRead: n.lastFullRead, View: n.View, OpenItems: n.openItems,
	}, n.log.Logger)

	keepUp := upkeepConfig
	keepUp.Self, keepUp.LeaseWait, keepUp.LoadShare = self, n.settings.LeaseWait, n.settings.LoadShare
	n.upkeep = upkeep.Start(n.system, keepUp, upkeep.Deps{
		Engine: n.client, View: n.View, Snapshot: n.leaseSnapshot, Propose: n.propose,
	}, n.log.Logger)

	// The book comes last: what it tells goes to all of the above.
	books := bookConfig
	books.Daemon, books.JobRetention = self, n.settings.JobRetention
	books.ReadsPerSecond = int(journalShare * float64(n.settings.StoreReadsPerSecond))
	n.replica.Store(book.Start(n.system, j, books, book.Callbacks{RunsChanged: n.runner.Update, RequestCrashed: func(r *batch.RequestCrashed) {
		if r.Process != process {
			n.relay.AddCrashes(r.ContentHash, r.UpstreamsLost)
		}
	}}, n.log.Logger))
}

// leaseSnapshot returns what the journal says of leases; nothing before the book runs.
func (n *Node) leaseSnapshot() *book.Snapshot {
	if b := n.replica.Load(); b != nil {
		return b.Snapshot()
	}
	return &book.Snapshot{}
}

// lastFullRead returns when the journal was last read to its end; the zero time before.
func (n *Node) lastFullRead() time.Time {
	if b := n.replica.Load(); b != nil {
		return b.LastFullRead()
	}
	return time.Time{}
}

func (n *Node) openItems(ctx context.Context) ([]batch.OpenItem, error) {
	return n.replica.Load().OpenItems(ctx)
}

func (n *Node) startRelay(process string) {
	cfg := relayConfig
	cfg.OnCrashes = func(content uint64, lost int) {
		r := &batch.RequestCrashed{ContentHash: content, UpstreamsLost: lost, Process: process}
		if err := n.propose(r, crashReportTimeout); err != nil {
			n.log.Warn("crashes under a request not told to other daemons", zap.Uint64("content", content), zap.Error(err))
		}
	}
	cfg.Chooser = opaque.Chooser{Daemon: api.DaemonID(n.settings.Daemon), DataCentre: api.DataCentre(n.settings.DataCentre), BusyThreshold: relayBusyThreshold}
	n.relay = relay.Start(n.system, cfg, n.log.Logger, n.client, n.View)
}

// ready reports whether new connections are wanted: the configuration and the
// upstreams are known, and the journal could be read just now.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.View().Table != nil && n.follower.Loaded() &&
		time.Since(n.lastFullRead()) < maxJournalReadAge
}

func (n *Node) serve() error {
	h := entry.New(entry.Config{
		Relay: n.relay, Jobs: &jobStore{n}, View: n.View, Ready: n.ready, Stopping: n.stopping.Load,
		Observer: recorder, Log: n.log.Logger, RetryAfter: retryAfter, Now: time.Now,
	})
	n.callers = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.readiness = &http.Server{Handler: h.Readiness(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.metrics = &http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	for _, l := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", n.settings.CallerAddress, n.callers}, {"readiness", n.settings.ReadinessAddress, n.readiness}, {"metrics", n.settings.MetricsAddress, n.metrics},
	} {
		if l.address == "" {
			continue
		}
		if err := n.listen(l.name, l.address, l.server); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listen(name, address string, server *http.Server) error {
	cfg := net.ListenConfig{Control: sockets.SetUserTimeout}
	listener, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return api.Errorf(api.CodeInvalid, "%s: %w", name, err)
	}
	accept.Serve(n.system, name, server, listener, n.log.Logger)
	return nil
}

// Reload logs that the settings changed: a daemon reads them at its start.
func (n *Node) Reload() { n.log.Info("settings changed; they hold from the next start on") }

// Shutdown stops gracefully: new connections go elsewhere, leases are given
// up, and requests in progress end by themselves. Errors: ctx.Err().
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("stopping", zap.Duration("grace", n.settings.ShutdownTimeout))
	ctx, cancel := context.WithTimeout(ctx, n.settings.ShutdownTimeout-stopMargin)
	defer cancel()
	n.stopping.Store(true)
	if err := n.runner.Stop(ctx); err != nil {
		n.log.Warn("runs did not end", zap.Error(err))
	}
	if err := n.keeper.Leave(); err != nil {
		n.log.Warn("leases not given up", zap.Error(err))
	}
	duty.Sleep(ctx, lingerTime)
	err := n.callers.Shutdown(ctx)
	n.log.Info("stopped", zap.Error(err))
	return errors.Join(err, n.log.Stop(ctx))
}

func (n *Node) onViolation(v *invariant.Violation) {
	n.log.Error("invariant violated", zap.String("invariant", v.Name), zap.String("detail", v.Detail))
	if n.settings.FatalInvariants {
		os.Exit(exitInternalError)
	}
}

func (n *Node) onPanic(p *duty.Panic) {
	fmt.Fprintf(os.Stderr, "%v\n%s\n", p, p.Stack)
	os.Exit(exitInternalError)
}
