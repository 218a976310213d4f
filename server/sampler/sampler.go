// Package sampler brings training samples to their trainers exactly once. Its
// duty "sampler" owns the fold of each followed trainer's stream and runs open
// slots through the dispatcher; its duty "trainer-reader" waits for the log.
package sampler

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"github.com/google/uuid"
)

// Config tunes the sampler.
type Config struct {
	Daemon api.DaemonID
	// Member is the name under which Members lists this daemon.
	Member  api.DaemonID
	Planner samples.PlannerConfig // MaxOutstanding counts the jobs of all trainers
	// MaxPendingCalls is the most calls of the front end that wait at once.
	MaxPendingCalls   int
	MaxTrainers       int           // streams followed at once
	MaxOpenSteps      int           // steps of one trainer that are not whole
	MaxGroups         int           // groups in one answer at most
	ReadLimit         int           // entries in one read at most
	ReadWait          time.Duration // how long a read waits for an entry
	ReadBackoff       time.Duration // after a failed read
	AppendTimeout     time.Duration // an append is given up then
	JobTimeout        time.Duration // of one run of a slot
	FollowIdleTimeout time.Duration // a stream that nobody asked for is forgotten then
	// CheckpointInterval is the longest time without a complete checkpoint in a
	// followed stream; well below the log's retention. Zero: none are written.
	CheckpointInterval time.Duration
	Tick               time.Duration
	// Random returns numbers in [0, 1) that spread retries.
	Random func() float64
}

// DefaultConfig returns settings for a daemon of this name.
func DefaultConfig(daemon api.DaemonID) Config {
	return Config{
		Daemon: daemon, Member: daemon,
		Planner: samples.PlannerConfig{
			MaxOutstanding: 1024, MaxHedges: 64, HedgeFraction: 0.8, HedgeAfter: time.Second, HedgeFactor: 3,
			BackoffMin: 50 * time.Millisecond, BackoffMax: 5 * time.Second,
			TakeOverAfter: 30 * time.Second, LateAfter: 2 * time.Minute,
		},
		MaxPendingCalls: 256, MaxTrainers: 64, MaxOpenSteps: 16, MaxGroups: 64,
		ReadLimit: 512, ReadWait: 2 * time.Second, ReadBackoff: 200 * time.Millisecond,
		AppendTimeout: 5 * time.Second, JobTimeout: 5 * time.Minute, FollowIdleTimeout: 15 * time.Minute, CheckpointInterval: 10 * time.Minute,
		Tick: 20 * time.Millisecond, Random: rand.Float64,
	}
}

// idleTick is the time between ticks while no trainer is followed.
const idleTick = time.Second

// Appender appends records in the background, each at least once.
type Appender interface {
	// Append queues the record. done is called once, on the appender's thread:
	// nil when the record is in the log, *eventlog.AmbiguousError when it may be.
	// Errors: those of a full queue; done is not called then.
	Append(stream string, rec eventlog.Record, deadline time.Time, done func(error)) error
}

// Catalog is the configuration in force.
type Catalog interface {
	// Plan returns a customer's plan. Errors: CodeUnknownCustomer, CodeUnknownPlan.
	Plan(api.CustomerID) (api.Plan, error)
	// CheckModelAccess checks that a plan may use a model and that an engine serves it.
	// Errors: CodeUnknownPlan, CodeUnknownModel.
	CheckModelAccess(api.PlanName, api.ModelName) error
	// WeightInForce returns a model's version; zero if none was announced.
	WeightInForce(api.ModelName) api.WeightVersion
}

// Members tells which daemons are alive.
type Members interface {
	// Alive reports whether what calls itself by Config.Daemon is.
	Alive(api.DaemonID) bool
	// Live returns the names of the live daemons.
	Live() []api.DaemonID
}

// Deps are the neighbours of the sampler.
type Deps struct {
	Log       eventlog.Log
	Appender  Appender
	Catalog   Catalog
	Members   Members
	Submitter work.Submitter
	Now       func() time.Time
}

// PullRequest asks for the next groups of a trainer.
type PullRequest struct {
	Trainer api.TrainerID
	// PullNumber must be above every number this trainer ever sent, also before a
	// restart: trainers store it before they ask.
	PullNumber uint64
	Cursor     api.Offset // Next of the last answer that the trainer stored
	MaxGroups  int        // zero: as many as the daemon allows
	// KnownVersion is a weight version that the trainer knows of; zero if none.
	KnownVersion api.WeightVersion
	Wait         time.Duration // how long to wait for a group
}

// PullResult hands groups to a trainer.
type PullResult struct {
	FromOffset     api.Offset
	NextOffset     api.Offset
	PullNumber     uint64
	Groups         []samples.Group
	DroppedSamples []samples.SlotRef
	CompletedSteps []samples.StepID
}

type result[T any] struct {
	value T
	err   error
}

// Sampler is the handle of the two duties. Its methods may be called from any thread.
type Sampler struct {
	cfg         Config
	now         func() time.Time
	duty        *duty.Duty[message]
	reader      *duty.Duty[readCommand]
	calls       atomic.Int64
	stopped     atomic.Bool
	lifetime    context.Context // ends when the duties have ended
	endLifetime context.CancelFunc
}

