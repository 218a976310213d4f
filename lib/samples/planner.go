package samples

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// PlannerConfig configures how a daemon runs open slots.
type PlannerConfig struct {
	MaxOutstanding int // concurrent jobs
	MaxHedges      int // concurrent hedges, that is second jobs of a slot
	// HedgeFraction is the fraction of a step's slots, between 0 and 1, that must
	// be filled before its open slots are hedged.
	HedgeFraction float64
	HedgeAfter    time.Duration // minimum run time of a job before a hedge
	HedgeFactor   float64       // the same, as a multiple of the median run time
	BackoffMin    time.Duration // delay after the first failure of a slot
	BackoffMax    time.Duration
	// TakeOverAfter is the time without progress of a step after which another
	// daemon takes it over.
	TakeOverAfter time.Duration
	LateAfter     time.Duration // age of a step from which its open slots are late
}

// JobKey identifies a job, which generates the sample of a slot.
type JobKey struct {
	Slot      SlotRef
	Attempt   int // attempt of the slot; increases when a stale sample is dropped
	TryNumber int // number of the job within the attempt, from 1
}

// Plan lists the jobs to start and to cancel.
type Plan struct {
	ToStart  []JobStart
	ToCancel []JobKey
	// ToTakeOver lists steps that this daemon takes over from a runner that is
	// dead or makes no progress.
	ToTakeOver []StepID
}

// JobStart is a job to submit.
type JobStart struct {
	JobKey
	Step *StepOpened
	Spec *GroupSpec
}

// slotRun is a slot for which this daemon has started a job.
type slotRun struct {
	attempt   int
	spec      *GroupSpec
	running   map[int]time.Time // start time by try number
	tries     int
	failures  int
	notBefore time.Time
	logged    bool // a sample was submitted to the log
}

// stepProgress is the progress of a step as observed by this daemon.
type stepProgress struct {
	firstSeen     time.Time
	open          int // open slots
	runner        api.DaemonID
	lastChange    time.Time // last change of open or runner
	runnerChanges int
}

// Planner plans the jobs of one trainer's stream on one daemon. Time and random
// numbers are arguments. It is not safe for concurrent use.
type Planner struct {
	cfg         PlannerConfig
	self        api.DaemonID
	slots       map[SlotRef]*slotRun
	steps       map[StepID]*stepProgress
	outstanding int
	hedges      int
	durations   []time.Duration // run times of the last successful jobs
}

// maxDurations is the number of jobs over which the median run time is taken.
const maxDurations = 64

// NewPlanner returns a planner for the daemon self.
func NewPlanner(cfg PlannerConfig, self api.DaemonID) *Planner {
	return &Planner{cfg: cfg, self: self, slots: make(map[SlotRef]*slotRun), steps: make(map[StepID]*stepProgress)}
}

// Outstanding returns the number of running jobs.
func (pl *Planner) Outstanding() int { return pl.outstanding }

// View is the state of the deployment that a planner uses.
type View struct {
	Alive  func(api.DaemonID) bool // whether the daemon is alive according to membership
	Usable func(*StepOpened) bool  // whether the customer may use the model and it is served
	// Owns reports whether this daemon, of those that follow the trainer, runs a
	// group; nil: the step's runner runs all groups.
	Owns func(GroupRef) bool
}

// groupScope is the set of groups of a step that this daemon runs.
type groupScope uint8

const (
	scopeNone  groupScope = iota // no groups
	scopeOwned                   // the groups that View.Owns selects
	scopeAll                     // all groups
)

// Plan returns the jobs to start and to cancel now. The daemon may start at most
// room more jobs. The cost grows with the number of running jobs, not of open
// slots.
func (pl *Planner) Plan(s *Stream, view View, room int, now time.Time) Plan {
	var p Plan
	pl.dropClosed(s, &p)
	room = min(room, pl.cfg.MaxOutstanding-pl.outstanding)
	scopes := make(map[StepID]groupScope)
	for _, st := range s.steps {
		progress := pl.trackStep(st, now)
		if st.open > 0 && !view.Usable(&st.opened) {
			continue // LateSlots reports its slots until the model is usable again
		}
		scopes[st.opened.Step] = pl.scope(st, progress, view, &p, now)
	}
	room = pl.startRepeated(s, &p, scopes, room, now)
	for _, st := range s.steps {
		scope := scopes[st.opened.Step]
		if room <= 0 || scope == scopeNone {
			continue
		}
		owns := view.Owns
		if scope == scopeAll {
			owns = nil
		}
		room = pl.startNew(st, &p, owns, room, now)
	}
	return p
}

