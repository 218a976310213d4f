package samples

import "dotterelmount.example/api"

// PullNumber returns the highest pull number applied.
func (s *Stream) PullNumber() uint64 { return s.pull }

// AppliedOffset returns the offset of the last record applied.
func (s *Stream) AppliedOffset() api.Offset { return s.appliedOffset }

// Counts returns the stream's counters.
func (s *Stream) Counts() Counts { return s.counts }

// OpenSteps returns the number of steps that have not ended.
func (s *Stream) OpenSteps() int { return len(s.steps) }

// RunsOpenStep reports whether a daemon is the runner of a step with open slots.
func (s *Stream) RunsOpenStep(d api.DaemonID) bool {
	for _, st := range s.steps {
		if st.runner == d && st.open > 0 {
			return true
		}
	}
	return false
}

// LimitFunc returns the version in force and the staleness bound for a step;
// false excludes the step from the hand-over.
type LimitFunc func(*StepOpened) (api.WeightVersion, uint64, bool)

// ComposeHandOver returns the hand-over to propose in response to a pull. Which
// groups are handed over is decided when the record is applied.
func (s *Stream) ComposeHandOver(pull uint64, cursor api.Offset, limitOf LimitFunc, maxGroups int) HandOver {
	h := HandOver{PullNumber: pull, Cursor: cursor}
	for _, st := range s.steps {
		inForce, bound, ok := limitOf(&st.opened)
		if !ok || st.abandoned != nil {
			continue
		}
		proposed := StepLimit{Step: st.opened.Step, Model: st.opened.Model, InForce: inForce, StalenessBound: bound}
		l := proposed
		l.InForce = max(inForce, s.highest[st.opened.Model])
		before := len(h.Groups) + len(h.Dropped)
		st.propose(&h, l, maxGroups)
		if len(h.Groups)+len(h.Dropped) > before {
			h.Limits = append(h.Limits, proposed)
		}
	}
	return h
}

func (st *step) propose(h *HandOver, l StepLimit, maxGroups int) {
	for _, g := range st.groups {
		stale, ready := g.inspect(h.Cursor, l)
		for _, i := range stale {
			h.Dropped = append(h.Dropped, SlotRef{Step: st.opened.Step, Group: g.spec.ID, Index: i})
		}
		if ready && len(h.Groups) < maxGroups {
			h.Groups = append(h.Groups, GroupRef{Step: st.opened.Step, Group: g.spec.ID})
		}
	}
}

// inspect returns the indexes of the stale samples of a group, and whether all
// samples are ready and within the limit, in the state after the cursor is
// applied.
func (g *group) inspect(cursor api.Offset, l StepLimit) (stale []int, ready bool) {
	ready = true
	for i := range g.slots {
		sl := &g.slots[i]
		available := sl.state == slotReady || (sl.state == slotHanded && sl.handedAt > cursor)
		if available && !l.allows(&sl.sample) {
			stale = append(stale, i)
		}
		ready = ready && available && len(stale) == 0
	}
	return stale, ready
}

// CursorSettles reports whether a pull with this cursor changes any sample to final
// or lost.
func (s *Stream) CursorSettles(cursor api.Offset) bool {
	for _, st := range s.steps {
		for _, g := range st.groups {
			if at, handed := g.handed(); handed && (at <= cursor || st.abandoned != nil) {
				return true
			}
		}
	}
	return false
}

// Idle reports whether no sample is open, ready, or handed over after the
// cursor, so that a pull with this cursor cannot get samples.
func (s *Stream) Idle(cursor api.Offset) bool {
	for _, st := range s.steps {
		if st.abandoned != nil {
			continue
		}
		for _, g := range st.groups {
			at, handed := g.handed()
			if !g.closed() && (!handed || at > cursor) {
				return false
			}
		}
	}
	return true
}

