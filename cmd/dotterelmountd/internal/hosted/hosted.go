// Package hosted creates the components of a daemon that runs on the users'
// platform and connects them.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmountd/internal/accept"
	"dotterelmount.example/front/forward"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	intakeplan "dotterelmount.example/lib/intake"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/loglines"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/reach"
	"dotterelmount.example/lib/settings"
	"dotterelmount.example/lib/shutdown"
	"dotterelmount.example/lib/sockets"
	"dotterelmount.example/platform/entry"
	"dotterelmount.example/platform/feed"
	"dotterelmount.example/platform/servers"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"dotterelmount.example/server/follow"
	"dotterelmount.example/server/intake"
	"dotterelmount.example/server/jobreplica"
	"dotterelmount.example/server/leasing"
	"dotterelmount.example/server/metering"
	"dotterelmount.example/server/reachability"
	"dotterelmount.example/server/relay"
	"dotterelmount.example/server/rewards"
	"dotterelmount.example/server/runner"
	"dotterelmount.example/server/scaling"
	"dotterelmount.example/server/singleton"
	"dotterelmount.example/server/throttle"
	"dotterelmount.example/server/upkeep"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// exitInternalError is the exit status after a panic or, if configured, an
// invariant violation.
const exitInternalError = 70

// Node is a running daemon.
type Node struct {
	settings     *settings.Hosted
	log          *loglines.Log
	system       *duty.System
	serverClient *servers.Client
	throttle     *throttle.Throttle
	// reachability knows whether this daemon reaches the upstreams.
	reachability *reachability.Monitor
	watcher      *follow.Watcher
	committer    *committer.Committer
	// chunkCommitter appends chunks to this daemon's partition of the chunk topic.
	chunkCommitter *committer.Committer
	chunkPartition int
	chunkReader    *chunks.Reader
	replica        atomic.Pointer[jobreplica.JobReplica]
	runner         *runner.Runner
	leaseManager   *leasing.Manager
	upkeep         *upkeep.Upkeep
	relay          *relay.Relay
	rewards        *rewards.Caller
	// keepers keep the terms of the platform's duties; dutyCalls makes the calls under them. Without
	// duties, these and the next two are nil.
	keepers       *singleton.Keepers
	dutyCalls     *singleton.Calls
	meter         *metering.Meter
	reporter      *metering.Reporter
	scaler        *scaling.Scaler // nil: the platform doesn't ask for orders of upstreams
	forwardClient *forward.Client
	forwardServer *forward.Server // nil: this daemon takes no requests of others
	intake        *intake.Gate
	callers       *http.Server
	readiness     *http.Server
	metrics       *http.Server
	// stopping is set once Shutdown has begun: the daemon is not ready, and
	// connections are closed after their response.
	stopping atomic.Pointer[shutdown.Plan]
	// stopEnd ends when requests in progress must be ended, by endRequests.
	stopEnd     context.Context
	endRequests context.CancelFunc
}

// Start starts a daemon. Errors: CodeInvalid for an address that can't be listened
// on.
func Start(s *settings.Hosted) (*Node, error) { return start(s, os.Stdout) }

// start is Start with log lines written to w.
func start(s *settings.Hosted, w io.Writer) (*Node, error) {
	n := &Node{settings: s, serverClient: servers.New(s.UpstreamSource), forwardClient: forward.NewClient()}
	n.stopEnd, n.endRequests = context.WithCancel(context.Background())
	n.system = duty.NewSystem(n.onPanic)
	n.log = loglines.Start(n.system, w)
	n.log.Logger = n.log.With(zap.String("daemon", s.Daemon))
	invariant.OnViolation(n.onViolation)
	n.log.Info("starting", zap.String("data_centre", s.DataCentre), zap.String("callers", s.CallerAddress), zap.String("store", s.StoreAddress))
	if s.Retention < s.JobRetention {
		n.log.Warn("store retention is shorter than job retention",
			zap.Duration("retention", s.Retention), zap.Duration("remember", s.JobRetention))
	}
	n.startIntake()
	throttleCfg := throttleConfig
	throttleCfg.Self = api.DaemonID(s.Daemon)
	n.throttle = throttle.New(throttleCfg, n.log.Logger)
	n.serverClient.ObserveLimits(n.throttle)
	n.reachability = reachability.New(reachabilityConfig, n.log.Logger)
	n.serverClient.ObserveLinks(n.reachability)
	storeClient := store.New(s.StoreAddress)
	n.startWatcher(storeClient)
	n.reachability.Start(n.system, n.serverClient, n.View)
	process := fmt.Sprintf("%s/%s", s.Daemon, uuid.Must(uuid.NewV7()))
	n.startDuties(storeClient, process)
	n.startRelay(process)
	n.startChunks(storeClient, process)
	n.startJobs(storeClient, process)
	if err := errors.Join(n.servePeers(), n.serve()); err != nil {
		return nil, err
	}
	n.log.Info("serving", zap.String("listening", s.CallerAddress))
	return n, nil
}

