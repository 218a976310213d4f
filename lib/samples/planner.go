package samples

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// PlannerConfig tunes the running of open slots on one daemon.
type PlannerConfig struct {
	MaxOutstanding int // jobs at the same time
	MaxHedges      int // second jobs of slots at the same time
	// HedgeFraction is the share of a step's samples, between 0 and 1, that must
	// be there before its stragglers are hedged.
	HedgeFraction float64
	HedgeAfter    time.Duration // shortest run before a hedge
	HedgeFactor   float64       // and at least this many times the median run
	BackoffMin    time.Duration // after the first failure of a slot
	BackoffMax    time.Duration
	// TakeOverAfter is how long a step may make no progress before another
	// daemon runs it too.
	TakeOverAfter time.Duration
	LateAfter     time.Duration // an open slot older than this is late
}

// JobKey identifies one run of a slot.
type JobKey struct {
	Slot      SlotRef
	Attempt   int
	TryNumber int
}

// Plan lists what to start and what to cancel.
type Plan struct {
	ToStart  []JobStart
	ToCancel []JobKey
	// ToTakeOver lists steps whose runner is gone or stuck.
	ToTakeOver []StepID
}

// JobStart is a job to submit.
type JobStart struct {
	JobKey
	Step *StepOpened
	Spec *GroupSpec
}

// slotRun is a slot that this daemon has run at least once.
type slotRun struct {
	attempt   int
	spec      *GroupSpec
	running   map[int]time.Time // start of each try
	tries     int
	failures  int
	notBefore time.Time
	done      bool // a whole answer is on its way into the log
}

type stepWatch struct {
	firstSeen time.Time
	open      int
	runner    api.DaemonID
	since     time.Time // of the last change of open or runner
	changes   int       // of the runner
}

// Planner plans the jobs of one trainer's stream on one daemon. It is pure:
// time and random numbers come in as arguments.
type Planner struct {
	cfg         PlannerConfig
	self        api.DaemonID
	slots       map[SlotRef]*slotRun
	steps       map[StepID]*stepWatch
	outstanding int
	hedges      int
	durations   []time.Duration // of the last whole runs
}

// rememberedDurations bounds the runs that the median is taken over.
const rememberedDurations = 64

// NewPlanner returns a planner for the daemon self.
func NewPlanner(cfg PlannerConfig, self api.DaemonID) *Planner {
	return &Planner{cfg: cfg, self: self, slots: make(map[SlotRef]*slotRun), steps: make(map[StepID]*stepWatch)}
}

// Outstanding returns the number of jobs that were started and not finished.
func (r *Planner) Outstanding() int { return r.outstanding }

// View is what a planner knows of the deployment.
type View struct {
	Alive  func(api.DaemonID) bool // by membership
	Usable func(*StepOpened) bool  // the step's customer may use a served model
	// Owns reports whether this daemon is the one of those that follow the
	// trainer that runs a group; nil: the step's runner runs all its groups.
	Owns func(GroupRef) bool
}

// part says which groups of a step this daemon runs.
type part uint8

const (
	partNone part = iota
	partOwned
	partAll
)

// Plan decides what to start and cancel now. room is how many more jobs the
// daemon may start. Its cost grows with the jobs under way, not with the open
// slots.
func (r *Planner) Plan(s *Stream, view View, room int, now time.Time) Plan {
	var p Plan
	r.forgetClosed(s, &p)
	room = min(room, r.cfg.MaxOutstanding-r.outstanding)
	parts := make(map[StepID]part)
	for _, st := range s.steps {
		w := r.watch(st, now)
		if st.open > 0 && !view.Usable(&st.opened) {
			continue // its slots are late until the model is served again
		}
		parts[st.opened.Step] = r.part(st, w, view, &p, now)
	}
	room = r.startAgain(s, &p, parts, room, now)
	for _, st := range s.steps {
		runs := parts[st.opened.Step]
		if room <= 0 || runs == partNone {
			continue
		}
		owns := view.Owns
		if runs == partAll {
			owns = nil
		}
		room = r.startNew(st, &p, owns, room, now)
	}
	return p
}

