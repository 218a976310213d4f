// Package dispatch is the duty that owns a daemon's queue and decides which
// job goes to which upstream, when, and what becomes of it after a failure.
// The decisions themselves are in the libraries admission, routing, quota,
// retry and quarantine; this package holds the state they work on.
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
	"dotterelmount.example/server/carrier"
)

// Config of a Dispatcher.
type Config struct {
	DataCentre       api.DataCentre
	Workers          int // threads that talk to upstreams; calls in progress at most
	RingSize         int
	QueueLimit       int // jobs queued at most
	Routing          string
	ProgressDeadline time.Duration
	ShortTokens      int // up to this many tokens a job is short
	LaneWeights      [api.LaneCount]int
	RolloutShare     float64 // part of the queue that rollouts may fill
	ShortReserve     float64 // part of each window kept free for short work
	HedgeRatio       float64 // hedges as a part of requests; zero: none
	RetryRatio       float64 // retries as a part of requests
	Now              func() time.Time
	Rand             func(n int) int
	// ReportStrike reports that an upstream crashed under a fingerprint; it must only
	// post. StrikeRecorded is owed once the strike is in the log.
	ReportStrike func(api.Strike)
	// Shares is this daemon's part of windows and limits; nil: all of them.
	Shares Shares
	// LiveDaemons returns the number of live daemons, which share the plans' rates
	// evenly; nil: one.
	LiveDaemons func() int
	// ClearStrikes reports that a request with strikes in the log has completed; it
	// must only post; nil: nothing is reported.
	ClearStrikes func(api.Fingerprint)
	// IsLeaving reports whether the platform's host list says that the upstream
	// at an address leaves; nil: never.
	IsLeaving func(address string) bool
	// ConfigIsCurrent reports whether the configuration is known to be recent enough
	// to start work by it; nil: always. Work waits meanwhile.
	ConfigIsCurrent func() bool
	// LoadedVersion returns the weight version that an engine was last read back to
	// run; zero is unknown.
	LoadedVersion func(id api.UpstreamID, m api.ModelName) api.WeightVersion
}

// Shares tells what this daemon may use of what all daemons share. Its methods
// never block.
type Shares interface {
	// Window returns the slots of an upstream: for any work, and for short work only.
	Window(id api.UpstreamID) (long, short int)
	// Concurrency returns the requests in progress of a plan with such a limit.
	Concurrency(p api.PlanName) int
	// Generation numbers the present shares; it grows when they change.
	Generation() uint64
	// ReportDemand tells needs that changed, found by the shares of a generation or
	// later ones, and reports whether there was room for them.
	ReportDemand(d []quota.ResourceDemand, generation uint64) bool
}

// Dispatcher is the handle of the duty. It implements work.Submitter.
type Dispatcher struct {
	cfg     Config
	duty    *duty.Duty[event]
	workers []*duty.Duty[*carrier.Task]
	state   atomic.Pointer[ledger.State]
	view    atomic.Pointer[View]
	closed  atomic.Bool
}

// event is a message to the dispatching duty.
type event interface{ isEvent() }

type (
	submitMsg         struct{ job *work.Job }
	cancelMsg         struct{ id api.RequestID }
	resultMsg         struct{ result carrier.Result }
	stateMsg          struct{ state *ledger.State }
	strikeRecordedMsg struct{ strike api.Strike }
	sharesMsg         struct{}
)

func (submitMsg) isEvent()         {}
func (cancelMsg) isEvent()         {}
func (resultMsg) isEvent()         {}
func (stateMsg) isEvent()          {}
func (strikeRecordedMsg) isEvent() {}
func (sharesMsg) isEvent()         {}

const (
	// dispatchTick is how often deadlines, hedges and shares are looked at.
	dispatchTick = 10 * time.Millisecond
	// idleTick is the same while there are no jobs. Carriers look at marks
	// themselves right before they send.
	idleTick = 200 * time.Millisecond
)

