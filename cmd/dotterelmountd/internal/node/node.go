// Package node wires the parts of one daemon together, in one place.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmountd/internal/accept"
	"dotterelmount.example/front/httpapi"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/httplog"
	"dotterelmount.example/lib/hostlist"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/settings"
	"dotterelmount.example/lib/upstream/httpupstream"
	"dotterelmount.example/server/appender"
	"dotterelmount.example/server/dispatch"
	"dotterelmount.example/server/gossip"
	"dotterelmount.example/server/hosts"
	"dotterelmount.example/server/logbook"
	"dotterelmount.example/server/once"
	"dotterelmount.example/server/sampler"
	"dotterelmount.example/server/shares"
	"dotterelmount.example/server/weightkeeper"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Sizes and times of the parts.
const (
	ledgerRing          = 1024                 // messages
	dispatchRing        = 4096                 // messages
	appenderRing        = 4096                 // records
	appendBatch         = 256                  // records in one append
	flushInterval       = 5 * time.Millisecond // between two appends to a stream
	logCallTimeout      = time.Second          // one call of the log
	verdictGrace        = logCallTimeout + 200*time.Millisecond
	operatorTimeout     = 3 * time.Second        // an operator's change
	appenderStopTimeout = 3 * time.Second        // for what is still to be appended at the stop
	logReadWait         = time.Second            // long poll
	logReadLimit        = 512                    // entries a read and stream
	logRetryInterval    = 100 * time.Millisecond // after a failed read
	proposeTimeout      = 10 * time.Second
	retryRatio          = 0.2
	hedgeRatio          = 0.05
	rolloutShare        = 0.5
	exitInternalError   = 70
	hostListInterval    = time.Second
	hostListTimeout     = time.Second
	headerTimeout       = 10 * time.Second
	idleTimeout         = 2 * time.Minute
)

// Node is a running daemon.
type Node struct {
	settings *settings.Settings
	log      *zap.Logger
	platform eventlog.Log
	system   *duty.System
	appender *appender.Appender
	replica  *logbook.StateReplica
	hosts    *hosts.Follower
	client   *httpupstream.Client
	dispatch atomic.Pointer[dispatch.Dispatcher]
	weights  *weightkeeper.Controller
	sampler  *sampler.Sampler
	peers    *peer.Client
	server   *peer.Server
	gossip   atomic.Pointer[gossip.Gossip]
	shares   atomic.Pointer[shares.Shares]
	callers  *http.Server
	address  string
	stopping atomic.Bool
	// initialized is set once all fields are. The dispatcher runs before and asks
	// for what other parts know.
	initialized atomic.Bool
	started     time.Time
}

// Start starts a daemon; it serves as soon as it knows the configuration.
// Errors: an address that can't be listened on, CodeInvalid.
func Start(s *settings.Settings, log *zap.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, started: time.Now()}
	invariant.OnViolation(n.onViolation)
	n.system = duty.NewSystem(n.onPanic)
	n.platform = httplog.New(s.Platform.Log, nil)
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "listen.callers: %w", err)
	}
	n.address = callers.Addr().String()
	n.startHosts()
	n.startLog()
	if err := n.startDispatch(); err != nil {
		return nil, err
	}
	if err := n.startGossip(); err != nil {
		return nil, err
	}
	n.startWeights()
	n.startSampler()
	n.initialized.Store(true)
	n.serveCallers(callers)
	log.Info("started", zap.String("callers", n.address), zap.String("data_centre", s.DataCentre))
	return n, nil
}

// CallersAddress returns the address (ip:port) that callers are served on.
func (n *Node) CallersAddress() string { return n.address }

func (n *Node) startLog() {
	n.appender = appender.Start(n.system, n.platform, appender.Config{
		RingSize: appenderRing, MaxBatch: appendBatch, FlushInterval: flushInterval, CallTimeout: logCallTimeout,
	})
	n.replica = logbook.Start(n.system, n.platform, appender.Adapter{Appender: n.appender}, logbook.Config{
		Daemon: api.DaemonID(n.settings.Daemon), RingSize: ledgerRing,
		ReadWait: logReadWait, ReadLimit: logReadLimit, RetryInterval: logRetryInterval,
		ProposeTimeout: proposeTimeout, VerdictGrace: verdictGrace, CheckpointInterval: n.settings.Platform.CheckpointInterval,
		NewID: func() api.RecordID { return api.RecordID(newID()) },
		Now:   time.Now, Jitter: rand.Float64,
	}, n.onConfigChange)
}

func (n *Node) startHosts() {
	var source hostlist.Source
	if address := n.settings.Platform.HostList; address != "" {
		source = hostlist.NewHTTP(address, nil)
	}
	n.hosts = hosts.Start(n.system, source, hosts.Config{Interval: hostListInterval, Timeout: hostListTimeout})
}

