// Package dispatch runs the duty that owns a daemon's queue. It decides when and
// to which upstream each job is sent, and whether it is retried after a failure.
// The policies are in the libraries admission, routing, quota, retry and
// quarantine; this package holds their state.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/worker"
)

// Config configures a Dispatcher.
type Config struct {
	DataCentre       api.DataCentre
	Workers          int // worker threads, which bounds the calls in progress
	RingSize         int // capacity in messages
	QueueLimit       int // maximum number of queued jobs
	Routing          string
	ProgressDeadline time.Duration
	ShortTokens      int // maximum cost in tokens of a short job
	LaneWeights      [api.LaneCount]int
	RolloutShare     float64 // fraction of the queue that rollouts may fill
	ShortReserve     float64 // fraction of each window reserved for short work
	HedgeRatio       float64 // hedged attempts per request; zero disables hedging
	RetryRatio       float64 // retries per request
	Now              func() time.Time
	Rand             func(n int) int // returns a random number in [0, n)
	// ReportStrike, if set, is called when an upstream crashed while it ran a
	// request with the strike's fingerprint; it must not block. Once the strike is
	// in the log, Dispatcher.StrikeRecorded must be called.
	ReportStrike func(api.Strike)
	// Shares returns this daemon's share of windows and limits. Nil means that
	// this daemon may use all of them.
	Shares Shares
	// LiveDaemons returns the number of live daemons, which split the plans'
	// rates evenly. Nil means one.
	LiveDaemons func() int
	// ClearStrikes, if set, is called when a request with strikes in the log has
	// completed; it must not block.
	ClearStrikes func(api.Fingerprint)
	// IsLeaving reports whether the platform's host list marks the upstream at an
	// address as leaving. Nil means never.
	IsLeaving func(address string) bool
	// ConfigIsCurrent reports whether the configuration is recent enough to start
	// work; while it is not, jobs stay queued. Nil means always.
	ConfigIsCurrent func() bool
	// LoadedVersion returns the weight version from an engine's latest read-back,
	// or zero if it is unknown.
	LoadedVersion func(id api.UpstreamID, m api.ModelName) api.WeightVersion
}

// Shares provides this daemon's share of the resources that all daemons use.
// Its methods never block.
type Shares interface {
	// Window returns this daemon's slots of an upstream: for any work, and for
	// short work only.
	Window(id api.UpstreamID) (long, short int)
	// Concurrency returns the number of requests that a plan with a concurrency
	// limit may have in progress on this daemon.
	Concurrency(p api.PlanName) int
	// Generation returns the number of the current shares; it grows with each
	// change.
	Generation() uint64
	// ReportDemand reports changed demands, computed from the shares of the given
	// generation or later. It returns false if they were dropped because the ring
	// was full.
	ReportDemand(d []quota.ResourceDemand, generation uint64) bool
}

// Dispatcher controls the dispatching duty and its workers. It implements
// work.Submitter.
type Dispatcher struct {
	cfg     Config
	duty    *duty.Duty[event]
	workers []*duty.Duty[*worker.Task]
	state   atomic.Pointer[ledger.State]
	view    atomic.Pointer[View]
	closed  atomic.Bool
}

// event is a message to the dispatching duty.
type event interface{ isEvent() }

type (
	submitMsg         struct{ job *work.Job }
	cancelMsg         struct{ id api.RequestID }
	resultMsg         struct{ result worker.Result }
	stateMsg          struct{ state *ledger.State }
	strikeRecordedMsg struct{ strike api.Strike }
	peerStrikeMsg     struct{ strike api.Strike }
	sharesMsg         struct{}
)

func (submitMsg) isEvent()         {}
func (cancelMsg) isEvent()         {}
func (resultMsg) isEvent()         {}
func (stateMsg) isEvent()          {}
func (strikeRecordedMsg) isEvent() {}
func (peerStrikeMsg) isEvent()     {}
func (sharesMsg) isEvent()         {}

const (
	// dispatchTick is the interval at which deadlines, hedges and shares are
	// checked.
	dispatchTick = 10 * time.Millisecond
	// idleTick replaces dispatchTick while there are no jobs. It may be longer
	// because workers check an upstream's drain mark right before they send.
	idleTick = 200 * time.Millisecond
)