// startIntake bounds what callers and other daemons may send.
func (n *Node) startIntake() {
	n.intake = intake.New(intake.Config{
		Memory: int64(n.settings.Limits.MemoryMB) << 20, Descriptors: n.settings.Limits.Descriptors, LimitHeap: n.settings.Limits.MemoryMB != settings.DefaultMemoryMB, Now: time.Now,
		HeadLimit: func() int64 {
			if table := n.View().Table; table != nil {
				return table.Limits().MaxHeaderBytes
			}
			return 0
		},
	}, n.log.Logger)
	n.intake.Start(n.system)
	n.serverClient.LimitBuffer(n.intake.Plan().Buffered)
}

// View returns the configuration and the upstreams as last read from the platform.
func (n *Node) View() *directory.View { return n.watcher.View() }

func (n *Node) startWatcher(storeClient *store.Client) {
	cfg := watcherConfig
	if k := n.settings.Keys; k.FailClosed {
		cfg.ReadWait = min(cfg.ReadWait, k.Revoke/readsPerRevoke)
	}
	n.watcher = follow.Start(n.system, cfg, n.log.Logger, []follow.FeedConfig{
		{Name: "operator", Feed: feed.NewOperator(storeClient), MinReadInterval: operatorReadInterval, HasConfig: true},
		{Name: "servers", Feed: feed.NewServers(storeClient), MinReadInterval: serversReadInterval, ListsUpstreams: true},
	}, n.onViewChange)
	n.serverClient.OnLeaving(func(u *directory.Upstream) { n.handleLeaving(u.ID, u.StartMillis) })
}

// handleLeaving notes that an upstream has said that it leaves, and reports it to the other
// daemons.
func (n *Node) handleLeaving(id api.UpstreamID, startMillis int64) {
	if !n.watcher.Leaving(id, startMillis) {
		return
	}
	if err := n.propose(&batch.UpstreamLeaving{Upstream: id, StartMillis: startMillis}, 0); err != nil {
		n.log.Warn("reporting a leaving upstream to other daemons failed", zap.String("upstream", string(id)), zap.Error(err))
	}
}

// onViewChange closes idle connections to removed upstreams.
func (n *Node) onViewChange(v *directory.View) {
	addresses := make(map[string]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		addresses[u.Address] = true
	}
	n.serverClient.PruneConnections(func(address string) bool { return addresses[address] })
}

