// Package sampler delivers training samples to their trainers exactly once. The
// duty "sampler" owns a replica of each followed trainer's stream and submits
// jobs for open slots to the dispatcher; the duty "trainer-reader" reads the log.
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

// Config configures the sampler.
type Config struct {
	Daemon api.DaemonID
	// Member is this daemon's name in Members.
	Member  api.DaemonID
	Planner samples.PlannerConfig // MaxOutstanding is for the jobs of all trainers together
	// MaxPendingCalls bounds the pending calls and, separately, their appends.
	MaxPendingCalls   int
	MaxTrainers       int           // streams followed at once
	MaxOpenSteps      int           // incomplete steps of one trainer
	MaxGroups         int           // in one pull
	ReadLimit         int           // entries in one read
	ReadWait          time.Duration // long-poll time of a read
	ReadBackoff       time.Duration // after a failed read
	AppendTimeout     time.Duration // of one append, with its retries
	JobTimeout        time.Duration // of one job
	FollowIdleTimeout time.Duration // until a stream without calls is unfollowed
	// CheckpointInterval is the maximum age of the newest complete checkpoint of a
	// followed stream, well below the log's retention. Zero disables checkpoints.
	CheckpointInterval time.Duration
	Tick               time.Duration
	// Random returns a number in [0, 1); it spreads retries and checkpoints.
	Random func() float64
}

// DefaultConfig returns the defaults for a daemon of this name.
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

// Catalog gives access to the current configuration.
type Catalog interface {
	// Plan returns a customer's plan. Errors: CodeUnknownCustomer, CodeUnknownPlan.
	Plan(api.CustomerID) (api.Plan, error)
	// CheckModelAccess checks that a plan may use a model and that an engine serves it.
	// Errors: CodeUnknownPlan, CodeUnknownModel.
	CheckModelAccess(api.PlanName, api.ModelName) error
	// WeightInForce returns a model's newest announced version; zero if there is none.
	WeightInForce(api.ModelName) api.WeightVersion
}

// Members reports which daemons are alive.
type Members interface {
	// Alive reports whether the daemon with this Config.Daemon is alive.
	Alive(api.DaemonID) bool
	// Live returns the names of the live daemons.
	Live() []api.DaemonID
}

// Deps are the dependencies of the sampler.
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
	// PullNumber must exceed every number this trainer ever sent, also before a
	// restart: trainers store it before sending.
	PullNumber uint64
	Cursor     api.Offset // NextOffset of the last result that the trainer stored
	MaxGroups  int        // zero means Config.MaxGroups
	// KnownVersion is the newest weight version known to the trainer; zero if none.
	KnownVersion api.WeightVersion
	Wait         time.Duration // how long to wait for groups
}

// PullResult holds the groups handed over to a trainer.
type PullResult struct {
	FromOffset     api.Offset // the request's cursor
	NextOffset     api.Offset // the cursor of the next request
	PullNumber     uint64
	Groups         []samples.Group
	DroppedSamples []samples.SlotRef // stale; they are generated again
	CompletedSteps []samples.StepID  // all their samples are final
}

type result[T any] struct {
	value T
	err   error
}

// Sampler is the handle of the two duties. It is safe for concurrent use.
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
		_ = s.duty.PostWait(ctx, m) // fails only after Stop
	}}
	s.reader = duty.Start(sys, duty.Config{Name: "trainer-reader", RingSize: 1}, r)
	c.reader = s.reader
	// Room for one message of each job or sample in flight, of each pending call,
	// of each append by a call, and of the reader.
	size := cfg.Planner.MaxOutstanding + 2*cfg.MaxPendingCalls + 1
	s.duty = duty.Start(sys, duty.Config{Name: "sampler", RingSize: size, Tick: cfg.Tick, IdleTick: idleTick}, c)
	_ = s.duty.Post(startMessage{post: s.duty.Post}) // a new duty's ring is empty
	return s
}

// OpenStep opens a step; repeating it with the same content succeeds.
// Errors: CodeInvalid, CodeUnknownCustomer, CodeUnknownPlan, CodeUnknownModel,
// CodeConflict (different content, or abandoned), CodeShed,
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

// AbandonResult is the result of abandoning a step.
type AbandonResult struct {
	Offset      api.Offset // of the record
	LostSamples []samples.SlotRef
}

// AbandonStep ends a step; repeating it succeeds with no lost samples. actor is the
// operator who requested it. Errors: CodeUnknownStep, CodeConflict when the step is complete,
// CodeShed, CodeLogUnavailable (not abandoned), CodeUnknownResult,
// CodeNotReady, CodeDeadlineExceeded, CodeCancelled.
func (s *Sampler) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, actor string) (AbandonResult, error) {
	reply := ring.NewSlot[result[AbandonResult]]()
	m := abandonMessage{trainer: t, step: step, actor: actor, reply: reply, expires: s.deadline(ctx)}
	return call(ctx, s, reply, m)
}

// Pull waits for groups and hands them over. Errors: CodeSuperseded when the pull
// number is not higher than all earlier ones, and those of OpenStep. After an
// error the trainer retries with a higher number and the same cursor.
func (s *Sampler) Pull(ctx context.Context, r PullRequest) (PullResult, error) {
	if r.Trainer == "" || r.PullNumber == 0 {
		return PullResult{}, api.Errorf(api.CodeInvalid, "a pull needs a trainer and a pull number of at least 1")
	}
	if r.MaxGroups <= 0 || r.MaxGroups > s.cfg.MaxGroups {
		r.MaxGroups = s.cfg.MaxGroups
	}
	reply := ring.NewSlot[result[PullResult]]()
	return call(ctx, s, reply, pullRequestMessage{req: r, reply: reply, expires: s.now().Add(r.Wait)})
}

// TrainerState reports a trainer's stream as far as this daemon has read it;
// another daemon may have read further. Errors: CodeUnknownTrainer and those of
// OpenStep.
func (s *Sampler) TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error) {
	reply := ring.NewSlot[result[samples.Report]]()
	return call(ctx, s, reply, stateCall{trainer: t, reply: reply, expires: s.deadline(ctx)})
}

// Stop rejects new calls, fails pending ones with CodeNotReady, cancels the jobs
// and ends the duties. Errors: ctx.Err().
func (s *Sampler) Stop(ctx context.Context) error {
	s.stopped.Store(true)
	defer s.endLifetime()
	if err := s.reader.Stop(ctx); err != nil {
		return err
	}
	return s.duty.Stop(ctx)
}

// deadline returns the deadline of ctx, or AppendTimeout from now if it has none.
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
		return zero, api.Errorf(api.CodeShed, "%d calls are already pending", s.cfg.MaxPendingCalls)
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
