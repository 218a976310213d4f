package weightcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/weights"
)

// planner implements the planner duty. It owns the weights.Planner and is the only
// writer of the snapshot of loaded versions.
type planner struct {
	cfg        Config
	controller *Controller
	source     ConfigSource
	members    Members

	planner     *weights.Planner
	state       *ledger.State  // of the last view
	live        []api.DaemonID // of the last view
	started     bool
	idleLoaders []int            // indexes of loaders without a task
	pending     []weights.Action // decided and waiting for an idle loader
}

func newPlanner(cfg Config, c *Controller, source ConfigSource, members Members) *planner {
	p := &planner{cfg: cfg, controller: c, source: source, members: members}
	p.planner = weights.NewPlanner(cfg.Daemon, cfg.Planner)
	for i := range c.loaders {
		p.idleLoaders = append(p.idleLoaders, i)
	}
	return p
}

// Handle implements duty.Handler.
func (p *planner) Handle(_ context.Context, e event) {
	switch e := e.(type) {
	case startMsg:
		p.started = true
	case readResult:
		p.idleLoaders = append(p.idleLoaders, e.loader)
		p.readDone(e)
	case loadResult:
		p.idleLoaders = append(p.idleLoaders, e.loader)
		p.loadDone(e)
	}
	p.assignDue()
}

// Tick implements duty.Ticker.
func (p *planner) Tick(context.Context) { p.assignDue() }

// Idle implements duty.Idler. It reports whether only read-backs are due.
func (p *planner) Idle() bool { return len(p.pending) == 0 && p.planner.Idle() }

func (p *planner) readDone(e readResult) {
	if e.err != nil {
		metrics.Add("reads_failed", 1)
		p.planner.ReadFailed(e.upstream)
		return
	}
	metrics.Add("reads", 1)
	p.planner.ReadDone(e.upstream, e.loaded, e.startedAt)
	p.publishLoaded(e.upstream, e.loaded)
}

func (p *planner) loadDone(e loadResult) {
	switch e.result {
	case weights.Accepted:
		metrics.Add("orders", 1)
	case weights.Failed:
		metrics.Add("orders_failed", 1)
	case weights.Expired:
		metrics.Add("orders_expired", 1)
	}
	p.planner.LoadDone(e.order, e.result, time.Now())
	if p.cfg.OnOrder != nil {
		p.cfg.OnOrder(e.order, e.err)
	}
}

// publishLoaded replaces the snapshot if an engine's loaded versions changed.
func (p *planner) publishLoaded(id api.UpstreamID, loaded map[api.ModelName]api.WeightVersion) {
	current := p.controller.LoadedVersions()
	if known, ok := current[id]; ok && maps.Equal(known, loaded) {
		return
	}
	next := maps.Clone(current)
	next[id] = maps.Clone(loaded)
	p.controller.loadedVersions.Store(&next)
}

// assignDue refreshes the view and assigns due actions to idle loaders.
func (p *planner) assignDue() {
	if !p.started || !p.refreshView() {
		return
	}
	p.pending = append(p.pending, p.planner.Next(time.Now())...)
	for len(p.pending) > 0 && len(p.idleLoaders) > 0 {
		p.assign(p.pending[0])
		p.pending = p.pending[1:]
	}
}

func (p *planner) assign(a weights.Action) {
	i := p.idleLoaders[0]
	p.idleLoaders = p.idleLoaders[1:]
	err := p.controller.loaders[i].Post(loaderTask{loader: i, action: a})
	invariant.Check(err == nil, "weight-loader-idle", "loader %d: %v", i, err)
}

// refreshView updates the planner's view if it changed. It returns false while there
// is no configuration.
func (p *planner) refreshView() bool {
	state, live := p.source(), p.members()
	if state == nil {
		return false
	}
	if state == p.state && slices.Equal(live, p.live) {
		return true
	}
	p.state, p.live = state, slices.Clone(live)
	p.planner.SetView(weights.View{Announced: state.Weights, Upstreams: state.Usage.Upstreams, Members: p.live})
	p.dropUnlisted(state)
	return true
}

// dropUnlisted removes engines from the snapshot that are no longer in the usage
// list.
func (p *planner) dropUnlisted(state *ledger.State) {
	current := p.controller.LoadedVersions()
	next := maps.Clone(current)
	maps.DeleteFunc(next, func(id api.UpstreamID, _ map[api.ModelName]api.WeightVersion) bool {
		_, err := state.Upstream(id)
		return err != nil
	})
	if len(next) != len(current) {
		p.controller.loadedVersions.Store(&next)
	}
}