// Start starts the dispatching duty and its workers. Errors: CodeInvalid for an
// unknown routing policy.
func Start(sys *duty.System, client upstream.Client, cfg Config, state *ledger.State) (*Dispatcher, error) {
	d := &Dispatcher{cfg: cfg}
	d.state.Store(state)
	d.view.Store(&View{})
	h, err := newHandler(d)
	if err != nil {
		return nil, err
	}
	d.workers = worker.Start(sys, cfg.Workers, client, cfg.Now, d.postResult)
	d.duty = duty.Start(sys, duty.Config{Name: "dispatch", RingSize: cfg.RingSize, Tick: dispatchTick, IdleTick: idleTick}, duty.Handler[event](h))
	d.Update(state)
	return d, nil
}

// Submit queues a job. Errors: CodeShed when the ring is full, CodeNotReady
// after Close. On an error the job was not run and Finish is not called.
func (d *Dispatcher) Submit(j *work.Job) error {
	if d.closed.Load() {
		return api.Errorf(api.CodeNotReady, "shutting down")
	}
	if err := d.duty.Post(submitMsg{job: j}); err != nil {
		return api.Errorf(api.CodeShed, "not queued: %w", err)
	}
	return nil
}

// Cancel requests the end of a job. It waits for room in the ring.
func (d *Dispatcher) Cancel(id api.RequestID) {
	_ = d.duty.PostWait(context.Background(), cancelMsg{id: id}) // fails only once the duty is stopped
}

// Update replaces the configuration. Workers use it at once, the duty from its
// next message on.
func (d *Dispatcher) Update(s *ledger.State) {
	d.state.Store(s)
	_ = d.duty.Post(stateMsg{state: s}) // if the ring is full, the next tick applies the stored state
}

// SharesChanged notifies the duty that Shares returns new values. It never
// blocks.
func (d *Dispatcher) SharesChanged() {
	_ = d.duty.Post(sharesMsg{}) // if the ring is full, a later tick reads the shares
}

// StrikeRecorded notifies the duty that a strike passed to Config.ReportStrike is
// in the log. It never blocks.
func (d *Dispatcher) StrikeRecorded(s api.Strike) {
	_ = d.duty.Post(strikeRecordedMsg{strike: s}) // if the ring is full, the strike counts both as logged and as unlogged until it expires
}

// AddPeerStrike adds a strike that another daemon could not log yet. It may be called
// several times for one strike. It never blocks. Errors: *duty.FullError,
// *ring.ClosedError.
func (d *Dispatcher) AddPeerStrike(s api.Strike) error {
	return d.duty.Post(peerStrikeMsg{strike: s})
}

// isDraining reports whether an upstream gets no new work because it is marked as
// draining or the host list marks its host as leaving.
func (d *Dispatcher) isDraining(s *ledger.State, u *api.Upstream) bool {
	return s.Draining(u.ID) || d.cfg.IsLeaving != nil && d.cfg.IsLeaving(u.Address)
}

// mayStart reports whether the configuration allows new work to start.
func (d *Dispatcher) mayStart() bool { return d.cfg.ConfigIsCurrent == nil || d.cfg.ConfigIsCurrent() }

// View returns the latest published view of the duty's state. Callers must not
// change it.
func (d *Dispatcher) View() *View { return d.view.Load() }

// Close makes Submit refuse new jobs. Accepted jobs continue.
func (d *Dispatcher) Close() { d.closed.Store(true) }

// Duties returns the statistics of the duties' rings, with all workers summed in
// one entry.
func (d *Dispatcher) Duties() []duty.Stats {
	return []duty.Stats{d.duty.Stats(), duty.SumStats("carriers", d.workers)}
}

// Stop stops the duties and cancels jobs that are still in progress.
// Errors: ctx.Err().
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.Close()
	return duty.StopAll(ctx, d.duty, d.workers)
}

// postResult passes a worker's result to the duty. It waits for room because a
// result must not be lost.
func (d *Dispatcher) postResult(ctx context.Context, r worker.Result) {
	_ = d.duty.PostWait(ctx, resultMsg{result: r}) // fails only while the duty stops
}

// View is a snapshot of the queue and the upstreams.
type View struct {
	Queued    [api.LaneCount]int // jobs
	Running   int                // calls
	Upstreams []UpstreamView
}

// UpstreamView is this daemon's view of one upstream.
type UpstreamView struct {
	ID       api.UpstreamID
	Draining bool
	InFlight int // calls in progress from this daemon
	Window   int // maximum calls in progress from this daemon
	Slow     bool
	Latency  time.Duration // observed time per token for engines, per call for plain upstreams
}