// Start spawns the dispatching duty and its carriers. Errors: CodeInvalid for
// an unknown routing policy.
func Start(sys *duty.System, client upstream.Client, cfg Config, state *ledger.State) (*Dispatcher, error) {
	d := &Dispatcher{cfg: cfg}
	d.state.Store(state)
	d.view.Store(&View{})
	h, err := newHandler(d)
	if err != nil {
		return nil, err
	}
	d.workers = carrier.Start(sys, cfg.Workers, client, cfg.Now, d.postResult)
	d.duty = duty.Start(sys, duty.Config{Name: "dispatch", RingSize: cfg.RingSize, Tick: dispatchTick, IdleTick: idleTick}, duty.Handler[event](h))
	d.Update(state)
	return d, nil
}

// Submit queues a job. Errors: CodeShed when the ring is full, CodeNotReady
// after Close; the job was not run then and Finish is not called.
func (d *Dispatcher) Submit(j *work.Job) error {
	if d.closed.Load() {
		return api.Errorf(api.CodeNotReady, "shutting down")
	}
	if err := d.duty.Post(submitMsg{job: j}); err != nil {
		return api.Errorf(api.CodeShed, "not queued: %w", err)
	}
	return nil
}

// Cancel asks to end a job early.
func (d *Dispatcher) Cancel(id api.RequestID) {
	_ = d.duty.PostWait(context.Background(), cancelMsg{id: id}) // fails only once the duty is stopped
}

// Update hands over a new configuration; carriers see it at once, the duty
// with its next message.
func (d *Dispatcher) Update(s *ledger.State) {
	d.state.Store(s)
	_ = d.duty.Post(stateMsg{state: s}) // a full ring: the next tick compares revisions
}

// SharesChanged tells that Shares has other numbers than before. It never blocks.
func (d *Dispatcher) SharesChanged() {
	_ = d.duty.Post(sharesMsg{}) // a full ring: the next tick looks
}

// StrikeRecorded tells that a strike given to Config.Strike is in the log.
func (d *Dispatcher) StrikeRecorded(s api.Strike) {
	_ = d.duty.Post(strikeRecordedMsg{strike: s}) // a full ring: the strike counts twice until it is old
}

// isDraining reports whether an upstream takes no new work: it is marked for
// cleaning, or the host list says that it leaves.
func (d *Dispatcher) isDraining(s *ledger.State, u *api.Upstream) bool {
	return s.Draining(u.ID) || d.cfg.IsLeaving != nil && d.cfg.IsLeaving(u.Address)
}

// mayStart reports whether work may start.
func (d *Dispatcher) mayStart() bool { return d.cfg.ConfigIsCurrent == nil || d.cfg.ConfigIsCurrent() }

// View returns an immutable picture of the duty's state.
func (d *Dispatcher) View() *View { return d.view.Load() }

// Close refuses new jobs; those taken go on.
func (d *Dispatcher) Close() { d.closed.Store(true) }

// Duties returns the rings' state, the carriers' summed up in one entry.
func (d *Dispatcher) Duties() []duty.Stats {
	return []duty.Stats{d.duty.Stats(), duty.SumStats("carriers", d.workers)}
}

// Stop ends the duties; jobs still in progress are cut. Errors: ctx.Err().
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.Close()
	return duty.StopAll(ctx, d.duty, d.workers)
}

// postResult brings a carrier's result to the duty; it waits for room, as a
// result must not be lost.
func (d *Dispatcher) postResult(ctx context.Context, r carrier.Result) {
	_ = d.duty.PostWait(ctx, resultMsg{result: r}) // fails only at the stop
}

// View is a picture of the queue and the upstreams at one moment.
type View struct {
	Queued    [api.LaneCount]int
	Running   int
	Upstreams []UpstreamView
}

// UpstreamView is one upstream as the dispatcher sees it.
type UpstreamView struct {
	ID       api.UpstreamID
	Draining bool
	InFlight int // calls in progress from this daemon
	Window   int // calls in progress at most from this daemon
	Slow     bool
	Latency  time.Duration // observed time per token, or per plain call
}
