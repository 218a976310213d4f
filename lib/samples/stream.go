package samples

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dotterelmount.example/api"
)

const (
	// rememberedSteps bounds the names of ended steps that are kept so that a
	// repeated StepOpened does not open them again.
	rememberedSteps = 1024
	// rememberedLost bounds the names of lost samples: two large steps.
	rememberedLost = 8192
)

type slotState uint8

const (
	slotOpen slotState = iota
	slotReady
	slotHanded
	slotFinal
	slotLost
)

type slot struct {
	state    slotState
	attempt  int
	sample   Sample
	doneID   api.RecordID // record that filled the slot
	handedAt api.Offset
}

type group struct {
	spec  GroupSpec
	slots []slot
}

// handed reports whether the whole group is handed, and at which offset.
func (g *group) handed() (api.Offset, bool) {
	return g.slots[0].handedAt, g.slots[0].state == slotHanded
}

// closed reports whether nothing can happen to the group any more.
func (g *group) closed() bool {
	return g.slots[0].state == slotFinal || g.slots[0].state == slotLost
}

type step struct {
	opened   StepOpened
	digest   uint64
	openedAt api.Offset
	runner   api.DaemonID
	groups   []*group
	byID     map[GroupID]*group
	due      int // slots
	open     int // slots without a sample
	dropped  int
	// abandoned is nil unless the step was abandoned while it was open.
	abandoned *AbandonedStep
}

// closed reports whether each group is final or lost.
func (st *step) closed() bool {
	for _, g := range st.groups {
		if !g.closed() {
			return false
		}
	}
	return true
}

// endedStep is what is kept of a step that was forgotten.
type endedStep struct {
	digest    uint64
	abandoned *AbandonedStep
}

// Counts of one stream since its oldest record folded.
type Counts struct {
	Due          int `json:"due"`
	Ready        int `json:"ready"`  // samples that filled a slot
	Handed       int `json:"handed"` // samples put into answers, also again after a return
	Final        int `json:"final"`
	Duplicate    int `json:"duplicate"`
	DroppedStale int `json:"dropped_stale"`
	Lost         int `json:"lost"`
	VoidPulls    int `json:"void_pulls"`
	Returned     int `json:"returned"` // handed, but never taken by the trainer
}

// Stream is the folded state of one trainer's log stream. It belongs to one thread.
type Stream struct {
	through api.Offset
	pull    uint64
	cursor  api.Offset
	highest map[api.ModelName]api.WeightVersion
	steps   []*step // in the order of their opening
	byID    map[StepID]*step
	ended   map[StepID]endedStep
	order   []StepID // of ended, oldest first
	lost    []SlotRef
	counts  Counts
	// gap is the last offset that expired before it was folded; zero if none did.
	gap api.Offset
	// expired are steps that records name but whose opening expired.
	expired []StepID
}

// NewStream returns the state before any record.
func NewStream() *Stream {
	return &Stream{
		highest: make(map[api.ModelName]api.WeightVersion),
		byID:    make(map[StepID]*step),
		ended:   make(map[StepID]endedStep),
	}
}

// Verdict is what the fold decided about one record.
type Verdict struct {
	ID     api.RecordID
	Offset api.Offset
	// Err is nil when the record took effect or changed nothing; otherwise an
	// *api.Error with CodeConflict, CodeSuperseded, CodeUnknownStep or CodeInvalid.
	Err error
	// Groups handed and slots dropped by a HandOver.
	Groups  []Group
	Dropped []SlotRef
	// Whole lists the steps whose last sample became final by this record.
	Whole []StepID
	// Duplicate is true for a sample that another one came before.
	Duplicate bool
	// Lost lists the slots that a StepAbandoned ended without a sample.
	Lost []SlotRef
}

// Group is a group that was handed, with its samples in order of index.
type Group struct {
	GroupRef
	Samples []Sample
}

// Apply folds the record at an offset. Offsets at or below the last one folded
// are ignored.
func (s *Stream) Apply(at api.Offset, r Record) Verdict {
	v := Verdict{ID: r.ID, Offset: at}
	if at <= s.through {
		return v
	}
	s.through = at
	switch b := r.Body.(type) {
	case StepOpened:
		v.Err = s.open(at, b)
	case SampleDone:
		v.Duplicate = s.done(r.ID, b)
	case HandOver:
		s.handOver(&v, b)
	case StepRunner:
		if st := s.byID[b.Step]; st != nil {
			st.runner = b.Daemon
		}
		s.noteExpired(b.Step)
	case StepAbandoned:
		s.abandon(&v, b)
	case Checkpoint:
	default:
		v.Err = api.Errorf(api.CodeInvalid, "record %s of type %T", r.ID, r.Body)
	}
	return v
}

