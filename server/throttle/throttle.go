// Package throttle keeps this daemon's requests within the limits that upstreams name. A
// limit holds for the requests of all daemons together: they report their demands in the
// log, and each uses its share.
package throttle

import (
	"context"
	"expvar"
	"maps"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ratelimit"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

// limitedUpstreams is the number of upstreams with a request limit.
var limitedUpstreams = expvar.NewInt("limited_upstreams")

// Config configures a Throttle.
type Config struct {
	Self     api.DaemonID
	RingSize int           // capacity in messages
	Tick     time.Duration // between two updates of the shares
	IdleTick time.Duration // while no upstream has a limit
	// ReportInterval is the time between two reports of this daemon's demand.
	ReportInterval time.Duration
	// ProposalTimeout is how long a record may wait for its append.
	ProposalTimeout time.Duration
	// MaxReadAge is the age of the last read of the log up to which other daemons' demands
	// count as known.
	MaxReadAge time.Duration
	Now        func() time.Time
}

// Deps are the dependencies of a Throttle.
type Deps struct {
	View         func() *directory.View
	Snapshot     func() *jobreplica.Snapshot
	LastFullRead func() time.Time
	// Propose appends a record without waiting. The record is dropped if it is not
	// appended within the given time.
	Propose func(r batch.Record, within time.Duration) error
	// CutOff reports whether this daemon reaches no upstream. It then has no demand: others
	// send its requests.
	CutOff func() bool
}

// Throttle controls the duty. The fields from named on are accessed only on the duty.
type Throttle struct {
	cfg     Config
	deps    Deps
	log     *zap.Logger
	duty    *duty.Duty[any]
	buckets *ratelimit.Buckets
	limited atomic.Pointer[map[api.UpstreamID]float64] // limits by upstream

	named      *ratelimit.Named
	demands    ratelimit.Demands
	wanted     map[api.UpstreamID]float64 // this daemon's demand, requests a second
	counted    map[api.UpstreamID]int     // requests wanted since the last report
	reportedAt time.Time
	reported   int // upstreams in the last report
}

// limitNamed and noLimitNamed say what a response named.
type (
	limitNamed struct {
		id        api.UpstreamID
		perSecond float64
	}
	noLimitNamed struct{ id api.UpstreamID }
)

// New returns a Throttle without limits. It keeps none until it is started.
func New(cfg Config, log *zap.Logger) *Throttle {
	t := &Throttle{
		cfg: cfg, log: log, buckets: ratelimit.NewBuckets(), named: ratelimit.NewNamed(), demands: make(ratelimit.Demands),
		wanted: make(map[api.UpstreamID]float64), counted: make(map[api.UpstreamID]int),
	}
	t.limited.Store(&map[api.UpstreamID]float64{})
	return t
}

// Start starts the duty. It must be called before the other methods, except Buckets.
func (t *Throttle) Start(sys *duty.System, deps Deps) {
	t.deps = deps
	t.duty = duty.Start(sys, duty.Config{Name: "throttle", RingSize: t.cfg.RingSize, Tick: t.cfg.Tick, IdleTick: t.cfg.IdleTick}, duty.Handler[any](t))
}

// Buckets returns the buckets that this daemon's requests take their tokens from.
func (t *Throttle) Buckets() *ratelimit.Buckets { return t.buckets }

// LimitNamed reports that a response named a limit, in requests a second. It never
// blocks.
func (t *Throttle) LimitNamed(id api.UpstreamID, perSecond float64) {
	t.post(limitNamed{id, perSecond})
}

// NoLimitNamed reports that a response to a request named no limit. It never blocks.
func (t *Throttle) NoLimitNamed(id api.UpstreamID) {
	if _, ok := (*t.limited.Load())[id]; ok {
		t.post(noLimitNamed{id})
	}
}

// Record takes over a *batch.RequestLimitNamed or *batch.DemandReported from the log. It
// never blocks.
func (t *Throttle) Record(r batch.Record) { t.post(r) }

func (t *Throttle) post(m any) {
	if err := t.duty.Post(m); err != nil {
		t.log.Warn("report on request limits dropped", zap.Error(err))
	}
}

// Handle implements duty.Handler.
func (t *Throttle) Handle(_ context.Context, m any) {
	now := t.cfg.Now()
	switch m := m.(type) {
	case limitNamed:
		if t.named.Set(m.id, m.perSecond, now) {
			t.log.Info("upstream names a request limit", zap.String("upstream", string(m.id)), zap.Float64("per_second", m.perSecond))
			t.proposeLimit(m.id)
			t.updateRates(now)
		}
	case noLimitNamed:
		if t.named.Lift(m.id, now) {
			t.log.Info("upstream names no request limit any more", zap.String("upstream", string(m.id)))
			t.proposeLimit(m.id)
			t.updateRates(now)
		}
	case *batch.RequestLimitNamed:
		t.applyLimit(m, now)
	case *batch.DemandReported:
		t.demands.Set(m.Daemon, m.PerSecond, now) // the next tick updates the shares
	}
}

// applyLimit takes over a limit from the log. If a response has just named the limit of
// an upstream that another daemon reports to have none, the limit is reported again.
func (t *Throttle) applyLimit(r *batch.RequestLimitNamed, now time.Time) {
	switch {
	case r.PerSecond > 0:
		t.named.Learn(r.Upstream, r.PerSecond)
	case t.named.NamedRecently(r.Upstream, now):
		t.proposeLimit(r.Upstream)
	default:
		t.named.Lift(r.Upstream, now)
	}
	t.updateRates(now)
}

// proposeLimit reports the limit of an upstream, or that it has none, to the other
// daemons.
func (t *Throttle) proposeLimit(id api.UpstreamID) {
	perSecond, _ := t.named.Limit(id)
	t.propose(&batch.RequestLimitNamed{Upstream: id, PerSecond: perSecond})
}

func (t *Throttle) propose(r batch.Record) {
	if err := t.deps.Propose(r, t.cfg.ProposalTimeout); err != nil {
		t.log.Warn("proposal dropped", zap.Any("record", r), zap.Error(err))
	}
}

// Tick reports this daemon's demand and updates its shares.
func (t *Throttle) Tick(context.Context) {
	now := t.cfg.Now()
	upstreams := t.deps.View().Upstreams
	t.named.Retain(func(id api.UpstreamID) bool { return upstreams[id] != nil })
	t.demands.Expire(t.deps.LastFullRead())
	t.reportDemand(now)
	t.updateRates(now)
}

// Idle implements duty.Idler.
func (t *Throttle) Idle() bool { return len(*t.limited.Load()) == 0 && t.reported == 0 }

// reportDemand reports this daemon's demand at ReportInterval, or at once if it wants to
// send requests to an upstream for the first time.
func (t *Throttle) reportDemand(now time.Time) {
	isNew := false
	for id, n := range t.buckets.TakeWanted() {
		t.counted[id] += n
		isNew = isNew || n > 0 && t.wanted[id] == 0
	}
	cutOff := t.deps.CutOff()
	elapsed := now.Sub(t.reportedAt)
	if elapsed < t.cfg.ReportInterval && !isNew && !(cutOff && t.reported > 0) {
		return
	}
	if cutOff {
		t.wanted, t.counted = nil, nil
	}
	t.wanted = ratelimit.AverageDemand(t.wanted, t.counted, min(elapsed, t.cfg.ReportInterval))
	t.counted = make(map[api.UpstreamID]int)
	t.reportedAt = now
	if len(t.wanted) == 0 && t.reported == 0 {
		return
	}
	t.reported = len(t.wanted)
	t.propose(&batch.DemandReported{Daemon: t.cfg.Self, PerSecond: maps.Clone(t.wanted)})
}

// updateRates sets the rates of the buckets to this daemon's shares.
func (t *Throttle) updateRates(now time.Time) {
	s := t.deps.Snapshot()
	holders := make(map[api.UpstreamID]api.DaemonID)
	for i := range s.Upstreams {
		holders[s.Upstreams[i].ID] = s.Upstreams[i].Holder
	}
	limits := t.named.All()
	rates := make(map[api.UpstreamID]float64, len(limits))
	for id, limit := range limits {
		rates[id] = ratelimit.Share(ratelimit.ShareInput{
			Self: t.cfg.Self, Upstream: id, Limit: limit, Holder: holders[id], Demands: t.demands[id],
			Daemons: len(s.LastRenewals), Fresh: now.Sub(t.deps.LastFullRead()) < t.cfg.MaxReadAge,
		})
	}
	t.buckets.SetRates(rates, now)
	t.limited.Store(&limits)
	limitedUpstreams.Set(int64(len(limits)))
}

// Stop stops the duty. Errors: ctx.Err().
func (t *Throttle) Stop(ctx context.Context) error { return t.duty.Stop(ctx) }
