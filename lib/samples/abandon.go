package samples

import "dotterelmount.example/api"

// AbandonedStep records who abandoned a step, and the offset of the record.
type AbandonedStep struct {
	Step   StepID     `json:"step"`
	Actor  string     `json:"by"`
	Offset api.Offset `json:"at"`
}

// abandon ends a step. Groups that are not handed over are lost at once. A group
// that is handed over waits for the trainer's next cursor: it is final if the
// cursor covers it, otherwise it is lost and not handed over again.
func (s *Stream) abandon(v *Verdict, b StepAbandoned) {
	st := s.byID[b.Step]
	if st == nil {
		v.Err = s.abandonEnded(b.Step)
		return
	}
	if st.abandoned != nil {
		return
	}
	st.abandoned = &AbandonedStep{Step: b.Step, Actor: b.Actor, Offset: v.Offset}
	st.open = 0
	for _, g := range st.groups {
		if _, handed := g.handed(); !handed && !g.closed() {
			v.Lost = append(v.Lost, s.loseGroup(st, g)...)
		}
	}
	if st.closed() {
		s.endStep(st)
	}
}

func (s *Stream) abandonEnded(id StepID) error {
	was, known := s.ended[id]
	switch {
	case !known:
		return api.Errorf(api.CodeUnknownStep, "step %q is not open", id)
	case was.abandoned == nil:
		return api.Errorf(api.CodeConflict, "step %q is already complete", id)
	}
	return nil
}

// loseGroup marks all slots of a group as lost and returns them.
func (s *Stream) loseGroup(st *step, g *group) []SlotRef {
	lost := make([]SlotRef, len(g.slots))
	for i := range g.slots {
		lost[i] = SlotRef{Step: st.opened.Step, Group: g.spec.ID, Index: i}
		g.slots[i] = slot{state: slotLost, attempt: g.slots[i].attempt}
		s.counts.Lost++
		s.recordLost(lost[i])
	}
	return lost
}

// abandonedSteps returns the remembered abandoned steps, ended ones first.
func (s *Stream) abandonedSteps() []AbandonedStep {
	var list []AbandonedStep
	for _, id := range s.endedOrder {
		if a := s.ended[id].abandoned; a != nil {
			list = append(list, *a)
		}
	}
	for _, st := range s.steps {
		if st.abandoned != nil {
			list = append(list, *st.abandoned)
		}
	}
	return list
}