// OpenSlot is a slot without a sample.
type OpenSlot struct {
	SlotRef
	Attempt int
	Spec    *GroupSpec
}

// OpenSlots returns the open slots, oldest step first.
func (s *Stream) OpenSlots() []OpenSlot {
	var open []OpenSlot
	for _, st := range s.steps {
		st.eachOpen(nil, func(o OpenSlot) bool {
			open = append(open, o)
			return true
		})
	}
	return open
}

// eachOpen calls yield for the open slots in order, until it returns false. A
// non-nil include selects the groups.
func (st *step) eachOpen(include func(GroupRef) bool, yield func(OpenSlot) bool) {
	if st.open == 0 {
		return
	}
	for _, g := range st.groups {
		if include != nil && !include(GroupRef{Step: st.opened.Step, Group: g.spec.ID}) {
			continue
		}
		for i := range g.slots {
			if g.slots[i].state != slotOpen {
				continue
			}
			ref := SlotRef{Step: st.opened.Step, Group: g.spec.ID, Index: i}
			if !yield(OpenSlot{SlotRef: ref, Attempt: g.slots[i].attempt, Spec: &g.spec}) {
				return
			}
		}
	}
}

// IsOpen reports whether the slot is open and at this attempt.
func (s *Stream) IsOpen(ref SlotRef, attempt int) bool {
	_, sl := s.findSlot(ref)
	return sl != nil && sl.state == slotOpen && sl.attempt == attempt
}

// StepReport counts the samples of one step by state.
type StepReport struct {
	Step     StepID       `json:"step"`
	OpenedAt api.Offset   `json:"opened_at"`
	Runner   api.DaemonID `json:"runner"`
	Due      int          `json:"due"`
	Open     int          `json:"open"`
	Ready    int          `json:"ready"`
	Handed   int          `json:"handed"`
	Final    int          `json:"final"`
	Dropped  int          `json:"dropped"`
	Lost     int          `json:"lost"`
}

// Report is the state of a stream for operators and trainers.
type Report struct {
	AppliedOffset api.Offset   `json:"through"`
	PullNumber    uint64       `json:"pull"`
	Cursor        api.Offset   `json:"cursor"`
	Counts        Counts       `json:"counts"`
	Steps         []StepReport `json:"steps"`
	// Late lists slots that have been open for too long; see Planner.LateSlots.
	Late []SlotRef `json:"late"`
	// Lost lists the most recent slots that ended without a sample.
	Lost []SlotRef `json:"lost"`
	// Abandoned lists the abandoned steps among the open and recently ended ones.
	Abandoned []AbandonedStep `json:"abandoned"`
	// Gap is the last offset that expired before it was applied; zero if none did.
	Gap api.Offset `json:"gap"`
	// Expired lists steps that records refer to but whose StepOpened expired.
	// Their samples are lost unless the trainer received them.
	Expired []StepID `json:"expired"`
}

// Report returns a report without Late, which needs a clock.
func (s *Stream) Report() Report {
	r := Report{AppliedOffset: s.appliedOffset, PullNumber: s.pull, Cursor: s.cursor, Counts: s.counts}
	r.Lost = append(r.Lost, s.lost...)
	r.Gap = s.gap
	r.Expired = append(r.Expired, s.expired...)
	r.Abandoned = s.abandonedSteps()
	for _, st := range s.steps {
		r.Steps = append(r.Steps, st.report())
	}
	return r
}

func (st *step) report() StepReport {
	r := StepReport{Step: st.opened.Step, OpenedAt: st.openedAt, Runner: st.runner, Dropped: st.dropped}
	for _, g := range st.groups {
		for i := range g.slots {
			r.Due++
			switch g.slots[i].state {
			case slotOpen:
				r.Open++
			case slotReady:
				r.Ready++
			case slotHanded:
				r.Handed++
			case slotFinal:
				r.Final++
			case slotLost:
				r.Lost++
			}
		}
	}
	return r
}