func (n *Node) startJobs(storeClient *store.Client, process string) {
	j := storeClient.Partition(replay.Topic, 0)
	self := api.DaemonID(n.settings.Daemon)
	startMillis := time.Now().UnixMilli()
	n.committer = n.startCommitter(j, replay.Topic, process)
	n.throttle.Start(n.system, throttle.Deps{View: n.View, Snapshot: n.leaseSnapshot, LastFullRead: n.lastFullRead, Propose: n.propose, CutOff: n.reachability.CutOff})

	runnerCfg := runnerConfig
	runnerCfg.Self, runnerCfg.Process, runnerCfg.Capacity = self, process, runCapacity(n.intake.Plan(), n.settings.MaxRuns)
	runnerCfg.MoveLate = n.settings.MoveLateItems
	n.runner = runner.Start(n.system, runnerCfg, runner.Deps{
		Engine: n.serverClient, View: n.View, StoreText: n.storeText, PostText: n.postText, Prompt: n.chunkReader.ReadChunk, Propose: func(r batch.Record) error { return n.propose(r, 0) },
		OnOutcome:       n.handleRunOutcome,
		LeasedUpstreams: func() []batch.Upstream { return n.leaseSnapshot().Upstreams },
		Limits:          n.throttle.Buckets(), UpstreamsCurrent: n.watcher.UpstreamsCurrent,
		TextDroppable: func() bool {
			return n.leaseSnapshot().LevelInForce(recordLevels, n.lastFullRead()) >= batch.LevelTextDropped
		},
	}, n.log.Logger)

	leaseCfg := leaseManagerConfig
	leaseCfg.Self, leaseCfg.StartMillis, leaseCfg.Capacity = self, startMillis, n.settings.Capacity()
	leaseCfg.Address, leaseCfg.DataCentre = n.settings.PeerAddress, api.DataCentre(n.settings.DataCentre)
	if n.settings.PlaceBySpeed {
		leaseCfg.Rules = batch.RulesBySpeed
	}
	leaseCfg.Locality.LeaseExcess = n.settings.Locality.LeaseExcess
	n.leaseManager = leasing.Start(n.system, leaseCfg, leasing.Deps{
		Propose: n.propose, Snapshot: n.leaseSnapshot, LastFullRead: n.lastFullRead, View: n.View, OpenItems: n.openItems, CutOff: n.reachability.CutOff,
	}, n.log.Logger)

	upkeepCfg := upkeepConfig
	upkeepCfg.Self, upkeepCfg.LeaseWait, upkeepCfg.LoadShare = self, n.settings.LeaseWait, n.settings.LoadShare
	n.upkeep = upkeep.Start(n.system, upkeepCfg, upkeep.Deps{
		Engine: n.serverClient, View: n.View, Snapshot: n.leaseSnapshot, Propose: n.propose, OneVersionRuns: n.runner.OneVersionRuns,
	}, n.log.Logger)

	rewardsCfg := rewardsConfig
	rewardsCfg.Self = self
	n.rewards = rewards.Start(n.system, rewardsCfg, rewards.Deps{
		Forward: n.relay.Forward, Body: n.chunkReader.ReadChunk, Propose: func(r batch.Record) error { return n.propose(r, 0) },
		View: n.View, Members: func() leases.Members { return n.leaseSnapshot().Members() },
	}, n.log.Logger)

	// The replica starts last, because its callbacks use all of the above.
	replicaCfg := replicaConfig
	replicaCfg.Daemon, replicaCfg.JobRetention = self, n.settings.JobRetention
	replicaCfg.MinPageBytes = n.settings.MaxRecordBytes + recordFraming
	replicaCfg.ReadsPerSecond = int(journalShare * float64(n.settings.StoreReadsPerSecond))
	replicaCfg.Process, replicaCfg.MaxRecordBytes, replicaCfg.MaxAppendBytes = process, n.settings.MaxRecordBytes, n.settings.MaxAppendBytes
	replicaCfg.Checkpoints = checkpoint.Policy{Interval: n.settings.Retention / checkpointsPerRetention, Silence: recordLevels.Silence}
	replicaCfg.Alternatives = n.settings.MoveLateItems
	n.replica.Store(jobreplica.Start(n.system, j, storeClient.Keyed(replay.CheckpointTopic), replicaCfg, jobreplica.Callbacks{
		RunsChanged: n.runner.Update, RewardsChanged: n.rewards.Update,
		RequestCrashed: func(r *batch.RequestCrashed) {
			if r.Process != process {
				n.relay.AddCrashes(r.ContentHash, lossesOf(r, time.Now()))
			}
		},
		RequestLimitNamed: func(r *batch.RequestLimitNamed) { n.throttle.Record(r) },
		DemandReported:    func(r *batch.DemandReported) { n.throttle.Record(r) },
		UpstreamLeaving:   func(r *batch.UpstreamLeaving) { n.watcher.Leaving(r.Upstream, r.StartMillis) },
		Propose:           func(r batch.Record) error { return n.propose(r, logCallTimeout) },
	}, n.log.Logger))
	n.startScaling()
}

