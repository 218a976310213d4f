package samples

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dotterelmount.example/api"
)

const (
	// maxEndedSteps bounds the ended steps that are remembered, so that a repeated
	// StepOpened does not open them again.
	maxEndedSteps = 1024
	// maxLostSlots bounds the lost slots that are remembered; it is the size of two
	// large steps.
	maxLostSlots = 8192
)

type slotState uint8

const (
	slotOpen   slotState = iota // without a sample
	slotReady                   // filled, not handed over
	slotHanded                  // handed over, not acknowledged by a cursor
	slotFinal                   // received by the trainer
	slotLost                    // ended without a sample
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

// handed reports whether the group is handed over, and at which offset. All
// slots of a group are handed over together.
func (g *group) handed() (api.Offset, bool) {
	return g.slots[0].handedAt, g.slots[0].state == slotHanded
}

// closed reports whether the group is final or lost.
func (g *group) closed() bool {
	return g.slots[0].state == slotFinal || g.slots[0].state == slotLost
}

type step struct {
	opened    StepOpened
	digest    uint64
	openedAt  api.Offset
	runner    api.DaemonID
	groups    []*group
	byID      map[GroupID]*group
	slotCount int
	open      int // slots without a sample
	dropped   int // stale samples dropped
	// abandoned is nil unless the step was abandoned.
	abandoned *AbandonedStep
}

// closed reports whether all groups are final or lost.
func (st *step) closed() bool {
	for _, g := range st.groups {
		if !g.closed() {
			return false
		}
	}
	return true
}

// endedStep is what the stream remembers of an ended step.
type endedStep struct {
	digest    uint64
	abandoned *AbandonedStep
}

// Counts counts samples of a stream since the oldest applied record.
type Counts struct {
	Due          int `json:"due"`    // slots opened
	Ready        int `json:"ready"`  // samples that filled a slot
	Handed       int `json:"handed"` // samples handed over, repetitions included
	Final        int `json:"final"`  // samples received by the trainer
	Duplicate    int `json:"duplicate"`
	DroppedStale int `json:"dropped_stale"`
	Lost         int `json:"lost"`
	VoidPulls    int `json:"void_pulls"` // hand-overs without effect
	Returned     int `json:"returned"`   // samples handed over but not received by the trainer
}

// Stream is the state of one trainer's log stream. It is not safe for
// concurrent use.
type Stream struct {
	appliedOffset api.Offset
	pull          uint64                              // highest pull number
	cursor        api.Offset                          // highest cursor
	highest       map[api.ModelName]api.WeightVersion // highest known versions
	steps         []*step                             // open steps in opening order
	byID          map[StepID]*step
	ended         map[StepID]endedStep
	endedOrder    []StepID // keys of ended, oldest first
	lost          []SlotRef
	counts        Counts
	// gap is the last offset that expired before it was applied; zero if none did.
	gap api.Offset
	// expired lists steps that records refer to but whose StepOpened expired.
	expired []StepID
}

// NewStream returns the state before the first record.
func NewStream() *Stream {
	return &Stream{
		highest: make(map[api.ModelName]api.WeightVersion),
		byID:    make(map[StepID]*step),
		ended:   make(map[StepID]endedStep),
	}
}

// Verdict is the result of applying one record.
type Verdict struct {
	ID     api.RecordID
	Offset api.Offset
	// Err is nil if the record was accepted, with or without effect; otherwise an
	// *api.Error with CodeConflict, CodeSuperseded, CodeUnknownStep or CodeInvalid.
	Err error
	// Groups and Dropped are the groups that a HandOver handed over and the slots
	// whose stale samples it dropped.
	Groups  []Group
	Dropped []SlotRef
	// CompletedSteps lists the steps that the record completed: the trainer has received
	// all of their samples.
	CompletedSteps []StepID
	// Duplicate is true for a SampleDone whose slot was filled by another record or
	// whose attempt is not the slot's current one.
	Duplicate bool
	// Lost lists the slots that a StepAbandoned ended without a sample.
	Lost []SlotRef
}

// Group is a group that was handed over, with its samples in slot order.
type Group struct {
	GroupRef
	Samples []Sample
}

// Apply applies the record at an offset. Offsets at or below the last one
// applied are ignored.
func (s *Stream) Apply(at api.Offset, r Record) Verdict {
	v := Verdict{ID: r.ID, Offset: at}
	if at <= s.appliedOffset {
		return v
	}
	s.appliedOffset = at
	switch b := r.Body.(type) {
	case StepOpened:
		v.Err = s.openStep(at, b)
	case SampleDone:
		v.Duplicate = s.fillSlot(r.ID, b)
	case HandOver:
		s.handOver(&v, b)
	case StepRunner:
		if st := s.byID[b.Step]; st != nil {
			st.runner = b.Daemon
		}
		s.recordExpired(b.Step)
	case StepAbandoned:
		s.abandon(&v, b)
	case Checkpoint:
	default:
		v.Err = api.Errorf(api.CodeInvalid, "record %s of type %T", r.ID, r.Body)
	}
	return v
}

func (s *Stream) openStep(at api.Offset, b StepOpened) error {
	if known, err := s.CheckStep(&b); known {
		return err
	}
	if err := b.Validate(); err != nil {
		return err
	}
	st := newStep(at, b)
	s.counts.Due += st.slotCount
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
		st.slotCount += g.spec.N
	}
	st.open = st.slotCount
	return st
}

