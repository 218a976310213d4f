// Package node creates the components of a daemon and connects them.
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
	"dotterelmount.example/server/intake"
	"dotterelmount.example/server/once"
	"dotterelmount.example/server/sampler"
	"dotterelmount.example/server/shares"
	"dotterelmount.example/server/statereplica"
	"dotterelmount.example/server/weightcontrol"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Sizes and durations of the components.
const (
	replicaRing         = 1024                                  // messages
	dispatchRing        = 4096                                  // messages
	appenderRing        = 4096                                  // records
	appendBatch         = 256                                   // records in one append
	flushInterval       = 5 * time.Millisecond                  // between appends to a stream
	logCallTimeout      = time.Second                           // of one call to the log
	verdictGrace        = logCallTimeout + 200*time.Millisecond // one append call may still be in progress
	operatorTimeout     = 3 * time.Second                       // of an operator's change
	appenderStopTimeout = 3 * time.Second                       // for pending appends on shutdown
	logReadWait         = time.Second                           // long poll of the log
	logReadLimit        = 512                                   // entries per read and stream
	logRetryInterval    = 100 * time.Millisecond                // after a failed read
	proposeTimeout      = 10 * time.Second
	retryRatio          = 0.2  // retries per request
	hedgeRatio          = 0.05 // hedged attempts per request
	rolloutShare        = 0.5  // of the queue that rollouts may fill
	exitInternalError   = 70   // exit status
	hostListInterval    = time.Second
	hostListTimeout     = time.Second
	headerTimeout       = 10 * time.Second
	idleTimeout         = 2 * time.Minute
)

// Node is a running daemon.
type Node struct {
	settings       *settings.Settings
	log            *zap.Logger
	eventLog       eventlog.Log
	system         *duty.System
	appender       *appender.Appender
	replica        *statereplica.StateReplica
	hosts          *hosts.Watcher
	upstreamClient *httpupstream.Client
	dispatch       atomic.Pointer[dispatch.Dispatcher]
	weights        *weightcontrol.Controller
	sampler        *sampler.Sampler
	peerClient     *peer.Client
	peerServer     *peer.Server
	gossip         atomic.Pointer[gossip.Gossip]
	shares         atomic.Pointer[shares.Shares]
	intake         *intake.Gate
	callers        *http.Server
	callersAddress string
	stopping       atomic.Bool
	// initialized is set after all other fields. The dispatcher starts earlier and
	// calls methods that need them.
	initialized atomic.Bool
	started     time.Time
}

// Start starts a daemon. It is ready once it has read the configuration. Errors:
// CodeInvalid for invalid settings or if the address for callers can't be listened
// on, CodeInternal if the one for peers can't be.
func Start(s *settings.Settings, log *zap.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, started: time.Now()}
	invariant.OnViolation(n.onViolation)
	n.system = duty.NewSystem(n.onPanic)
	n.intake = intake.New(intake.Config{Memory: int64(s.Host.MemoryMB) << 20, Descriptors: s.Host.Descriptors, LimitHeap: s.Host.MemoryMB != settings.DefaultMemoryMB, Now: time.Now}, log)
	n.intake.Start(n.system)
	n.eventLog = httplog.New(s.Platform.Log, nil)
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "listen.callers: %w", err)
	}
	n.callersAddress = callers.Addr().String()
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
	log.Info("started", zap.String("callers", n.callersAddress), zap.String("data_centre", s.DataCentre))
	return n, nil
}

// CallersAddress returns the address (ip:port) on which callers are served.
func (n *Node) CallersAddress() string { return n.callersAddress }

func (n *Node) startLog() {
	n.appender = appender.Start(n.system, n.eventLog, appender.Config{
		RingSize: appenderRing, MaxBatch: appendBatch, FlushInterval: flushInterval, CallTimeout: logCallTimeout,
	})
	n.replica = statereplica.Start(n.system, n.eventLog, appender.Adapter{Appender: n.appender}, statereplica.Config{
		Daemon: api.DaemonID(n.settings.Daemon), RingSize: replicaRing,
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
	n.upstreamClient = httpupstream.New(httpupstream.Options{})
	started, err := dispatch.Start(n.system, n.upstreamClient, dispatch.Config{
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
	started.Update(n.replica.State()) // onConfigChange did not forward changes before Store
	return nil
}

func (n *Node) startWeights() {
	cfg := weightcontrol.Config{Daemon: api.DaemonID(n.settings.Daemon), OnOrder: n.onWeightOrder}
	n.weights = weightcontrol.Start(n.system, cfg, n.upstreamClient, n.replica.State, n.liveDaemons)
}

func (n *Node) startSampler() {
	cfg := sampler.DefaultConfig(runID(api.DaemonID(n.settings.Daemon), uint64(n.started.UnixMilli())))
	// More jobs than the queue accepts from rollouts would only be shed and retried.
	cfg.Planner.MaxOutstanding = max(1, int(rolloutShare*float64(n.settings.Dispatch.QueueLimit)))
	cfg.Member = api.DaemonID(n.settings.Daemon)
	cfg.CheckpointInterval = n.settings.Platform.CheckpointInterval
	n.sampler = sampler.Start(n.system, cfg, sampler.Deps{
		Log: n.eventLog, Appender: appender.Adapter{Appender: n.appender}, Catalog: catalog{n.replica}, Members: n,
		Submitter: n.dispatch.Load(), Now: time.Now,
	})
}

func (n *Node) serveCallers(listener net.Listener) {
	n.callers = n.intake.Server(&http.Server{Handler: n.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	accept.Serve(n.system, "callers", n.callers, n.intake.Callers(listener), n.log)
}

func (n *Node) callerDeps() httpapi.Deps {
	return httpapi.Deps{
		Submitter: n.dispatch.Load(), Guard: once.New(n.replica, api.DaemonID(n.settings.Daemon), time.Now),
		State: n.replica.State, Ready: n.ready,
		NewID: func() api.RequestID { return api.RequestID(newID()) }, Now: time.Now,
		MaxBodyBytes: n.settings.Limits.BodyBytes, DefaultDeadline: n.settings.Dispatch.DefaultDeadline,
	}
}

// Shutdown stops gracefully: it refuses new requests, waits for those in progress
// and then stops the duties. Errors: ctx.Err().
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("shutting down")
	n.stopping.Store(true)
	n.gossip.Load().MarkStopping()
	n.waitForBalancer(ctx)
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests in progress aborted", zap.Error(err))
	}
	if err := n.gossip.Load().Leave(ctx); err != nil {
		n.log.Warn("leaving the member list failed", zap.Error(err))
	}
	err := n.stopDuties(ctx)
	n.log.Info("stopped", zap.Error(err))
	return err
}

// stopDuties stops the duties. Those that others depend on are stopped last.
func (n *Node) stopDuties(ctx context.Context) error {
	return errors.Join(
		n.peerServer.Shutdown(ctx), n.gossip.Load().Stop(ctx), n.sampler.Stop(ctx), n.dispatch.Load().Stop(ctx),
		n.shares.Load().Stop(ctx), n.weights.Stop(ctx), n.hosts.Stop(ctx), n.stopAppender(ctx), n.replica.Stop(ctx),
	)
}

// stopAppender waits only for a short time, because the log may be unavailable.
// Records that were not appended were not acknowledged to anyone.
func (n *Node) stopAppender(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appenderStopTimeout)
	defer cancel()
	return n.appender.Stop(ctx)
}

// waitForBalancer refuses new requests as not run for the linger time, so that the
// platform's load balancer removes this host before connections are refused.
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
