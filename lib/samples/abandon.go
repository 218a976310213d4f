package samples

import "dotterelmount.example/api"

// AbandonedStep says who ended a step before it was whole, and by which record.
type AbandonedStep struct {
	Step   StepID     `json:"step"`
	Actor  string     `json:"by"`
	Offset api.Offset `json:"at"`
}

// abandon ends a step. What is not handed is lost at once. A handed group
// waits for the trainer's next cursor: what it covers was taken and is final,
// the rest is lost, and is never handed again.
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
		s.forget(st)
	}
}

func (s *Stream) abandonEnded(id StepID) error {
	was, known := s.ended[id]
	switch {
	case !known:
		return api.Errorf(api.CodeUnknownStep, "step %q is not open", id)
	case was.abandoned == nil:
		return api.Errorf(api.CodeConflict, "step %q is whole already", id)
	}
	return nil
}

// loseGroup ends a group's slots without a sample and returns their names.
func (s *Stream) loseGroup(st *step, g *group) []SlotRef {
	lost := make([]SlotRef, len(g.slots))
	for i := range g.slots {
		lost[i] = SlotRef{Step: st.opened.Step, Group: g.spec.ID, Index: i}
		g.slots[i] = slot{state: slotLost, attempt: g.slots[i].attempt}
		s.counts.Lost++
		s.lose(lost[i])
	}
	return lost
}

// abandonedSteps lists the abandoned steps that are remembered, ended ones first.
func (s *Stream) abandonedSteps() []AbandonedStep {
	var list []AbandonedStep
	for _, id := range s.order {
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