// part decides which groups of a step this daemon runs. Its runner also runs
// those of daemons that do not get on with them.
func (r *Planner) part(st *step, w *stepWatch, view View, p *Plan, now time.Time) part {
	switch {
	case st.runner == r.self:
		if view.Owns == nil || now.Sub(w.since) >= r.cfg.TakeOverAfter/goneDivisor {
			return partAll
		}
		return partOwned
	case st.open > 0 && r.takesOver(st.opened.Step, w, view.Alive, now):
		p.ToTakeOver = append(p.ToTakeOver, st.opened.Step)
		return partAll
	case view.Owns != nil:
		return partOwned
	default:
		return partNone
	}
}

// startAgain retries and hedges slots that ran before. It returns the room left.
func (r *Planner) startAgain(s *Stream, p *Plan, parts map[StepID]part, room int, now time.Time) int {
	var again []SlotRef
	delay := r.hedgeDelay()
	for ref, run := range r.slots {
		if st := s.byID[ref.Step]; parts[ref.Step] != partNone && r.shouldRun(run, st, delay, now) {
			again = append(again, ref)
		}
	}
	slices.SortFunc(again, compareSlots)
	for _, ref := range again {
		run := r.slots[ref]
		hedge := len(run.running) > 0
		if room <= 0 || (hedge && r.hedges >= r.cfg.MaxHedges) {
			continue
		}
		p.ToStart = append(p.ToStart, r.start(s.byID[ref.Step], ref, run, now))
		room--
	}
	return room
}

func compareSlots(a, b SlotRef) int {
	return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index))
}

// startNew starts slots that have not run here, of the groups that owns names
// or, without it, of all. It returns the room left.
func (r *Planner) startNew(st *step, p *Plan, owns func(GroupRef) bool, room int, now time.Time) int {
	st.eachOpen(owns, func(o OpenSlot) bool {
		if r.slots[o.SlotRef] != nil {
			return true
		}
		run := &slotRun{attempt: o.Attempt, spec: o.Spec, running: make(map[int]time.Time)}
		r.slots[o.SlotRef] = run
		p.ToStart = append(p.ToStart, r.start(st, o.SlotRef, run, now))
		room--
		return room > 0
	})
	return room
}

func (r *Planner) cancel(ref SlotRef, run *slotRun, p *Plan) {
	for try := range run.running {
		p.ToCancel = append(p.ToCancel, JobKey{Slot: ref, Attempt: run.attempt, TryNumber: try})
	}
	r.release(run)
}

// release gives back the room of a run's jobs; their answers no longer matter.
func (r *Planner) release(run *slotRun) {
	r.outstanding -= len(run.running)
	r.hedges -= max(0, len(run.running)-1)
	clear(run.running)
}

func (r *Planner) forgetClosed(s *Stream, p *Plan) {
	for ref, run := range r.slots {
		if !s.IsOpen(ref, run.attempt) {
			r.cancel(ref, run, p)
			delete(r.slots, ref)
		}
	}
	for id := range r.steps {
		if s.byID[id] == nil {
			delete(r.steps, id)
		}
	}
}

func (r *Planner) watch(st *step, now time.Time) *stepWatch {
	w := r.steps[st.opened.Step]
	if w == nil {
		w = &stepWatch{firstSeen: now, open: st.open, runner: st.runner, since: now}
		r.steps[st.opened.Step] = w
	}
	if w.runner != st.runner {
		w.runner = st.runner
		w.since = now
		w.changes++
	}
	if w.open != st.open {
		w.open = st.open
		w.since = now
	}
	return w
}

// takesOver decides whether this daemon runs a step in place of its runner.
func (r *Planner) takesOver(id StepID, w *stepWatch, alive func(api.DaemonID) bool, now time.Time) bool {
	wait := r.cfg.TakeOverAfter << min(w.changes, maxTakeOverDoublings)
	if w.runner == "" || !alive(w.runner) {
		wait = r.cfg.TakeOverAfter / goneDivisor
	}
	wait += time.Duration(r.spread(id) * float64(wait))
	if now.Sub(w.since) < wait {
		return false
	}
	w.since = now
	return true
}

