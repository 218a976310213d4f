// Package reachability runs the duty that finds out whether this daemon is cut off from
// all upstreams while others may still reach them. Prober duties make one probe at a
// time each.
package reachability

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/reach"
	"go.uber.org/zap"
)

var (
	cutOff  = expvar.NewInt("upstreams_cut_off") // 1 while this daemon is cut off
	cutOffs = expvar.NewInt("upstreams_cut_offs")
	probes  = expvar.NewInt("upstream_probes")
)

// Prober connects to upstreams.
type Prober interface {
	// Probe requests a response of an upstream over a new connection. It returns nil if
	// there is any, whatever it says. Errors: *opaque.AttemptError.
	Probe(ctx context.Context, u *directory.Upstream) error
}

// Config configures a Monitor.
type Config struct {
	Reach        reach.Config
	RingSize     int // capacity in messages
	Tick         time.Duration
	IdleTick     time.Duration // while no failure is known
	ProbeTimeout time.Duration
	Now          func() time.Time
}

// Monitor controls the duties. Its methods are safe for concurrent use.
type Monitor struct {
	cfg     Config
	log     *zap.Logger
	view    func() *directory.View
	duty    *duty.Duty[any]
	probers *duty.Pool[*probe]
	tracker *reach.Tracker // accessed only on the duty
	since   time.Time      // of the current cut-off
	state   atomic.Uint32  // reach.State
	calm    atomic.Bool    // successes are of no interest
}

// probe is one probe of an upstream.
type probe struct {
	worker   int
	upstream *directory.Upstream
	err      error
}

// New returns a Monitor of a daemon that reaches the upstreams.
func New(cfg Config, log *zap.Logger) *Monitor {
	m := &Monitor{cfg: cfg, log: log, tracker: reach.NewTracker(cfg.Reach)}
	m.calm.Store(true)
	return m
}

// Start starts the duties. It must be called before the first outcome is observed.
func (m *Monitor) Start(sys *duty.System, p Prober, view func() *directory.View) {
	m.view = view
	h := &prober{timeout: m.cfg.ProbeTimeout, probe: p.Probe, postEnd: func(ctx context.Context, p *probe) { _ = m.duty.PostWait(ctx, p) }} // fails only while stopping
	m.probers = duty.NewPool(sys, duty.Config{Name: "reachability-prober"}, m.cfg.Reach.Probes, func() duty.Handler[*probe] { return h })
	m.duty = duty.Start(sys, duty.Config{Name: "reachability", RingSize: m.cfg.RingSize, Tick: m.cfg.Tick, IdleTick: m.cfg.IdleTick}, duty.Handler[any](m))
}

// CutOff reports whether this daemon reaches no upstream.
func (m *Monitor) CutOff() bool { return m.State() == reach.CutOff }

// State returns the current state.
func (m *Monitor) State() reach.State { return reach.State(m.state.Load()) }

// Observe reports the outcome of a connection. It never blocks; if the ring is full, the
// outcome is dropped.
func (m *Monitor) Observe(o reach.Outcome) {
	if m.calm.Load() && (o == reach.Connected || o == reach.Responded) {
		return
	}
	if err := m.duty.Post(o); err != nil {
		m.log.Warn("outcome of a connection dropped", zap.Error(err))
	}
}

// Handle processes an outcome or the end of a probe.
func (m *Monitor) Handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case reach.Outcome:
		m.tracker.Observe(msg, m.cfg.Now())
	case *probe:
		m.probers.Release(msg.worker)
		m.tracker.ProbeEnded(msg.err == nil)
		m.log.Info("upstream probed", zap.String("upstream", string(msg.upstream.ID)), zap.Stringer("state", m.tracker.State()), zap.Error(msg.err))
	}
	m.Tick(ctx)
}

// Tick starts the probes that are due and publishes the state.
func (m *Monitor) Tick(context.Context) {
	upstreams := m.shuffledUpstreams()
	for _, id := range m.tracker.NextProbes(upstreams, m.cfg.Now()) {
		m.startProbe(m.view().Upstreams[id])
	}
	m.publish()
}

// shuffledUpstreams returns the listed upstreams that don't drain, in random order, so that daemons don't
// all probe the same ones; nil while no probes are needed.
func (m *Monitor) shuffledUpstreams() []*directory.Upstream {
	if m.tracker.State() == reach.Reachable {
		return nil
	}
	var out []*directory.Upstream
	for _, u := range m.view().Upstreams {
		if !u.Draining { // it may have gone
			out = append(out, u)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (m *Monitor) startProbe(u *directory.Upstream) {
	worker, ok := m.probers.Acquire()
	if u == nil || !ok {
		if ok {
			m.probers.Release(worker)
		}
		m.tracker.ProbeEnded(false) // unlisted meanwhile
		return
	}
	probes.Add(1)
	if err := m.probers.Post(worker, &probe{worker: worker, upstream: u}); err != nil {
		m.tracker.ProbeEnded(false) // stopping
	}
}

// publish makes the tracker's state visible and logs when a cut-off begins or ends.
func (m *Monitor) publish() {
	before, now := m.State(), m.tracker.State()
	m.calm.Store(m.tracker.Calm())
	m.state.Store(uint32(now))
	if (before == reach.CutOff) == (now == reach.CutOff) {
		return
	}
	if now == reach.CutOff {
		m.since = m.cfg.Now()
		cutOff.Set(1)
		cutOffs.Add(1)
		m.log.Warn("cut off from all upstreams", zap.Int("listed", len(m.view().Upstreams)))
	} else {
		cutOff.Set(0)
		m.log.Info("upstreams are reachable again", zap.Duration("after", m.cfg.Now().Sub(m.since)))
	}
}

// Idle implements duty.Idler.
func (m *Monitor) Idle() bool { return m.tracker.State() == reach.Reachable }

// Stop stops the duties. Errors: ctx.Err().
func (m *Monitor) Stop(ctx context.Context) error { return duty.StopPool(ctx, m.duty, m.probers) }

// prober handles one probe at a time.
type prober struct {
	timeout time.Duration
	probe   func(context.Context, *directory.Upstream) error
	postEnd func(context.Context, *probe)
}

// Handle makes one probe.
func (h *prober) Handle(ctx context.Context, p *probe) {
	probeCtx, cancel := context.WithTimeout(ctx, h.timeout)
	p.err = h.probe(probeCtx, p.upstream)
	cancel()
	h.postEnd(ctx, p)
}