// runCapacity returns how many runs a host bears; most bounds them too, unless it is 0.
func runCapacity(plan intakeplan.Plan, most int) runner.Capacity {
	c := runner.Capacity{Runs: plan.Runs, Bytes: plan.RunBytes}
	if most > 0 {
		c.Runs = min(c.Runs, most)
	}
	return c
}

// handleRunOutcome passes on the outcome of a run. n.upkeep is set before the first run.
func (n *Node) handleRunOutcome(o generation.RunOutcome) {
	if o.Stalled {
		n.reachability.Observe(reach.Unresponsive)
	}
	n.upkeep.ReportOutcome(o)
}

// leaseSnapshot returns the leases according to the journal. It is empty before the
// replica has started.
func (n *Node) leaseSnapshot() *jobreplica.Snapshot {
	if replica := n.replica.Load(); replica != nil {
		return replica.Snapshot()
	}
	return &jobreplica.Snapshot{}
}

// lastFullRead returns the start of the last read that reached the journal's end;
// the zero time if there was none.
func (n *Node) lastFullRead() time.Time {
	if replica := n.replica.Load(); replica != nil {
		return replica.LastFullRead()
	}
	return time.Time{}
}

func (n *Node) openItems(ctx context.Context) ([]batch.OpenItem, error) {
	return n.replica.Load().OpenItems(ctx)
}

func (n *Node) startRelay(process string) {
	cfg := relayConfig
	cfg.OnCrashes = func(contentHash uint64, losses []quarantine.Loss) {
		r := crashRecord(contentHash, losses, time.Now())
		r.Process = process
		if err := n.propose(r, crashReportTimeout); err != nil {
			n.log.Warn("reporting crashes during a request to other daemons failed", zap.Uint64("content", contentHash), zap.Error(err))
		}
	}
	cfg.Keys = n.keyPolicy()
	cfg.Limits, cfg.Streams, cfg.UpstreamsCurrent = n.throttle.Buckets(), &streamIndex{n}, n.watcher.UpstreamsCurrent
	cfg.OnLeaving = func(id api.UpstreamID) {
		if u := n.View().Upstreams[id]; u != nil {
			n.handleLeaving(id, u.StartMillis)
		}
	}
	if n.meter != nil {
		cfg.OnBegan = n.meter.Began
	}
	cfg.Peers = relay.Peers{Links: n.reachability.State, List: n.reachingPeers, Forwarder: n.forwardClient, MaxTries: maxPeerTries}
	cfg.Chooser = opaque.Chooser{Daemon: api.DaemonID(n.settings.Daemon), DataCentre: api.DataCentre(n.settings.DataCentre), BusyThreshold: relayBusyThreshold}
	if l := n.settings.Locality; l.MinGain > 0 {
		cfg.Chooser.Locality = &locality.Policy{MinGain: l.MinGain, LeaseExcess: l.LeaseExcess}
	}
	cfg.Windows = n.settings.UpstreamWindows
	cfg.MaxInFlight = n.intake.Plan().Attempts
	n.relay = relay.Start(n.system, cfg, n.log.Logger, n.serverClient, n.View)
}

// ready reports whether the daemon accepts new connections: it is not stopping,
// the configuration and the upstreams are loaded, and the journal was read to its
// end recently.
func (n *Node) ready() bool {
	return n.stopping.Load() == nil && n.View().Table != nil && n.watcher.Loaded() &&
		time.Since(n.lastFullRead()) < maxJournalReadAge
}