// scope returns the groups of a step that this daemon runs. If the step makes no
// progress, its runner also runs the groups that other daemons own.
func (pl *Planner) scope(st *step, progress *stepProgress, view View, p *Plan, now time.Time) groupScope {
	switch {
	case st.runner == pl.self:
		if view.Owns == nil || now.Sub(progress.lastChange) >= pl.cfg.TakeOverAfter/deadRunnerDivisor {
			return scopeAll
		}
		return scopeOwned
	case st.open > 0 && pl.shouldTakeOver(st.opened.Step, progress, view.Alive, now):
		p.ToTakeOver = append(p.ToTakeOver, st.opened.Step)
		return scopeAll
	case view.Owns != nil:
		return scopeOwned
	default:
		return scopeNone
	}
}

// startRepeated retries and hedges slots for which a job was started before. It
// returns the remaining room.
func (pl *Planner) startRepeated(s *Stream, p *Plan, scopes map[StepID]groupScope, room int, now time.Time) int {
	var due []SlotRef
	delay := pl.hedgeDelay()
	for ref, run := range pl.slots {
		if st := s.byID[ref.Step]; scopes[ref.Step] != scopeNone && pl.shouldRun(run, st, delay, now) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, compareSlots)
	for _, ref := range due {
		run := pl.slots[ref]
		hedge := len(run.running) > 0
		if room <= 0 || (hedge && pl.hedges >= pl.cfg.MaxHedges) {
			continue
		}
		p.ToStart = append(p.ToStart, pl.start(s.byID[ref.Step], ref, run, now))
		room--
	}
	return room
}

func compareSlots(a, b SlotRef) int {
	return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index))
}

// startNew starts a first job for open slots. A non-nil owns selects the groups.
// It returns the remaining room.
func (pl *Planner) startNew(st *step, p *Plan, owns func(GroupRef) bool, room int, now time.Time) int {
	st.eachOpen(owns, func(o OpenSlot) bool {
		if pl.slots[o.SlotRef] != nil {
			return true
		}
		run := &slotRun{attempt: o.Attempt, spec: o.Spec, running: make(map[int]time.Time)}
		pl.slots[o.SlotRef] = run
		p.ToStart = append(p.ToStart, pl.start(st, o.SlotRef, run, now))
		room--
		return room > 0
	})
	return room
}

func (pl *Planner) cancel(ref SlotRef, run *slotRun, p *Plan) {
	for try := range run.running {
		p.ToCancel = append(p.ToCancel, JobKey{Slot: ref, Attempt: run.attempt, TryNumber: try})
	}
	pl.release(run)
}

// release removes the running jobs of a slot; their results are ignored.
func (pl *Planner) release(run *slotRun) {
	pl.outstanding -= len(run.running)
	pl.hedges -= max(0, len(run.running)-1)
	clear(run.running)
}

// dropClosed cancels the jobs of slots that are no longer open, and forgets
// ended steps.
func (pl *Planner) dropClosed(s *Stream, p *Plan) {
	for ref, run := range pl.slots {
		if !s.IsOpen(ref, run.attempt) {
			pl.cancel(ref, run, p)
			delete(pl.slots, ref)
		}
	}
	for id := range pl.steps {
		if s.byID[id] == nil {
			delete(pl.steps, id)
		}
	}
}

func (pl *Planner) trackStep(st *step, now time.Time) *stepProgress {
	progress := pl.steps[st.opened.Step]
	if progress == nil {
		progress = &stepProgress{firstSeen: now, open: st.open, runner: st.runner, lastChange: now}
		pl.steps[st.opened.Step] = progress
	}
	if progress.runner != st.runner {
		progress.runner = st.runner
		progress.lastChange = now
		progress.runnerChanges++
	}
	if progress.open != st.open {
		progress.open = st.open
		progress.lastChange = now
	}
	return progress
}

// shouldTakeOver reports whether this daemon takes a step over from its runner.
func (pl *Planner) shouldTakeOver(id StepID, progress *stepProgress, alive func(api.DaemonID) bool, now time.Time) bool {
	wait := pl.cfg.TakeOverAfter << min(progress.runnerChanges, maxTakeOverDoublings)
	if progress.runner == "" || !alive(progress.runner) {
		wait = pl.cfg.TakeOverAfter / deadRunnerDivisor
	}
	wait += time.Duration(pl.takeOverJitter(id) * float64(wait))
	if now.Sub(progress.lastChange) < wait {
		return false
	}
	progress.lastChange = now
	return true
}