func (n *Node) startDispatch() error {
	d := n.settings.Dispatch
	n.client = httpupstream.New(httpupstream.Options{})
	started, err := dispatch.Start(n.system, n.client, dispatch.Config{
		DataCentre: api.DataCentre(n.settings.DataCentre), Workers: d.Workers, RingSize: dispatchRing,
		QueueLimit: d.QueueLimit, Routing: d.Routing, ProgressDeadline: d.ProgressDeadline,
		ShortTokens: d.ShortTokens, RolloutShare: rolloutShare, ShortReserve: d.ShortReserve,
		LaneWeights: [api.LaneCount]int{d.Weights.Interactive, d.Weights.Once, d.Weights.Rollout},
		HedgeRatio:  hedgeRatio, RetryRatio: retryRatio,
		Now: time.Now, Rand: rand.IntN, ReportStrike: n.onStrike, ClearStrikes: n.clearStrikes, LoadedVersion: n.loadedVersion, IsLeaving: n.hosts.Leaving, ConfigIsCurrent: n.configCurrent,
		Shares: dispatchShares{n}, LiveDaemons: n.liveCount,
	}, n.replica.State())
	if err != nil {
		return err
	}
	n.dispatch.Store(started)
	started.Update(n.replica.State()) // a change before Store was not passed on
	return nil
}

func (n *Node) startWeights() {
	cfg := weightkeeper.Config{Daemon: api.DaemonID(n.settings.Daemon), OnOrder: n.onWeightOrder}
	n.weights = weightkeeper.Start(n.system, cfg, n.client, n.replica.State, n.liveDaemons)
}

func (n *Node) startSampler() {
	cfg := sampler.DefaultConfig(runID(api.DaemonID(n.settings.Daemon), uint64(n.started.UnixMilli())))
	// More jobs than the queue takes of rollouts would only be shed and tried again.
	cfg.Planner.MaxOutstanding = max(1, int(rolloutShare*float64(n.settings.Dispatch.QueueLimit)))
	cfg.Member = api.DaemonID(n.settings.Daemon)
	cfg.CheckpointInterval = n.settings.Platform.CheckpointInterval
	n.sampler = sampler.Start(n.system, cfg, sampler.Deps{
		Log: n.platform, Appender: appender.Adapter{Appender: n.appender}, Catalog: catalog{n.replica}, Members: n,
		Submitter: n.dispatch.Load(), Now: time.Now,
	})
}

func (n *Node) serveCallers(listener net.Listener) {
	n.callers = &http.Server{Handler: n.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	accept.Serve(n.system, "callers", n.callers, listener, n.log)
}

func (n *Node) callerDeps() httpapi.Deps {
	return httpapi.Deps{
		Submitter: n.dispatch.Load(), Guard: once.New(n.replica, api.DaemonID(n.settings.Daemon), time.Now),
		State: n.replica.State, Ready: n.ready,
		NewID: func() api.RequestID { return api.RequestID(newID()) }, Now: time.Now,
		MaxBodyBytes: n.settings.Limits.BodyBytes, DefaultDeadline: n.settings.Dispatch.DefaultDeadline,
	}
}

// Shutdown stops gracefully: it refuses new requests, lets those in progress
// end by themselves and then ends the duties. Errors: ctx.Err().
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("shutting down")
	n.stopping.Store(true)
	n.gossip.Load().MarkStopping()
	n.waitForBalancer(ctx)
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests were cut", zap.Error(err))
	}
	if err := n.gossip.Load().Leave(ctx); err != nil {
		n.log.Warn("peers were not told", zap.Error(err))
	}
	err := n.stopDuties(ctx)
	n.log.Info("stopped", zap.Error(err))
	return err
}

// stopDuties ends the duties, those that others answer to last.
func (n *Node) stopDuties(ctx context.Context) error {
	return errors.Join(
		n.server.Shutdown(ctx), n.gossip.Load().Stop(ctx), n.sampler.Stop(ctx), n.dispatch.Load().Stop(ctx),
		n.shares.Load().Stop(ctx), n.weights.Stop(ctx), n.hosts.Stop(ctx), n.stopAppender(ctx), n.replica.Stop(ctx),
	)
}

// stopAppender gives up soon: the log may be out, and what has not been
// appended was not promised to anybody.
func (n *Node) stopAppender(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appenderStopTimeout)
	defer cancel()
	return n.appender.Stop(ctx)
}

// waitForBalancer answers new requests as not run for a while, so that the platform's
// balancer takes this host out before connections are refused.
func (n *Node) waitForBalancer(ctx context.Context) {
	duty.Sleep(ctx, n.settings.Limits.Linger)
}

func (n *Node) onViolation(v *invariant.Violation) {
	n.log.Error("invariant violated", zap.String("invariant", v.Name), zap.String("detail", v.Detail))
	if n.settings.FatalInvariants {
		os.Exit(exitInternalError)
	}
}

func (n *Node) onPanic(p *duty.Panic) {
	n.log.Error("duty panicked", zap.Error(p), zap.ByteString("stack", p.Stack))
	os.Exit(exitInternalError)
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }
