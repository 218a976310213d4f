package samples

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

// RunConfig tunes the running of open slots on one daemon.
type RunConfig struct {
	MaxOutstanding int // jobs at the same time
	MaxHedges      int // second jobs of slots at the same time
	// HedgeShare is the share of a step's samples, between 0 and 1, that must
	// be there before its stragglers are hedged.
	HedgeShare  float64
	HedgeAfter  time.Duration // shortest run before a hedge
	HedgeFactor float64       // and at least this many times the median run
	BackoffMin  time.Duration // after the first failure of a slot
	BackoffMax  time.Duration
	// TakeOverAfter is how long a step may make no progress before another
	// daemon runs it too.
	TakeOverAfter time.Duration
	LateAfter     time.Duration // an open slot older than this is late
}

// JobKey identifies one run of a slot.
type JobKey struct {
	Slot    SlotRef
	Attempt int
	Try     int
}

// Plan lists what to start and what to cancel.
type Plan struct {
	Start  []Start
	Cancel []JobKey
	// TakeOver lists steps whose runner is gone or stuck.
	TakeOver []StepID
}

// Start is a job to submit.
type Start struct {
	JobKey
	Step *StepOpened
	Spec *GroupSpec
}

type slotRun struct {
	attempt   int
	firstSeen time.Time
	running   map[int]time.Time // start of each try
	tries     int
	failures  int
	notBefore time.Time
	done      bool // a whole answer is on its way into the log
}

type stepWatch struct {
	open  int
	since time.Time // of the last change of open
}

// Runner plans the jobs of one trainer's stream on one daemon. It is pure:
// time and random numbers come in as arguments.
type Runner struct {
	cfg         RunConfig
	self        api.DaemonID
	slots       map[SlotRef]*slotRun
	steps       map[StepID]*stepWatch
	outstanding int
	hedges      int
	durations   []time.Duration // of the last whole runs
}

// rememberedDurations bounds the runs that the median is taken over.
const rememberedDurations = 64

// NewRunner returns a planner for the daemon self.
func NewRunner(cfg RunConfig, self api.DaemonID) *Runner {
	return &Runner{cfg: cfg, self: self, slots: make(map[SlotRef]*slotRun), steps: make(map[StepID]*stepWatch)}
}

// Outstanding returns the number of jobs that were started and not finished.
func (r *Runner) Outstanding() int { return r.outstanding }

// Plan decides what to start and cancel now. alive tells whether a daemon is
// alive by membership; room is how many more jobs the daemon may start.
func (r *Runner) Plan(s *Stream, alive func(api.DaemonID) bool, room int, now time.Time) Plan {
	var p Plan
	open := s.OpenSlots()
	r.forgetClosed(s, &p)
	r.watch(open, now)
	taken := make(map[StepID]bool)
	room = min(room, r.cfg.MaxOutstanding-r.outstanding)
	for i := range open {
		o := &open[i]
		run := r.track(o, &p, now)
		if !r.mine(o, alive, now, taken) {
			continue
		}
		if room > 0 && r.shouldRun(run, o.Share, now) {
			p.Start = append(p.Start, r.start(o, run, now))
			room--
		}
	}
	for id := range taken {
		p.TakeOver = append(p.TakeOver, id)
	}
	slices.Sort(p.TakeOver)
	return p
}

// track returns the slot's run, and cancels the runs of an older attempt.
func (r *Runner) track(o *OpenSlot, p *Plan, now time.Time) *slotRun {
	run := r.slots[o.SlotRef]
	if run != nil && run.attempt == o.Attempt {
		return run
	}
	if run != nil {
		r.cancel(o.SlotRef, run, p)
	}
	run = &slotRun{attempt: o.Attempt, firstSeen: now, running: make(map[int]time.Time)}
	r.slots[o.SlotRef] = run
	return run
}

func (r *Runner) cancel(ref SlotRef, run *slotRun, p *Plan) {
	for try := range run.running {
		p.Cancel = append(p.Cancel, JobKey{Slot: ref, Attempt: run.attempt, Try: try})
	}
	r.release(run)
}

// release gives back the room of a run's jobs; their answers no longer matter.
func (r *Runner) release(run *slotRun) {
	r.outstanding -= len(run.running)
	r.hedges -= max(0, len(run.running)-1)
	clear(run.running)
}

