package samples

import (
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/invariant"
)

// handOver applies a HandOver. Its validity and the groups handed over depend
// on earlier records only.
func (s *Stream) handOver(v *Verdict, b HandOver) {
	limits := s.stepLimits(b.Limits)
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
	v.CompletedSteps = s.applyCursor(b.Cursor)
	for _, ref := range b.Dropped {
		if s.dropSample(ref, limits) {
			v.Dropped = append(v.Dropped, ref)
		}
	}
	for _, ref := range b.Groups {
		s.recordExpired(ref.Step)
		if g, ok := s.handGroup(ref, v.Offset, limits); ok {
			s.counts.Handed += len(g.Samples)
			v.Groups = append(v.Groups, g)
		}
	}
}

// applyCursor marks groups handed over up to the cursor as final. Groups handed
// over later did not reach the trainer: they return to ready, or are lost if the
// step was abandoned. It returns the steps that are now complete.
func (s *Stream) applyCursor(cursor api.Offset) []StepID {
	var completed []StepID
	for _, st := range slices.Clone(s.steps) {
		for _, g := range st.groups {
			s.applyCursorToGroup(st, g, cursor)
		}
		if !st.closed() {
			continue
		}
		if st.abandoned == nil {
			completed = append(completed, st.opened.Step)
		}
		s.endStep(st)
	}
	return completed
}

func (s *Stream) applyCursorToGroup(st *step, g *group, cursor api.Offset) {
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
			"group %s slot %d has state %d", g.spec.ID, i, sl.state)
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

// stepLimits raises the highest known versions to those of a record, even if
// its hand-over is void, and returns its limits by step with the raised versions.
func (s *Stream) stepLimits(list []StepLimit) map[StepID]StepLimit {
	for _, l := range list {
		s.raiseVersion(l.Model, l.InForce)
	}
	limits := make(map[StepID]StepLimit, len(list))
	for _, l := range list {
		l.InForce = s.highest[l.Model]
		limits[l.Step] = l
	}
	return limits
}

// allows reports whether a sample is within the staleness limit. A sample
// without a known version never is.
func (l StepLimit) allows(sample *Sample) bool {
	oldest := sample.Oldest()
	if oldest == 0 {
		return false
	}
	return oldest >= l.InForce || uint64(l.InForce-oldest) <= l.StalenessBound
}

// dropSample empties a ready slot whose sample is stale and starts its next
// attempt. It reports whether it did.
func (s *Stream) dropSample(ref SlotRef, limits map[StepID]StepLimit) bool {
	st, sl := s.findSlot(ref)
	if sl == nil {
		return false
	}
	l, limited := limits[ref.Step]
	if !limited || l.Model != st.opened.Model || sl.state != slotReady || l.allows(&sl.sample) {
		return false
	}
	attempt := sl.attempt + 1
	*sl = slot{state: slotOpen, attempt: attempt, doneID: sl.doneID}
	st.open++
	st.dropped++
	s.counts.DroppedStale++
	return true
}

// handGroup hands over a group if all of its samples are ready and within the
// staleness limit.
func (s *Stream) handGroup(ref GroupRef, at api.Offset, limits map[StepID]StepLimit) (Group, bool) {
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
		if g.slots[i].state != slotReady || !l.allows(&g.slots[i].sample) {
			return false
		}
	}
	return true
}