// Start starts the duties.
func Start(sys *duty.System, cfg Config, deps Deps) *Sampler {
	s := &Sampler{cfg: cfg, now: deps.Now}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	c := newCore(cfg, deps, uuid.NewString(), func() { s.calls.Add(-1) })
	r := &reader{log: deps.Log, limit: cfg.ReadLimit, deliver: func(ctx context.Context, m message) {
		_ = s.duty.PostWait(ctx, m) // fails only when the sampler has stopped
	}}
	s.reader = duty.Start(sys, duty.Config{Name: "trainer-reader", RingSize: 1}, r)
	c.reader = s.reader
	// Room for one message of each job or sample under way, of each call, of
	// each append of a call, and of the reader.
	size := cfg.Planner.MaxOutstanding + 2*cfg.MaxPendingCalls + 1
	s.duty = duty.Start(sys, duty.Config{Name: "sampler", RingSize: size, Tick: cfg.Tick, IdleTick: idleTick}, c)
	_ = s.duty.Post(startMessage{post: s.duty.Post}) // a new duty's ring is empty
	return s
}

// OpenStep makes a step's samples due; a repeat with the same content succeeds.
// Errors: CodeInvalid, CodeUnknownCustomer, CodeUnknownPlan, CodeUnknownModel,
// CodeConflict (other content, or abandoned), CodeShed,
// CodeLogUnavailable (not opened), CodeUnknownResult, CodeNotReady,
// CodeDeadlineExceeded, CodeCancelled.
func (s *Sampler) OpenStep(ctx context.Context, t api.TrainerID, step samples.StepOpened) error {
	if err := step.Validate(); err != nil {
		return err
	}
	reply := ring.NewSlot[result[struct{}]]()
	_, err := call(ctx, s, reply, openMessage{trainer: t, step: step, reply: reply, expires: s.deadline(ctx)})
	return err
}

// AbandonResult says what the end of a step lost.
type AbandonResult struct {
	Offset      api.Offset
	LostSamples []samples.SlotRef
}

// AbandonStep ends a step; a repeat succeeds with nothing lost. by names who
// asked. Errors: CodeUnknownStep, CodeConflict when the step is whole,
// CodeShed, CodeLogUnavailable (not abandoned), CodeUnknownResult,
// CodeNotReady, CodeDeadlineExceeded, CodeCancelled.
func (s *Sampler) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, by string) (AbandonResult, error) {
	reply := ring.NewSlot[result[AbandonResult]]()
	m := abandonMessage{trainer: t, step: step, by: by, reply: reply, expires: s.deadline(ctx)}
	return call(ctx, s, reply, m)
}

// Pull waits for groups and hands them over. Errors: CodeSuperseded when the
// number is not above an earlier one, and those of OpenStep; after any of them
// the trainer asks again with a higher number and the same cursor.
func (s *Sampler) Pull(ctx context.Context, r PullRequest) (PullResult, error) {
	if r.Trainer == "" || r.PullNumber == 0 {
		return PullResult{}, api.Errorf(api.CodeInvalid, "pull needs a trainer and a number of 1 or more")
	}
	if r.MaxGroups <= 0 || r.MaxGroups > s.cfg.MaxGroups {
		r.MaxGroups = s.cfg.MaxGroups
	}
	reply := ring.NewSlot[result[PullResult]]()
	return call(ctx, s, reply, pullMessage{req: r, reply: reply, expires: s.now().Add(r.Wait)})
}

// TrainerState returns what this daemon has read of a trainer's stream in the
// log; another daemon may have read further. Errors:
// CodeUnknownTrainer and those of OpenStep.
func (s *Sampler) TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error) {
	reply := ring.NewSlot[result[samples.Report]]()
	return call(ctx, s, reply, stateMessage{trainer: t, reply: reply, expires: s.deadline(ctx)})
}

// Stop refuses new calls, answers waiting ones as not ready, cancels the jobs
// and ends the duties. Errors: ctx.Err().
func (s *Sampler) Stop(ctx context.Context) error {
	s.stopped.Store(true)
	defer s.endLifetime()
	if err := s.reader.Stop(ctx); err != nil {
		return err
	}
	return s.duty.Stop(ctx)
}

// deadline returns when a call is given up: its context's deadline, if any.
func (s *Sampler) deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return s.now().Add(s.cfg.AppendTimeout)
}

// call posts a message and waits for its reply.
func call[T any](ctx context.Context, s *Sampler, reply *ring.Slot[result[T]], m message) (T, error) {
	var zero T
	if s.stopped.Load() {
		return zero, api.Errorf(api.CodeNotReady, "sampler is stopping")
	}
	if s.calls.Add(1) > int64(s.cfg.MaxPendingCalls) {
		s.calls.Add(-1)
		return zero, api.Errorf(api.CodeShed, "%d calls wait for the sampler already", s.cfg.MaxPendingCalls)
	}
	if err := s.duty.Post(m); err != nil {
		s.calls.Add(-1)
		return zero, api.Errorf(api.CodeNotReady, "sampler: %w", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	notReady := api.Errorf(api.CodeNotReady, "sampler has stopped")
	defer context.AfterFunc(s.lifetime, func() { cancel(notReady) })()
	r, err := reply.Wait(ctx)
	if err != nil && errors.Is(context.Cause(ctx), notReady) {
		return zero, notReady
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return zero, api.Errorf(api.CodeDeadlineExceeded, "sampler: %w", err)
	}
	if err != nil {
		return zero, api.Errorf(api.CodeCancelled, "sampler: %w", err)
	}
	return r.value, r.err
}
