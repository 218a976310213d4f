package samples

import (
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/invariant"
)

// handOver folds a hand-over. Whether it is valid, and what it hands, follows
// from earlier records alone.
func (s *Stream) handOver(v *Verdict, b HandOver) {
	limits := s.limits(b.Limits)
	if b.PullNumber <= s.pull {
		s.counts.VoidPulls++
		v.Err = api.Errorf(api.CodeSuperseded, "pull %d came after pull %d", b.PullNumber, s.pull)
		return
	}
	if b.Cursor >= v.Offset {
		s.counts.VoidPulls++
		v.Err = api.Errorf(api.CodeInvalid, "cursor %d is not below offset %d", b.Cursor, v.Offset)
		return
	}
	s.pull = b.PullNumber
	s.cursor = max(s.cursor, b.Cursor)
	v.Whole = s.settle(b.Cursor)
	for _, ref := range b.Dropped {
		if s.drop(ref, limits) {
			v.Dropped = append(v.Dropped, ref)
		}
	}
	for _, ref := range b.Groups {
		s.noteExpired(ref.Step)
		if g, ok := s.hand(ref, v.Offset, limits); ok {
			s.counts.Handed += len(g.Samples)
			v.Groups = append(v.Groups, g)
		}
	}
}

// settle makes final what the trainer took up to the cursor and returns to
// ready what was handed later, or loses it where the step was abandoned. It
// returns the steps that became whole.
func (s *Stream) settle(cursor api.Offset) []StepID {
	var whole []StepID
	for _, st := range slices.Clone(s.steps) {
		for _, g := range st.groups {
			s.settleGroup(st, g, cursor)
		}
		if !st.closed() {
			continue
		}
		if st.abandoned == nil {
			whole = append(whole, st.opened.Step)
		}
		s.forget(st)
	}
	return whole
}

func (s *Stream) settleGroup(st *step, g *group, cursor api.Offset) {
	at, handed := g.handed()
	if !handed {
		return
	}
	if at > cursor && st.abandoned != nil {
		s.loseGroup(st, g)
		return
	}
	for i := range g.slots {
		sl := &g.slots[i]
		invariant.Check(sl.state == slotHanded && sl.handedAt == at, "samples_group_moves_whole",
			"group %s slot %d in state %d", g.spec.ID, i, sl.state)
		if at > cursor {
			sl.state = slotReady
			s.counts.Returned++
			continue
		}
		sl.state = slotFinal
		sl.sample = Sample{}
		s.counts.Final++
	}
}

// limits raises the versions in force by the record's, also by those of a void
// record, and indexes its limits with the versions in force then.
func (s *Stream) limits(list []StepLimit) map[StepID]StepLimit {
	for _, l := range list {
		s.raise(l.Model, l.InForce)
	}
	limits := make(map[StepID]StepLimit, len(list))
	for _, l := range list {
		l.InForce = s.highest[l.Model]
		limits[l.Step] = l
	}
	return limits
}

// fresh reports whether a sample may be handed under a limit. A sample without
// a known version never is.
func (l StepLimit) fresh(sample *Sample) bool {
	oldest := sample.Oldest()
	if oldest == 0 {
		return false
	}
	return oldest >= l.InForce || uint64(l.InForce-oldest) <= l.StalenessBound
}

func (s *Stream) drop(ref SlotRef, limits map[StepID]StepLimit) bool {
	st, sl := s.slot(ref)
	if sl == nil {
		return false
	}
	l, limited := limits[ref.Step]
	if !limited || l.Model != st.opened.Model || sl.state != slotReady || l.fresh(&sl.sample) {
		return false
	}
	attempt := sl.attempt + 1
	*sl = slot{state: slotOpen, attempt: attempt, doneID: sl.doneID}
	st.open++
	st.dropped++
	s.counts.DroppedStale++
	return true
}

// hand marks a whole group as handed if each of its samples is ready and fresh.
func (s *Stream) hand(ref GroupRef, at api.Offset, limits map[StepID]StepLimit) (Group, bool) {
	st := s.byID[ref.Step]
	l, limited := limits[ref.Step]
	if st == nil || !limited || l.Model != st.opened.Model {
		return Group{}, false
	}
	g := st.byID[ref.Group]
	if g == nil || !g.deliverable(l) {
		return Group{}, false
	}
	out := Group{GroupRef: ref, Samples: make([]Sample, len(g.slots))}
	for i := range g.slots {
		g.slots[i].state = slotHanded
		g.slots[i].handedAt = at
		out.Samples[i] = g.slots[i].sample
	}
	return out, true
}

func (g *group) deliverable(l StepLimit) bool {
	for i := range g.slots {
		if g.slots[i].state != slotReady || !l.fresh(&g.slots[i].sample) {
			return false
		}
	}
	return true
}