func (n *Node) serve() error {
	h := entry.New(entry.Config{
		Relay: n.relay, Jobs: &jobStore{n}, View: n.View, Ready: n.ready, Stopping: n.stopping.Load, StopEnd: n.stopEnd,
		Observer: latencyRecorder, Log: n.log.Logger, RetryAfter: retryAfter, MaxConfigAge: maxConfigAge, Keys: n.keyPolicy(), Now: time.Now,
	})
	newServer := func(h http.Handler) *http.Server {
		return n.intake.Server(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	}
	n.callers, n.readiness, n.metrics = newServer(h), newServer(h.Readiness()), newServer(n.metricsHandler())
	side := func(name string) func(net.Listener) net.Listener {
		return func(l net.Listener) net.Listener { return n.intake.Side(name, l) }
	}
	for _, l := range []struct {
		name, address string
		server        *http.Server
		bound         func(net.Listener) net.Listener
	}{
		{"callers", n.settings.CallerAddress, n.callers, n.intake.Callers},
		{"readiness", n.settings.ReadinessAddress, n.readiness, side("readiness")},
		{"metrics", n.settings.MetricsAddress, n.metrics, side("metrics")},
	} {
		if l.address == "" {
			continue
		}
		if err := n.listen(l.name, l.address, l.server, l.bound); err != nil {
			return err
		}
	}
	return nil
}

// servePeers takes requests of daemons that can't reach the upstreams.
func (n *Node) servePeers() error {
	if n.settings.PeerAddress == "" {
		return nil
	}
	cfg := net.ListenConfig{Control: sockets.SetUserTimeout}
	listener, err := cfg.Listen(context.Background(), "tcp", n.settings.PeerAddress)
	if err != nil {
		return api.Errorf(api.CodeInvalid, "peers: %w", err)
	}
	n.forwardServer, err = forward.Start(n.system, n.intake.Peers(listener), n.relay)
	return err
}

// reachingPeers returns the other live daemons that have a configuration and reach the
// upstreams. While the journal can't be read, they are those of the last read.
func (n *Node) reachingPeers() []opaque.Peer {
	s, asOf := n.leaseSnapshot(), time.Now()
	if last := n.lastFullRead(); asOf.Sub(last) > roster.TTL {
		asOf = last
	}
	var out []opaque.Peer
	for id, d := range s.Daemons {
		if string(id) != n.settings.Daemon && d.Address != "" && d.ConfigVersion > 0 && !d.CutOff && asOf.Sub(s.LastRenewals[id]) < roster.TTL {
			out = append(out, opaque.Peer{ID: id, Address: d.Address, DataCentre: d.DataCentre})
		}
	}
	return out
}

func (n *Node) listen(name, address string, server *http.Server, bound func(net.Listener) net.Listener) error {
	cfg := net.ListenConfig{Control: sockets.SetUserTimeout}
	listener, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return api.Errorf(api.CodeInvalid, "%s: %w", name, err)
	}
	accept.Serve(n.system, name, server, bound(listener), n.log.Logger)
	return nil
}

// Reload only logs that the settings changed. They are read at the start.
func (n *Node) Reload() { n.log.Info("settings changed; restart to apply them") }

// Shutdown stops gracefully: it reports not ready, releases the leases and waits
// for requests in progress. Those that last too long are ended with a failure response.
// Errors: ctx.Err().
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("stopping", zap.Duration("grace", n.settings.ShutdownTimeout))
	ctx, cancel := context.WithTimeout(ctx, n.settings.ShutdownTimeout-stopMargin)
	defer cancel()
	begin := time.Now()
	plan := &shutdown.Plan{TakeAllUntil: begin.Add(lingerTime), End: begin.Add(n.settings.ShutdownTimeout - stopMargin - responseMargin)}
	n.stopping.Store(plan)
	defer time.AfterFunc(time.Until(plan.End), n.endRequests).Stop()
	if err := n.stopRuns(ctx); err != nil {
		n.log.Warn("stopping runs failed", zap.Error(err))
	}
	if err := n.rewards.Stop(ctx); err != nil {
		n.log.Warn("stopping reward calls failed", zap.Error(err))
	}
	n.leaveDuties(ctx)
	if err := n.leaseManager.Leave(); err != nil {
		n.log.Warn("releasing leases failed", zap.Error(err))
	}
	duty.Sleep(ctx, lingerTime)
	err := n.callers.Shutdown(ctx)
	if n.forwardServer != nil {
		err = errors.Join(err, n.forwardServer.Shutdown(ctx))
	}
	n.flushMeter(ctx)
	n.log.Info("stopped", zap.Error(err))
	return errors.Join(err, n.log.Stop(ctx))
}

// stopRuns ends the runs and waits until what they have generated is stored, unless that takes
// too long. Errors: ctx.Err().
func (n *Node) stopRuns(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	return n.runner.Stop(ctx)
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
