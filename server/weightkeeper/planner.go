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
	keeper  *Keeper
	source  Source
	members Members

	plan    *weights.Planner
	state   *ledger.State  // of the last view
	live    []api.DaemonID // of the last view
	begun   bool
	idle    []int            // numbers of the loaders without work
	waiting []weights.Action // decided, but no loader was idle
}

func newPlanner(cfg Config, k *Keeper, source Source, members Members) *planner {
	p := &planner{cfg: cfg, keeper: k, source: source, members: members}
	p.plan = weights.NewPlanner(cfg.Daemon, cfg.Plan)
	for number := range k.loaders {
		p.idle = append(p.idle, number)
	}
	return p
}

// Handle implements duty.Handler.
func (p *planner) Handle(_ context.Context, e event) {
	switch e := e.(type) {
	case begin:
		p.begun = true
	case readResult:
		p.idle = append(p.idle, e.number)
		p.readDone(e)
	case loadResult:
		p.idle = append(p.idle, e.number)
		p.loadDone(e)
	}
	p.dispatch()
}

// Tick implements duty.Ticker.
func (p *planner) Tick(context.Context) { p.dispatch() }

// Idle implements duty.Idler: only read-backs are ahead.
func (p *planner) Idle() bool { return len(p.waiting) == 0 && p.plan.Idle() }

func (p *planner) readDone(e readResult) {
	if e.err != nil {
		metrics.Add("reads_failed", 1)
		p.plan.ReadFailed(e.upstream)
		return
	}
	metrics.Add("reads", 1)
	p.plan.ReadDone(e.upstream, e.loaded, e.startedAt)
	p.publish(e.upstream, e.loaded)
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
	p.plan.LoadDone(e.order, e.result, time.Now())
	if p.cfg.OnOrder != nil {
		p.cfg.OnOrder(e.order, e.err)
	}
}

// publish replaces the snapshot when an engine runs something else than it shows.
func (p *planner) publish(id api.UpstreamID, loaded map[api.ModelName]api.WeightVersion) {
	present := p.keeper.Truth()
	if known, ok := present[id]; ok && maps.Equal(known, loaded) {
		return
	}
	next := maps.Clone(present)
	next[id] = maps.Clone(loaded)
	p.keeper.truth.Store(&next)
}

// dispatch looks at the world and gives what is due to idle loaders.
func (p *planner) dispatch() {
	if !p.begun || !p.look() {
		return
	}
	p.waiting = append(p.waiting, p.plan.Next(time.Now())...)
	for len(p.waiting) > 0 && len(p.idle) > 0 {
		p.give(p.waiting[0])
		p.waiting = p.waiting[1:]
	}
}

func (p *planner) give(a weights.Action) {
	number := p.idle[0]
	p.idle = p.idle[1:]
	err := p.keeper.loaders[number].Post(job{number: number, action: a})
	invariant.Check(err == nil, "weight-loader-idle", "loader %d: %v", number, err)
}

// look renews the plan's view if it changed; false while there is none.
func (p *planner) look() bool {
	state, live := p.source(), p.members()
	if state == nil {
		return false
	}
	if state == p.state && slices.Equal(live, p.live) {
		return true
	}
	p.state, p.live = state, slices.Clone(live)
	p.plan.SetView(weights.View{Announced: state.Weights, Upstreams: state.Usage.Upstreams, Members: p.live})
	p.dropUnlisted(state)
	return true
}

// dropUnlisted removes engines that left the usage list from the snapshot.
func (p *planner) dropUnlisted(state *ledger.State) {
	present := p.keeper.Truth()
	next := maps.Clone(present)
	maps.DeleteFunc(next, func(id api.UpstreamID, _ map[api.ModelName]api.WeightVersion) bool {
		_, err := state.Upstream(id)
		return err != nil
	})
	if len(next) != len(present) {
		p.keeper.truth.Store(&next)
	}
}
