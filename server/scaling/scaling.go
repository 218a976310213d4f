// Package scaling runs the duty that orders upstreams from the platform. It acts only while
// this daemon holds the term of that duty; one worker duty makes the calls.
package scaling

import (
	"context"
	"errors"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/scaling"
	"dotterelmount.example/lib/singleton"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

// Duty is the duty whose holder orders upstreams.
const Duty singleton.Duty = "scale"

// Config configures a Scaler.
type Config struct {
	Decision scaling.Config
	Tick     time.Duration // between two decisions
	IdleTick time.Duration // while this daemon doesn't hold the duty
	RingSize int           // capacity in messages
	// CallTimeout bounds an order, with its wait for the platform's limit on calls.
	CallTimeout time.Duration
	// MaxViewAge is the age of the last full read of the upstreams, and MaxReadAge that of the
	// journal, beyond which nothing is decided.
	MaxViewAge, MaxReadAge time.Duration
	Now                    func() time.Time
}

// Deps are the dependencies of a Scaler.
type Deps struct {
	// Term returns the term of the duty if this daemon holds it.
	Term func() (singleton.Term, bool)
	// Order sends an order while its term holds, within the platform's limit on calls. Errors:
	// *singleton.CallError.
	Order        func(ctx context.Context, t singleton.Term, o singleton.UpstreamOrder) error
	View         func() *directory.View
	Snapshot     func() *jobreplica.Snapshot
	LastFullRead func() time.Time // start of the last read that reached the journal's end
	Workloads    func(ctx context.Context) ([]batch.Workload, error)
}

// Scaler controls the duties. All fields from term on are accessed only on the duty that
// decides.
type Scaler struct {
	cfg    Config
	deps   Deps
	log    *zap.Logger
	duty   *duty.Duty[*call]
	caller *duty.Duty[*call]
	send   func(*call) error // to the duty that makes the calls

	term      singleton.Term
	holding   bool
	heldSince time.Time
	planners  map[string]*scaling.Planner // by service
	waiting   []*call
	calling   bool
	started   bool // Start has set all handles
}

// call is an order to send, and then its result.
type call struct {
	term  singleton.Term
	order singleton.UpstreamOrder
	took  time.Duration
	err   error
}

// Start starts the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Scaler {
	s := newScaler(cfg, deps, log)
	c := &caller{cfg: cfg, deps: deps, postEnd: func(ctx context.Context, c *call) { _ = s.duty.PostWait(ctx, c) }} // fails only while stopping
	s.caller = duty.Start(sys, duty.Config{Name: "scaling-caller", RingSize: 1}, duty.Handler[*call](c))
	s.send = s.caller.Post
	s.duty = duty.Start(sys, duty.Config{Name: "scaling", RingSize: cfg.RingSize, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[*call](s))
	_ = s.duty.Post(nil) // a new duty's ring is empty
	return s
}

func newScaler(cfg Config, deps Deps, log *zap.Logger) *Scaler {
	return &Scaler{cfg: cfg, deps: deps, log: log, planners: make(map[string]*scaling.Planner)}
}

// Tick decides on the orders to send.
func (s *Scaler) Tick(ctx context.Context) {
	now := s.cfg.Now()
	if !s.started || !s.updateTerm(now) {
		return
	}
	v, snapshot := s.deps.View(), s.deps.Snapshot()
	// A new holder knows what its predecessor ordered only from the directory.
	if v.Table == nil || v.UpstreamsAsOf.Before(s.heldSince) || now.Sub(v.UpstreamsAsOf) > s.cfg.MaxViewAge ||
		snapshot.Partial || now.Sub(s.deps.LastFullRead()) > s.cfg.MaxReadAge {
		return
	}
	services := v.Table.Autoscaled()
	if len(services) == 0 {
		return
	}
	work, err := s.deps.Workloads(ctx)
	if err != nil {
		s.log.Warn("read of the jobs' work failed", zap.Error(err))
		return
	}
	for _, service := range services {
		in := input(service, v, snapshot.Upstreams, work)
		p, ok := s.planners[service.Name]
		if !ok {
			p = scaling.NewPlanner(s.cfg.Decision)
			s.planners[service.Name] = p
		}
		orders, need := p.Plan(now, in)
		publish(in)
		for _, o := range orders {
			s.log.Info("upstreams ordered", zap.String("service", o.Service), zap.String("data_centre", string(o.DataCentre)), zap.Bool("reclaimable", o.Reclaimable),
				zap.Int("count", o.Count), zap.Int("present", o.Present), zap.Bool("repeat", o.Repeat), zap.Int("base", need.Base), zap.Int("reserve", need.Reserve),
				zap.Any("by_model", need.ByModel), zap.Bool("late", need.Late), zap.Bool("settled", need.Settled), zap.Uint64("fence", s.term.Fence))
			publishTarget(o.UpstreamOrder)
			s.enqueue(&call{term: s.term, order: o.UpstreamOrder})
		}
	}
	s.callNext()
}

// updateTerm reports whether this daemon holds the duty. With each new term, what is known of
// earlier orders is dropped.
func (s *Scaler) updateTerm(now time.Time) bool {
	term, ok := s.deps.Term()
	if ok && s.holding && term.Fence == s.term.Fence {
		s.term = term // renewed
		return true
	}
	if s.holding || ok {
		s.log.Info("term of the orders of upstreams", zap.Bool("held", ok), zap.Uint64("fence", term.Fence))
		clear(s.planners)
		s.waiting = nil
		unpublish()
	}
	s.term, s.holding, s.heldSince = term, ok, now
	return ok
}

// Idle implements duty.Idler.
func (s *Scaler) Idle() bool { return !s.holding }

// enqueue adds a call. An earlier one for the same place that waits is dropped.
func (s *Scaler) enqueue(c *call) {
	for n, w := range s.waiting {
		if w.order.Service == c.order.Service && scaling.PlaceOf(w.order) == scaling.PlaceOf(c.order) {
			s.waiting[n] = c
			return
		}
	}
	s.waiting = append(s.waiting, c)
}

func (s *Scaler) callNext() {
	if s.calling || len(s.waiting) == 0 {
		return
	}
	c := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.calling = s.send(c) == nil // fails only while stopping
}

// Handle processes the end of a call, or nil once the duties have started.
func (s *Scaler) Handle(_ context.Context, c *call) {
	if c == nil {
		s.started = true
		return
	}
	s.calling = false
	s.handleEnd(c)
	s.callNext()
}

func (s *Scaler) handleEnd(c *call) {
	s.log.Info("order of upstreams ended", zap.String("service", c.order.Service), zap.String("data_centre", string(c.order.DataCentre)),
		zap.Bool("reclaimable", c.order.Reclaimable), zap.Int("count", c.order.Count), zap.Uint64("fence", c.term.Fence), zap.Duration("took", c.took), zap.Error(c.err))
	p := s.planners[c.order.Service]
	if p == nil || c.term.Fence != s.term.Fence {
		return // of an earlier term
	}
	var failure *singleton.CallError
	switch {
	case c.err == nil:
		p.Accepted(c.order)
	case errors.As(c.err, &failure) && (failure.Outcome == singleton.OutcomeUnavailable || failure.Outcome == singleton.OutcomeRefused):
		p.Refused(s.cfg.Now(), c.order)
	}
	// Any other order may be carried out late, or was never sent: the planner repeats it.
}

// Stop stops the duties. Errors: ctx.Err().
func (s *Scaler) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, s.duty, []*duty.Duty[*call]{s.caller})
}

// caller makes one call at a time.
type caller struct {
	cfg     Config
	deps    Deps
	postEnd func(context.Context, *call)
}

// Handle sends an order.
func (c *caller) Handle(ctx context.Context, m *call) {
	begin := c.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	m.err = c.deps.Order(callCtx, m.term, m.order)
	cancel()
	m.took = c.cfg.Now().Sub(begin)
	c.postEnd(ctx, m)
}