// CheckStep compares a step with the open or recently ended step of the same
// ID; known is false if there is none. Errors: CodeConflict if the contents
// differ, the step was abandoned, or its first StepOpened expired.
func (s *Stream) CheckStep(b *StepOpened) (known bool, err error) {
	was, known := s.ended[b.Step]
	if st := s.byID[b.Step]; st != nil {
		was, known = endedStep{digest: st.digest, abandoned: st.abandoned}, true
	}
	switch {
	case !known && slices.Contains(s.expired, b.Step):
		return true, api.Errorf(api.CodeConflict, "step %q was opened before, and the record of its samples has expired", b.Step)
	case known && was.digest != b.digest():
		return true, api.Errorf(api.CodeConflict, "step %q was opened with different content", b.Step)
	case known && was.abandoned != nil:
		return true, api.Errorf(api.CodeConflict, "step %q was abandoned by %s", b.Step, was.abandoned.Actor)
	}
	return known, nil
}

// digest hashes the content of the step. It leaves out the plan, which may
// change between repeated requests.
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

func (s *Stream) findSlot(ref SlotRef) (*step, *slot) {
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

// fillSlot stores a sample in its slot and reports whether it is a duplicate.
func (s *Stream) fillSlot(id api.RecordID, b SampleDone) bool {
	for _, v := range b.Sample.Versions {
		s.raiseVersion(b.Model, v)
	}
	s.recordExpired(b.Slot.Step)
	st, sl := s.findSlot(b.Slot)
	if sl == nil || sl.state == slotLost {
		return false
	}
	if sl.state != slotOpen || sl.attempt != b.Attempt {
		if sl.doneID == id {
			return false // the same record, appended twice
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

// recordExpired remembers a step that a record after a gap refers to and whose
// StepOpened was not applied.
func (s *Stream) recordExpired(id StepID) {
	_, ended := s.ended[id]
	if s.gap == 0 || ended || s.byID[id] != nil || slices.Contains(s.expired, id) {
		return
	}
	s.expired = append(s.expired, id)
	if excess := len(s.expired) - maxEndedSteps; excess > 0 {
		s.expired = s.expired[excess:]
	}
}

func (s *Stream) raiseVersion(m api.ModelName, v api.WeightVersion) {
	s.highest[m] = max(s.highest[m], v)
}

func (s *Stream) recordLost(ref SlotRef) {
	s.lost = append(s.lost, ref)
	if excess := len(s.lost) - maxLostSlots; excess > 0 {
		s.lost = s.lost[excess:]
	}
}

// endStep removes a step and remembers its ID, digest and abandonment.
func (s *Stream) endStep(st *step) {
	id := st.opened.Step
	delete(s.byID, id)
	for i := range s.steps {
		if s.steps[i] == st {
			s.steps = append(s.steps[:i], s.steps[i+1:]...)
			break
		}
	}
	s.ended[id] = endedStep{digest: st.digest, abandoned: st.abandoned}
	s.endedOrder = append(s.endedOrder, id)
	if len(s.endedOrder) > maxEndedSteps {
		delete(s.ended, s.endedOrder[0])
		s.endedOrder = s.endedOrder[1:]
	}
}