func (s *Stream) open(at api.Offset, b StepOpened) error {
	if known, err := s.CheckStep(&b); known {
		return err
	}
	if err := b.Validate(); err != nil {
		return err
	}
	st := newStep(at, b)
	s.counts.Due += st.due
	s.steps = append(s.steps, st)
	s.byID[b.Step] = st
	return nil
}

func newStep(at api.Offset, b StepOpened) *step {
	st := &step{opened: b, digest: b.digest(), openedAt: at, byID: make(map[GroupID]*group, len(b.Groups))}
	for i := range b.Groups {
		g := &group{spec: b.Groups[i], slots: make([]slot, b.Groups[i].N)}
		st.groups = append(st.groups, g)
		st.byID[g.spec.ID] = g
		st.due += g.spec.N
	}
	st.open = st.due
	return st
}

// CheckStep compares a step with the one of the same name that is open or ended
// not long ago; known is false if there is none. Errors: CodeConflict when the
// contents differ, the step was abandoned, or its first opening expired.
func (s *Stream) CheckStep(b *StepOpened) (known bool, err error) {
	was, known := s.ended[b.Step]
	if st := s.byID[b.Step]; st != nil {
		was, known = endedStep{digest: st.digest, abandoned: st.abandoned}, true
	}
	switch {
	case !known && slices.Contains(s.expired, b.Step):
		return true, api.Errorf(api.CodeConflict, "step %q was open before, and what was handed of it is not known any more", b.Step)
	case known && was.digest != b.digest():
		return true, api.Errorf(api.CodeConflict, "step %q was opened with other content", b.Step)
	case known && was.abandoned != nil:
		return true, api.Errorf(api.CodeConflict, "step %q was abandoned by %s", b.Step, was.abandoned.Actor)
	}
	return known, nil
}

// digest covers what the trainer asked for; the plan may change between repeats.
func (s *StepOpened) digest() uint64 {
	h := fnv.New64a()
	field := func(text string) { fmt.Fprintf(h, "%d:%s", len(text), text) }
	field(string(s.Model))
	field(string(s.Customer))
	for i := range s.Groups {
		g := &s.Groups[i]
		field(string(g.ID))
		for _, m := range g.Messages {
			field(m.Role)
			field(m.Content)
		}
		fmt.Fprintf(h, "|%d|%d|", g.N, g.MaxTokens)
	}
	return h.Sum64()
}

func (s *Stream) slot(ref SlotRef) (*step, *slot) {
	st := s.byID[ref.Step]
	if st == nil {
		return nil, nil
	}
	g := st.byID[ref.Group]
	if g == nil || ref.Index < 0 || ref.Index >= len(g.slots) {
		return nil, nil
	}
	return st, &g.slots[ref.Index]
}

// done reports whether the sample is a duplicate.
func (s *Stream) done(id api.RecordID, b SampleDone) bool {
	for _, v := range b.Sample.Versions {
		s.raise(b.Model, v)
	}
	s.noteExpired(b.Slot.Step)
	st, sl := s.slot(b.Slot)
	if sl == nil || sl.state == slotLost {
		return false
	}
	if sl.state != slotOpen || sl.attempt != b.Attempt {
		if sl.doneID == id {
			return false // the same record, appended again
		}
		s.counts.Duplicate++
		return true
	}
	s.counts.Ready++
	st.open--
	sl.state = slotReady
	sl.sample = b.Sample
	sl.doneID = id
	return false
}

// noteExpired remembers a step that is named after a gap and was never seen opened.
func (s *Stream) noteExpired(id StepID) {
	_, ended := s.ended[id]
	if s.gap == 0 || ended || s.byID[id] != nil || slices.Contains(s.expired, id) {
		return
	}
	s.expired = append(s.expired, id)
	if over := len(s.expired) - rememberedSteps; over > 0 {
		s.expired = s.expired[over:]
	}
}

func (s *Stream) raise(m api.ModelName, v api.WeightVersion) {
	s.highest[m] = max(s.highest[m], v)
}

func (s *Stream) lose(ref SlotRef) {
	s.lost = append(s.lost, ref)
	if over := len(s.lost) - rememberedLost; over > 0 {
		s.lost = s.lost[over:]
	}
}

// forget removes a step, keeping its name, its digest and who abandoned it.
func (s *Stream) forget(st *step) {
	id := st.opened.Step
	delete(s.byID, id)
	for i := range s.steps {
		if s.steps[i] == st {
			s.steps = append(s.steps[:i], s.steps[i+1:]...)
			break
		}
	}
	s.ended[id] = endedStep{digest: st.digest, abandoned: st.abandoned}
	s.order = append(s.order, id)
	if len(s.order) > rememberedSteps {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
}