func (r *Runner) forgetClosed(s *Stream, p *Plan) {
	for ref, run := range r.slots {
		if !s.Open(ref, run.attempt) {
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

func (r *Runner) watch(open []OpenSlot, now time.Time) {
	counts := make(map[StepID]int)
	for i := range open {
		counts[open[i].SlotRef.Step]++
	}
	for id, n := range counts {
		w := r.steps[id]
		if w == nil || w.open != n {
			r.steps[id] = &stepWatch{open: n, since: now}
		}
	}
}

// mine decides whether this daemon runs the slot; a step taken over goes to taken.
func (r *Runner) mine(o *OpenSlot, alive func(api.DaemonID) bool, now time.Time, taken map[StepID]bool) bool {
	if o.Runner == r.self {
		return true
	}
	id := o.SlotRef.Step
	if taken[id] {
		return true
	}
	idle := now.Sub(r.steps[id].since)
	gone := o.Runner == "" || !alive(o.Runner)
	if idle < r.cfg.TakeOverAfter && (!gone || idle < r.cfg.TakeOverAfter/goneDivisor) {
		return false
	}
	r.steps[id].since = now
	taken[id] = true
	return true
}

// goneDivisor shortens the wait for a runner that membership believes dead;
// it is not zero, as membership lags and a step's runner is recorded after it.
const goneDivisor = 10

func (r *Runner) shouldRun(run *slotRun, share float64, now time.Time) bool {
	if run.done || now.Before(run.notBefore) {
		return false
	}
	if len(run.running) == 0 {
		return true
	}
	if len(run.running) > 1 || r.hedges >= r.cfg.MaxHedges || share < r.cfg.HedgeShare {
		return false
	}
	for _, started := range run.running {
		return now.Sub(started) >= r.hedgeDelay()
	}
	return false
}

func (r *Runner) hedgeDelay() time.Duration {
	if len(r.durations) == 0 {
		return r.cfg.HedgeAfter
	}
	sorted := slices.Sorted(slices.Values(r.durations))
	median := sorted[len(sorted)/2]
	return max(r.cfg.HedgeAfter, time.Duration(r.cfg.HedgeFactor*float64(median)))
}

func (r *Runner) start(o *OpenSlot, run *slotRun, now time.Time) Start {
	run.tries++
	if len(run.running) > 0 {
		r.hedges++
	}
	run.running[run.tries] = now
	r.outstanding++
	key := JobKey{Slot: o.SlotRef, Attempt: o.Attempt, Try: run.tries}
	return Start{JobKey: key, Step: o.Step, Spec: o.Spec}
}

// Finished takes the end of a job. whole is true for a complete answer with
// known versions; use tells whether it is the first whole one of its attempt,
// so that it goes into the log. The slot's other jobs are to be cancelled.
// jitter, between 0 and 1, spreads retries.
func (r *Runner) Finished(key JobKey, whole bool, now time.Time, jitter float64) (use bool, cancel []JobKey) {
	run := r.slots[key.Slot]
	if run == nil || run.attempt != key.Attempt {
		return false, nil
	}
	started, running := run.running[key.Try]
	if !running {
		return false, nil
	}
	r.drop(run, key.Try)
	if !whole {
		run.failures++
		run.notBefore = now.Add(r.backoff(run.failures, jitter))
		return false, nil
	}
	r.remember(now.Sub(started))
	run.done = true
	var p Plan
	r.cancel(key.Slot, run, &p)
	return true, p.Cancel
}

func (r *Runner) drop(run *slotRun, try int) {
	if len(run.running) > 1 {
		r.hedges--
	}
	delete(run.running, try)
	r.outstanding--
}

func (r *Runner) remember(d time.Duration) {
	r.durations = append(r.durations, d)
	if len(r.durations) > rememberedDurations {
		r.durations = r.durations[1:]
	}
}

// backoff grows twofold with each failure; half of it is jitter.
func (r *Runner) backoff(failures int, jitter float64) time.Duration {
	d := r.cfg.BackoffMin
	for range failures - 1 {
		d = min(2*d, r.cfg.BackoffMax)
	}
	return d/2 + time.Duration(jitter*float64(d/2))
}

// Late lists the slots that are open for longer than LateAfter, as seen here.
func (r *Runner) Late(s *Stream, now time.Time) []SlotRef {
	var late []SlotRef
	for _, o := range s.OpenSlots() {
		run := r.slots[o.SlotRef]
		if run != nil && now.Sub(run.firstSeen) >= r.cfg.LateAfter {
			late = append(late, o.SlotRef)
		}
	}
	return late
}
