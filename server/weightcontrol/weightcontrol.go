// Package weightcontrol makes the engines load the announced weight versions. One
// planner duty decides, with package weights, which engine is sent a load order and
// which is read back (asked for the versions that it runs). A fixed number of
// loader duties make the blocking calls, each one at a time.
package weightcontrol

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
	// plannerTick is the interval of decisions.
	plannerTick = 50 * time.Millisecond
	// idleTick replaces plannerTick while only read-backs are due. It delays an
	// announcement by at most this time.
	idleTick = 200 * time.Millisecond
	// loaderRingSize is 1 because the planner assigns tasks to idle loaders only.
	loaderRingSize = 1
)

// metrics is published as "weights" in expvar. It counts orders accepted, failed and
// expired, read-backs done and failed, and results dropped because the planner had
// stopped.
var metrics = expvar.NewMap("weights")

// LoadedVersions maps engines to the weight versions of their last read-back, by
// model.
type LoadedVersions = map[api.UpstreamID]map[api.ModelName]api.WeightVersion

// ConfigSource returns the current configuration, or nil while there is none.
type ConfigSource func() *ledger.State

// Members returns the live daemons, including this one.
type Members func() []api.DaemonID

// Config configures a Controller.
type Config struct {
	Daemon      api.DaemonID
	Planner     weights.Config // zero means weights.DefaultConfig
	ReadTimeout time.Duration  // of one read-back; zero means 1 s
	LoadTimeout time.Duration  // of one load until its confirmation; zero means 30 s
	// OnOrder, if set, is called for the audit trail with each order and its error,
	// or nil if the order was accepted. It runs on the planner's thread.
	OnOrder func(weights.Order, error)
}

const (
	defaultReadTimeout = time.Second
	defaultLoadTimeout = 30 * time.Second
)

// Controller controls the planner and loader duties.
type Controller struct {
	planner        *duty.Duty[event]
	loaders        []*duty.Duty[loaderTask]
	loadedVersions atomic.Pointer[LoadedVersions]
}

// Start starts the planner and MaxLoads + MaxReads loaders, so that slow loads never
// delay read-backs. source and members are called on the planner's thread.
func Start(sys *duty.System, cfg Config, client upstream.Client, source ConfigSource, members Members) *Controller {
	cfg = cfg.withDefaults()
	c := &Controller{}
	c.loadedVersions.Store(&LoadedVersions{})
	for range cfg.Planner.MaxLoads + cfg.Planner.MaxReads {
		l := &loader{cfg: cfg, client: client, postEvent: c.postEvent}
		c.loaders = append(c.loaders, duty.Start(sys, duty.Config{Name: "weight-loader", RingSize: loaderRingSize}, l))
	}
	p := newPlanner(cfg, c, source, members)
	// The ring has room for startMsg and one result of each loader, so it never fills.
	ringSize := len(c.loaders) + 1
	c.planner = duty.Start(sys, duty.Config{Name: "weight-planner", RingSize: ringSize, Tick: plannerTick, IdleTick: idleTick}, p)
	// The planner assigns no tasks before this message, so loaders use only the
	// initialized Controller.
	c.postEvent(startMsg{})
	return c
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

// LoadedVersions returns the versions that each engine ran at this daemon's last
// read-back. Engines that this daemon does not read are missing. Callers must not
// change it.
func (c *Controller) LoadedVersions() LoadedVersions { return *c.loadedVersions.Load() }

// Stop stops the planner and then the loaders, whose calls are cancelled.
// Errors: ctx.Err().
func (c *Controller) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, c.planner, c.loaders)
}

// postEvent posts an event to the planner. It fails only after the planner has
// stopped.
func (c *Controller) postEvent(e event) {
	if c.planner.Post(e) != nil {
		metrics.Add("results_dropped", 1)
	}
}
