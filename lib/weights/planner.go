package weights

import (
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/routing"
)

// Planner plans the load orders and read-backs of one daemon. It is not safe for
// concurrent use.
type Planner struct {
	self      api.DaemonID
	cfg       Config
	view      View
	engines   map[api.UpstreamID]*engine
	ids       []api.UpstreamID                   // keys of engines, sorted
	serving   map[api.ModelName][]api.UpstreamID // engines that serve a model, sorted
	nextStart int                                // index in ids at which the next round starts
	loads     int                                // number in progress
	reads     int                                // number in progress
}

// engine is the planner's state of one engine.
type engine struct {
	upstream            api.Upstream
	unlisted            bool // removed from the usage list while an action was in progress
	rank                int  // of this daemon in the engine's rendezvous order; -1 if not a member
	busy                bool // an action is in progress
	loaded              map[api.ModelName]api.WeightVersion
	readAt              time.Time // start of the last successful read-back; zero after a load or a new address
	readTriedAt         time.Time // start of the last read-back unless it succeeded; zero otherwise
	consecutiveFailures int       // of loads
	retryAt             time.Time // earliest time of the next load
	lags                map[api.ModelName]lag
}

// lag records since when an engine is known to run an older version than announced.
type lag struct {
	revision api.Revision
	since    time.Time
}

// NewPlanner returns a planner with an empty view.
func NewPlanner(self api.DaemonID, cfg Config) *Planner {
	return &Planner{self: self, cfg: cfg, engines: make(map[api.UpstreamID]*engine)}
}

// SetView replaces the view.
func (p *Planner) SetView(v View) {
	p.view = v
	names := make([]string, len(v.Members))
	for i, m := range v.Members {
		names[i] = string(m)
	}
	listed := make(map[api.UpstreamID]bool, len(v.Upstreams))
	for i := range v.Upstreams {
		if v.Upstreams[i].Kind != api.KindEngine {
			continue
		}
		listed[v.Upstreams[i].ID] = true
		p.upsertEngine(v.Upstreams[i], names)
	}
	for id, e := range p.engines {
		e.unlisted = !listed[id]
		if e.unlisted && !e.busy {
			delete(p.engines, id)
		}
	}
	p.ids = slices.Sorted(maps.Keys(p.engines))
	p.serving = make(map[api.ModelName][]api.UpstreamID)
	for _, id := range p.ids {
		for _, model := range p.engines[id].upstream.Models {
			p.serving[model] = append(p.serving[model], id)
		}
	}
}

func (p *Planner) upsertEngine(u api.Upstream, members []string) {
	e, ok := p.engines[u.ID]
	if !ok {
		e = &engine{lags: make(map[api.ModelName]lag)}
		p.engines[u.ID] = e
	}
	if e.upstream.Address != u.Address {
		e.readAt, e.readTriedAt = time.Time{}, time.Time{}
	}
	e.upstream = u
	e.rank = -1
	if slices.Contains(members, string(p.self)) {
		e.rank = routing.Rank(routing.Key(string(u.ID)), members, string(p.self))
	}
}

// ReadDone reports a read-back that was started at startedAt.
func (p *Planner) ReadDone(id api.UpstreamID, loaded map[api.ModelName]api.WeightVersion, startedAt time.Time) {
	if e := p.endRead(id); e != nil {
		e.loaded = loaded
		e.readAt = startedAt
		e.readTriedAt = time.Time{}
	}
}

// ReadFailed reports a failed read-back.
func (p *Planner) ReadFailed(id api.UpstreamID) { p.endRead(id) }

func (p *Planner) endRead(id api.UpstreamID) *engine {
	p.reads--
	return p.endAction(id)
}

// LoadDone reports the result of an order. The engine is read back next in any
// case, because a failed load may have taken effect and an accepted one may have
// been overwritten.
func (p *Planner) LoadDone(o Order, r Result, now time.Time) {
	p.loads--
	e := p.endAction(o.Upstream)
	if e == nil {
		return
	}
	e.readAt, e.readTriedAt = time.Time{}, time.Time{}
	switch r {
	case Accepted:
		e.consecutiveFailures = 0
	case Failed:
		e.retryAt = now.Add(p.backoff(e.consecutiveFailures))
		e.consecutiveFailures++
	case Expired:
	}
}

func (p *Planner) endAction(id api.UpstreamID) *engine {
	e := p.engines[id]
	e.busy = false
	if e.unlisted {
		delete(p.engines, id)
		p.ids = slices.Sorted(maps.Keys(p.engines))
		return nil
	}
	return e
}

func (p *Planner) backoff(failures int) time.Duration {
	wait := p.cfg.BackoffMin
	for range failures {
		if wait >= p.cfg.BackoffMax {
			break
		}
		wait *= 2
	}
	return min(wait, p.cfg.BackoffMax)
}

