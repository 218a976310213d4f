package weightkeeper

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

// planner is the duty that decides. It owns the plan and the snapshot of what
// engines run.
type planner struct {
	cfg     Config
	keeper  *Controller
	source  ConfigSource
	members Members

	planner     *weights.Planner
	state       *ledger.State  // of the last view
	live        []api.DaemonID // of the last view
	started     bool
	idleLoaders []int            // numbers of the loaders without work
	pending     []weights.Action // decided, but no loader was idle
}

func newPlanner(cfg Config, k *Controller, source ConfigSource, members Members) *planner {
	p := &planner{cfg: cfg, keeper: k, source: source, members: members}
	p.planner = weights.NewPlanner(cfg.Daemon, cfg.Planner)
	for number := range k.loaders {
		p.idleLoaders = append(p.idleLoaders, number)
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

// Idle implements duty.Idler: only read-backs are ahead.
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

// publishLoaded replaces the snapshot when an engine runs something else than it shows.
func (p *planner) publishLoaded(id api.UpstreamID, loaded map[api.ModelName]api.WeightVersion) {
	present := p.keeper.LoadedVersions()
	if known, ok := present[id]; ok && maps.Equal(known, loaded) {
		return
	}
	next := maps.Clone(present)
	next[id] = maps.Clone(loaded)
	p.keeper.loadedVersions.Store(&next)
}

// assignDue looks at the world and gives what is due to idle loaders.
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
	number := p.idleLoaders[0]
	p.idleLoaders = p.idleLoaders[1:]
	err := p.keeper.loaders[number].Post(loaderTask{loader: number, action: a})
	invariant.Check(err == nil, "weight-loader-idle", "loader %d: %v", number, err)
}

// refreshView renews the plan's view if it changed; false while there is none.
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

// dropUnlisted removes engines that left the usage list from the snapshot.
func (p *planner) dropUnlisted(state *ledger.State) {
	present := p.keeper.LoadedVersions()
	next := maps.Clone(present)
	maps.DeleteFunc(next, func(id api.UpstreamID, _ map[api.ModelName]api.WeightVersion) bool {
		_, err := state.Upstream(id)
		return err != nil
	})
	if len(next) != len(present) {
		p.keeper.loadedVersions.Store(&next)
	}
}