const (
	// goneDivisor shortens the wait for a runner that membership believes dead;
	// it is not zero, as membership lags and a step's runner is recorded after it.
	goneDivisor = 10
	// maxTakeOverDoublings bounds the wait between daemons that take a slow
	// step over from each other.
	maxTakeOverDoublings = 5
)

// spread returns a number in [0, 1) that differs between daemons, so that the
// first one's record of taking a step over reaches the others before their turn.
func (r *Planner) spread(id StepID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(r.self) + "/" + string(id)))
	return float64(h.Sum32()) / (1 << 32)
}

func (r *Planner) shouldRun(run *slotRun, st *step, delay time.Duration, now time.Time) bool {
	if run.done || now.Before(run.notBefore) || len(run.running) > 1 {
		return false
	}
	for _, started := range run.running {
		there := float64(st.due-st.open) / float64(st.due)
		return now.Sub(started) >= delay && there >= r.cfg.HedgeFraction
	}
	return true
}

func (r *Planner) hedgeDelay() time.Duration {
	if len(r.durations) == 0 {
		return r.cfg.HedgeAfter
	}
	sorted := slices.Sorted(slices.Values(r.durations))
	median := sorted[len(sorted)/2]
	return max(r.cfg.HedgeAfter, time.Duration(r.cfg.HedgeFactor*float64(median)))
}

func (r *Planner) start(st *step, ref SlotRef, run *slotRun, now time.Time) JobStart {
	run.tries++
	if len(run.running) > 0 {
		r.hedges++
	}
	run.running[run.tries] = now
	r.outstanding++
	key := JobKey{Slot: ref, Attempt: run.attempt, TryNumber: run.tries}
	return JobStart{JobKey: key, Step: &st.opened, Spec: run.spec}
}

// JobFinished takes the end of a job. whole is true for a complete answer with
// known versions; use tells whether it is the first whole one of its attempt,
// so that it goes into the log. The slot's other jobs are to be cancelled.
// jitter, between 0 and 1, spreads retries.
func (r *Planner) JobFinished(key JobKey, whole bool, now time.Time, jitter float64) (use bool, cancel []JobKey) {
	run := r.slots[key.Slot]
	if run == nil || run.attempt != key.Attempt {
		return false, nil
	}
	started, running := run.running[key.TryNumber]
	if !running {
		return false, nil
	}
	r.drop(run, key.TryNumber)
	if !whole {
		run.failures++
		run.notBefore = now.Add(r.backoff(run.failures, jitter))
		return false, nil
	}
	r.remember(now.Sub(started))
	run.done = true
	var p Plan
	r.cancel(key.Slot, run, &p)
	return true, p.ToCancel
}

func (r *Planner) drop(run *slotRun, try int) {
	if len(run.running) > 1 {
		r.hedges--
	}
	delete(run.running, try)
	r.outstanding--
}

func (r *Planner) remember(d time.Duration) {
	r.durations = append(r.durations, d)
	if len(r.durations) > rememberedDurations {
		r.durations = r.durations[1:]
	}
}

// backoff grows twofold with each failure; half of it is jitter.
func (r *Planner) backoff(failures int, jitter float64) time.Duration {
	d := r.cfg.BackoffMin
	for range failures - 1 {
		d = min(2*d, r.cfg.BackoffMax)
	}
	return d/2 + time.Duration(jitter*float64(d/2))
}

// LateSlots lists the open slots of steps that this daemon saw LateAfter ago, and of
// those whose model is not usable.
func (r *Planner) LateSlots(s *Stream, usable func(*StepOpened) bool, now time.Time) []SlotRef {
	var late []SlotRef
	for _, st := range s.steps {
		w := r.steps[st.opened.Step]
		old := w != nil && now.Sub(w.firstSeen) >= r.cfg.LateAfter
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