// Next returns the actions to start now. At most one action per engine is in
// progress, and at most MaxLoads and MaxReads in total.
func (p *Planner) Next(now time.Time) []Action {
	var actions []Action
	n := len(p.ids)
	for k := range n {
		e := p.engines[p.ids[(p.nextStart+k)%n]]
		if e.busy || e.unlisted || !p.isReader(e) {
			continue
		}
		if a := p.nextFor(e, now); a != nil {
			e.busy = true
			actions = append(actions, a)
		}
	}
	if n > 0 {
		// The next round starts at the next engine, so that no engine starves.
		p.nextStart = (p.nextStart + 1) % n
	}
	return actions
}

// Idle reports whether nothing is in progress and no engine that this daemon reads
// is known to run an older version than announced, so that only read-backs are due.
func (p *Planner) Idle() bool {
	if p.loads+p.reads > 0 {
		return false
	}
	for _, e := range p.engines {
		if p.isReader(e) && len(e.lags) > 0 {
			return false
		}
	}
	return true
}

func (p *Planner) isReader(e *engine) bool {
	return e.rank >= 0 && (p.cfg.ReadersPerEngine == 0 || e.rank < p.cfg.ReadersPerEngine)
}

func (p *Planner) nextFor(e *engine, now time.Time) Action {
	if !e.readAt.IsZero() {
		model, due := p.dueLoad(e, now)
		if due && now.Sub(e.readAt) <= p.cfg.MaxReadAge {
			return p.load(e, model, now)
		}
		if !due && now.Sub(e.readAt) < p.readInterval(e) {
			return nil
		}
	}
	return p.read(e, now)
}

// readInterval returns the time between read-backs of an engine, which grows with
// this daemon's rank.
func (p *Planner) readInterval(e *engine) time.Duration {
	return p.cfg.ReadInterval * time.Duration(e.rank+1)
}

func (p *Planner) read(e *engine, now time.Time) Action {
	if p.reads >= p.cfg.MaxReads || (!e.readTriedAt.IsZero() && now.Sub(e.readTriedAt) < p.cfg.ReadInterval) {
		return nil
	}
	p.reads++
	e.readTriedAt = now
	return Read{Upstream: e.upstream.ID, Address: e.upstream.Address}
}

func (p *Planner) load(e *engine, model api.ModelName, now time.Time) Action {
	if p.loads >= p.cfg.MaxLoads {
		return nil
	}
	p.loads++
	w := p.view.Announced[model]
	o := Order{
		Upstream:  e.upstream.ID,
		Model:     model,
		Version:   w.Version,
		Fence:     w.Revision,
		DecidedAt: now,
		TTL:       p.cfg.OrderTTL,
	}
	return Load{Order: o, Address: e.upstream.Address}
}

// dueLoad returns a model whose announced version the engine should be ordered to
// load now.
func (p *Planner) dueLoad(e *engine, now time.Time) (api.ModelName, bool) {
	due, found := api.ModelName(""), false
	for _, model := range e.upstream.Models {
		w, announced := p.view.Announced[model]
		// Versions only grow, so a version above the announced one is from an
		// announcement that this daemon has not seen yet.
		if !announced || e.loaded[model] >= w.Version {
			delete(e.lags, model)
			continue
		}
		l := e.updateLag(model, w.Revision, now)
		if !found && !now.Before(l.since.Add(p.delay(e, model, w))) && !now.Before(e.retryAt) {
			due, found = model, true
		}
	}
	return due, found
}

func (e *engine) updateLag(model api.ModelName, revision api.Revision, now time.Time) lag {
	l, known := e.lags[model]
	if !known || l.revision != revision {
		l = lag{revision: revision, since: now}
		e.lags[model] = l
	}
	return l
}

// delay returns the time from finding that an engine lags until ordering a load. It
// is the delay of the engine's wave plus that of this daemon's rank.
func (p *Planner) delay(e *engine, model api.ModelName, w ledger.WeightState) time.Duration {
	wave := p.position(e.upstream.ID, model, w.Revision) / p.waveSize(model)
	return time.Duration(wave)*p.cfg.WaveInterval + time.Duration(e.rank)*p.cfg.TakeoverDelay
}

// waveSize returns the number of engines per wave. It exceeds WaveSize if many
// engines serve the model, so that the last wave starts within MaxSpread.
func (p *Planner) waveSize(model api.ModelName) int {
	size := max(1, p.cfg.WaveSize)
	if p.cfg.WaveInterval <= 0 || p.cfg.MaxSpread <= 0 {
		return size
	}
	waves := 1 + int(p.cfg.MaxSpread/p.cfg.WaveInterval)
	return max(size, (len(p.serving[model])+waves-1)/waves)
}

// position returns the engine's position in the order in which a model's engines
// load an announced version. It rotates with each announcement, so that not always
// the same engines are last.
func (p *Planner) position(id api.UpstreamID, model api.ModelName, revision api.Revision) int {
	engines := p.serving[model]
	index, _ := slices.BinarySearch(engines, id)
	return int((uint64(index) + uint64(revision)) % uint64(max(1, len(engines))))
}
