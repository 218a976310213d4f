package samples

import "dotterelmount.example/api"

// Checkpoint stores a part of the state after the record at AppliedOffset, so
// that a reader can start there once older records have expired. It does not
// change the state. A checkpoint is complete when all of its parts are logged.
type Checkpoint struct {
	Key           string     `json:"key"` // shared by all parts of a checkpoint
	AppliedOffset api.Offset `json:"through"`
	Part          int        `json:"part"` // counted from 0
	Parts         int        `json:"parts"`
	State         []byte     `json:"state"` // part of an encoded Image
}

func (Checkpoint) sampleBody() {}

// Image is the complete state of a stream in encodable form.
type Image struct {
	AppliedOffset api.Offset                          `json:"through"`
	Gap           api.Offset                          `json:"gap,omitempty"`
	PullNumber    uint64                              `json:"pull"`
	Cursor        api.Offset                          `json:"cursor"`
	Highest       map[api.ModelName]api.WeightVersion `json:"highest"`
	Steps         []StepImage                         `json:"steps"`
	Ended         []EndedImage                        `json:"ended"`
	Lost          []SlotRef                           `json:"lost"`
	Expired       []StepID                            `json:"expired,omitempty"`
	Counts        Counts                              `json:"counts"`
}

// StepImage is an open step.
type StepImage struct {
	Opened    StepOpened     `json:"opened"`
	OpenedAt  api.Offset     `json:"at"`
	Runner    api.DaemonID   `json:"runner"`
	Dropped   int            `json:"dropped"`
	Abandoned *AbandonedStep `json:"abandoned,omitempty"`
	Slots     [][]SlotImage  `json:"slots"` // by group, in step order
}

// SlotImage is a slot, with its sample if it can still be handed over.
type SlotImage struct {
	State    uint8        `json:"state"`
	Attempt  int          `json:"attempt,omitempty"`
	Sample   Sample       `json:"sample,omitzero"`
	DoneID   api.RecordID `json:"done_id,omitempty"`
	HandedAt api.Offset   `json:"handed_at,omitempty"`
}

// EndedImage is an ended step.
type EndedImage struct {
	Step      StepID         `json:"step"`
	Digest    uint64         `json:"digest"`
	Abandoned *AbandonedStep `json:"abandoned,omitempty"`
}

// IsZero reports whether there is no sample.
func (s Sample) IsZero() bool {
	return s.Text == "" && s.Tokens == 0 && len(s.Versions) == 0 && s.FinishReason == ""
}

// Image returns the state. The image shares memory with the stream and is valid
// until the next Apply.
func (s *Stream) Image() Image {
	img := Image{
		AppliedOffset: s.appliedOffset, Gap: s.gap, PullNumber: s.pull, Cursor: s.cursor, Highest: s.highest,
		Lost: s.lost, Expired: s.expired, Counts: s.counts,
	}
	for _, st := range s.steps {
		img.Steps = append(img.Steps, st.image())
	}
	for _, id := range s.endedOrder {
		e := s.ended[id]
		img.Ended = append(img.Ended, EndedImage{Step: id, Digest: e.digest, Abandoned: e.abandoned})
	}
	return img
}

func (st *step) image() StepImage {
	img := StepImage{
		Opened: st.opened, OpenedAt: st.openedAt, Runner: st.runner, Dropped: st.dropped, Abandoned: st.abandoned,
	}
	for _, g := range st.groups {
		slots := make([]SlotImage, len(g.slots))
		for i := range g.slots {
			sl := &g.slots[i]
			slots[i] = SlotImage{
				State: uint8(sl.state), Attempt: sl.attempt, Sample: sl.sample, DoneID: sl.doneID, HandedAt: sl.handedAt,
			}
		}
		img.Slots = append(img.Slots, slots)
	}
	return img
}

// StreamFromImage is the inverse of Image. Errors: CodeInvalid.
func StreamFromImage(img *Image) (*Stream, error) {
	s := NewStream()
	s.appliedOffset, s.gap, s.pull, s.cursor = img.AppliedOffset, img.Gap, img.PullNumber, img.Cursor
	s.counts = img.Counts
	s.lost = append(s.lost, img.Lost...)
	s.expired = append(s.expired, img.Expired...)
	for m, v := range img.Highest {
		s.highest[m] = v
	}
	for i := range img.Ended {
		e := &img.Ended[i]
		s.ended[e.Step] = endedStep{digest: e.Digest, abandoned: e.Abandoned}
		s.endedOrder = append(s.endedOrder, e.Step)
	}
	for i := range img.Steps {
		st, err := img.Steps[i].step()
		if err != nil {
			return nil, err
		}
		s.steps = append(s.steps, st)
		s.byID[st.opened.Step] = st
	}
	return s, nil
}

func (s *StepImage) step() (*step, error) {
	if err := s.Opened.Validate(); err != nil {
		return nil, err
	}
	st := newStep(s.OpenedAt, s.Opened)
	st.runner, st.dropped, st.abandoned = s.Runner, s.Dropped, s.Abandoned
	st.open = 0
	if len(s.Slots) != len(st.groups) {
		return nil, api.Errorf(api.CodeInvalid, "image of step %q has %d groups", st.opened.Step, len(s.Slots))
	}
	for i, g := range st.groups {
		if err := g.fill(s.Slots[i]); err != nil {
			return nil, err
		}
		for j := range g.slots {
			if g.slots[j].state == slotOpen {
				st.open++
			}
		}
	}
	return st, nil
}

// fill sets the slots of a group from an image. Errors: CodeInvalid for a wrong
// number of slots or an invalid state, and if some but not all slots of the
// group are handed over, final or lost.
func (g *group) fill(slots []SlotImage) error {
	if len(slots) != len(g.slots) {
		return api.Errorf(api.CodeInvalid, "image of group %q has %d slots", g.spec.ID, len(slots))
	}
	first := &slots[0]
	for i := range slots {
		si := &slots[i]
		collecting := slotState(si.State) <= slotReady && slotState(first.State) <= slotReady
		if !collecting && (si.State != first.State || si.HandedAt != first.HandedAt) || si.State > uint8(slotLost) {
			return api.Errorf(api.CodeInvalid, "image of group %q slot %d has state %d", g.spec.ID, i, si.State)
		}
		g.slots[i] = slot{
			state: slotState(si.State), attempt: si.Attempt, sample: si.Sample, doneID: si.DoneID, handedAt: si.HandedAt,
		}
	}
	return nil
}
