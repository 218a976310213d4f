// Package weightkeeper brings the engines to the announced weight versions.
// One planner duty decides, a fixed number of loader duties make the blocking
// calls; each loader has one call in hand at a time.
package weightkeeper

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/weights"
)

const (
	// plannerTick is the time between two rounds of decisions.
	plannerTick = 50 * time.Millisecond
	// idleTick is the same while only read-backs are ahead; an announcement is
	// seen that much later at most.
	idleTick = 200 * time.Millisecond
	// loaderRingSize is one: the planner gives work to an idle loader only.
	loaderRingSize = 1
)

// Metrics, under "weights" in expvar: counts of orders sent, failed and
// expired, and of read-backs done and failed.
var metrics = expvar.NewMap("weights")

// LoadedVersions is what engines truly ran at their last read-back.
type LoadedVersions = map[api.UpstreamID]map[api.ModelName]api.WeightVersion

// ConfigSource returns the configuration in force; nil while there is none.
type ConfigSource func() *ledger.State

// Members returns the live daemons, this one included.
type Members func() []api.DaemonID

// Config describes a Keeper.
type Config struct {
	Daemon      api.DaemonID
	Planner     weights.Config // zero: weights.DefaultConfig
	ReadTimeout time.Duration  // of one read-back; zero: one second
	LoadTimeout time.Duration  // of one load, until it is confirmed; zero: 30 seconds
	// OnOrder, if set, is told of each order and its failure, nil if it was
	// accepted, for the audit trail. It runs on the planner's thread.
	OnOrder func(weights.Order, error)
}

const (
	defaultReadTimeout = time.Second
	defaultLoadTimeout = 30 * time.Second
)

// Controller is a running planner with its loaders.
type Controller struct {
	planner        *duty.Duty[event]
	loaders        []*duty.Duty[loaderTask]
	loadedVersions atomic.Pointer[LoadedVersions]
}

// Start starts the planner and MaxLoads + MaxReads loaders, so that slow loads
// never keep read-backs waiting.
func Start(sys *duty.System, cfg Config, client upstream.Client, source ConfigSource, members Members) *Controller {
	cfg = cfg.withDefaults()
	k := &Controller{}
	k.loadedVersions.Store(&LoadedVersions{})
	for range cfg.Planner.MaxLoads + cfg.Planner.MaxReads {
		h := &loader{cfg: cfg, client: client, postEvent: k.postEvent}
		k.loaders = append(k.loaders, duty.Start(sys, duty.Config{Name: "weight-loader", RingSize: loaderRingSize}, h))
	}
	p := newPlanner(cfg, k, source, members)
	// The ring has room for begin and one result of each loader: it never fills.
	ringSize := len(k.loaders) + 1
	k.planner = duty.Start(sys, duty.Config{Name: "weight-planner", RingSize: ringSize, Tick: plannerTick, IdleTick: idleTick}, p)
	// The planner hands out no work before this message, so the loaders see
	// the finished Keeper.
	k.postEvent(startMsg{})
	return k
}

func (c Config) withDefaults() Config {
	if c.Planner == (weights.Config{}) {
		c.Planner = weights.DefaultConfig()
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	if c.LoadTimeout == 0 {
		c.LoadTimeout = defaultLoadTimeout
	}
	return c
}

// LoadedVersions returns what each engine ran when this daemon last read it back.
// Engines that were never read, or that others watch, are missing. Callers
// must not change it.
func (k *Controller) LoadedVersions() LoadedVersions { return *k.loadedVersions.Load() }

// Stop ends the planner and then the loaders, whose calls are cancelled.
// Errors: ctx.Err().
func (k *Controller) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, k.planner, k.loaders)
}

// postEvent posts to the planner, which fails only after the planner has stopped.
func (k *Controller) postEvent(e event) {
	if k.planner.Post(e) != nil {
		metrics.Add("results_dropped", 1)
	}
}