const (
	// deadRunnerDivisor divides TakeOverAfter if the runner is dead according to
	// membership. The wait is not zero because membership lags, and because the
	// runner of a step is recorded after the step.
	deadRunnerDivisor = 10
	// maxTakeOverDoublings bounds the wait, which doubles with each take-over so
	// that daemons do not take a slow step over from each other all the time.
	maxTakeOverDoublings = 5
)

// takeOverJitter returns a number in [0, 1) that differs between daemons, so
// that the StepRunner record of the first one reaches the others before their
// wait ends.
func (pl *Planner) takeOverJitter(id StepID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(pl.self) + "/" + string(id)))
	return float64(h.Sum32()) / (1 << 32)
}

func (pl *Planner) shouldRun(run *slotRun, st *step, delay time.Duration, now time.Time) bool {
	if run.logged || now.Before(run.notBefore) || len(run.running) > 1 {
		return false
	}
	for _, started := range run.running {
		filled := float64(st.slotCount-st.open) / float64(st.slotCount)
		return now.Sub(started) >= delay && filled >= pl.cfg.HedgeFraction
	}
	return true
}

func (pl *Planner) hedgeDelay() time.Duration {
	if len(pl.durations) == 0 {
		return pl.cfg.HedgeAfter
	}
	sorted := slices.Sorted(slices.Values(pl.durations))
	median := sorted[len(sorted)/2]
	return max(pl.cfg.HedgeAfter, time.Duration(pl.cfg.HedgeFactor*float64(median)))
}

func (pl *Planner) start(st *step, ref SlotRef, run *slotRun, now time.Time) JobStart {
	run.tries++
	if len(run.running) > 0 {
		pl.hedges++
	}
	run.running[run.tries] = now
	pl.outstanding++
	key := JobKey{Slot: ref, Attempt: run.attempt, TryNumber: run.tries}
	return JobStart{JobKey: key, Step: &st.opened, Spec: run.spec}
}

// JobFinished records the end of a job. complete is true for a complete
// generation with known versions. use reports whether it is the first complete
// one of its attempt and must be logged; the other jobs of the slot, in cancel,
// must then be cancelled. jitter, between 0 and 1, spreads retries.
func (pl *Planner) JobFinished(key JobKey, complete bool, now time.Time, jitter float64) (use bool, cancel []JobKey) {
	run := pl.slots[key.Slot]
	if run == nil || run.attempt != key.Attempt {
		return false, nil
	}
	started, running := run.running[key.TryNumber]
	if !running {
		return false, nil
	}
	pl.endTry(run, key.TryNumber)
	if !complete {
		run.failures++
		run.notBefore = now.Add(pl.backoff(run.failures, jitter))
		return false, nil
	}
	pl.recordDuration(now.Sub(started))
	run.logged = true
	var p Plan
	pl.cancel(key.Slot, run, &p)
	return true, p.ToCancel
}

func (pl *Planner) endTry(run *slotRun, try int) {
	if len(run.running) > 1 {
		pl.hedges--
	}
	delete(run.running, try)
	pl.outstanding--
}

func (pl *Planner) recordDuration(d time.Duration) {
	pl.durations = append(pl.durations, d)
	if len(pl.durations) > maxDurations {
		pl.durations = pl.durations[1:]
	}
}

// backoff doubles with each failure up to BackoffMax; half of it is jitter.
func (pl *Planner) backoff(failures int, jitter float64) time.Duration {
	d := pl.cfg.BackoffMin
	for range failures - 1 {
		d = min(2*d, pl.cfg.BackoffMax)
	}
	return d/2 + time.Duration(jitter*float64(d/2))
}

// LateSlots returns the open slots of steps that this daemon has seen for
// LateAfter or longer, and of steps that are not usable.
func (pl *Planner) LateSlots(s *Stream, usable func(*StepOpened) bool, now time.Time) []SlotRef {
	var late []SlotRef
	for _, st := range s.steps {
		progress := pl.steps[st.opened.Step]
		old := progress != nil && now.Sub(progress.firstSeen) >= pl.cfg.LateAfter
		if !old && usable(&st.opened) {
			continue
		}
		st.eachOpen(nil, func(o OpenSlot) bool {
			late = append(late, o.SlotRef)
			return true
		})
	}
	return late
}
