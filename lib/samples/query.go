package samples

import "dotterelmount.example/api"

// PullNumber returns the highest pull number folded.
func (s *Stream) PullNumber() uint64 { return s.pull }

// AppliedOffset returns the offset of the last record folded.
func (s *Stream) AppliedOffset() api.Offset { return s.through }

// Counts returns the stream's counters.
func (s *Stream) Counts() Counts { return s.counts }

// OpenSteps returns the number of steps that are not whole.
func (s *Stream) OpenSteps() int { return len(s.steps) }

// RunsOpenStep reports whether a daemon is the runner of a step that lacks samples.
func (s *Stream) RunsOpenStep(d api.DaemonID) bool {
	for _, st := range s.steps {
		if st.runner == d && st.open > 0 {
			return true
		}
	}
	return false
}

// LimitFunc returns the version in force and the staleness bound that apply to
// a step; false leaves the step out of the hand-over.
type LimitFunc func(*StepOpened) (api.WeightVersion, uint64, bool)

// ComposeHandOver proposes the hand-over that answers a pull. The fold of the record
// decides what is really handed.
func (s *Stream) ComposeHandOver(pull uint64, cursor api.Offset, limitOf LimitFunc, maxGroups int) HandOver {
	h := HandOver{PullNumber: pull, Cursor: cursor}
	for _, st := range s.steps {
		inForce, bound, ok := limitOf(&st.opened)
		if !ok || st.abandoned != nil {
			continue
		}
		own := StepLimit{Step: st.opened.Step, Model: st.opened.Model, InForce: inForce, StalenessBound: bound}
		l := own
		l.InForce = max(inForce, s.highest[st.opened.Model])
		before := len(h.Groups) + len(h.Dropped)
		st.propose(&h, l, maxGroups)
		if len(h.Groups)+len(h.Dropped) > before {
			h.Limits = append(h.Limits, own)
		}
	}
	return h
}

func (st *step) propose(h *HandOver, l StepLimit, maxGroups int) {
	for _, g := range st.groups {
		stale, ready := g.look(h.Cursor, l)
		for _, i := range stale {
			h.Dropped = append(h.Dropped, SlotRef{Step: st.opened.Step, Group: g.spec.ID, Index: i})
		}
		if ready && len(h.Groups) < maxGroups {
			h.Groups = append(h.Groups, GroupRef{Step: st.opened.Step, Group: g.spec.ID})
		}
	}
}

// look finds the stale samples of a group, and whether all are ready and
// fresh, as they are once a pull with this cursor was folded.
func (g *group) look(cursor api.Offset, l StepLimit) (stale []int, ready bool) {
	ready = true
	for i := range g.slots {
		sl := &g.slots[i]
		free := sl.state == slotReady || (sl.state == slotHanded && sl.handedAt > cursor)
		if free && !l.fresh(&sl.sample) {
			stale = append(stale, i)
		}
		ready = ready && free && len(stale) == 0
	}
	return stale, ready
}

// Settles reports whether a pull with this cursor makes any sample final, or
// lost for good.
func (s *Stream) Settles(cursor api.Offset) bool {
	for _, st := range s.steps {
		for _, g := range st.groups {
			if at, handed := g.handed(); handed && (at <= cursor || st.abandoned != nil) {
				return true
			}
		}
	}
	return false
}

// Idle reports whether no sample is open, ready, or handed after the cursor:
// a pull with this cursor would wait in vain.
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

// OpenSlot is a slot that has no sample.
type OpenSlot struct {
	SlotRef
	Attempt int
	Spec    *GroupSpec
}

// OpenSlots returns the slots without a sample, oldest step first.
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

// eachOpen calls yield for the open slots in order, until it returns false;
// groups that wanted, if not nil, refuses are passed over.
func (st *step) eachOpen(wanted func(GroupRef) bool, yield func(OpenSlot) bool) {
	if st.open == 0 {
		return
	}
	for _, g := range st.groups {
		if wanted != nil && !wanted(GroupRef{Step: st.opened.Step, Group: g.spec.ID}) {
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

// IsOpen reports whether the slot still lacks a sample of this attempt.
func (s *Stream) IsOpen(ref SlotRef, attempt int) bool {
	_, sl := s.slot(ref)
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

// Report is what operators and trainers read of a stream.
type Report struct {
	AppliedOffset api.Offset   `json:"through"`
	PullNumber    uint64       `json:"pull"`
	Cursor        api.Offset   `json:"cursor"`
	Counts        Counts       `json:"counts"`
	Steps         []StepReport `json:"steps"`
	// Late lists slots that are still running long after they became due.
	Late []SlotRef `json:"late"`
	// Lost lists the last slots that ended without a sample.
	Lost []SlotRef `json:"lost"`
	// Abandoned lists the abandoned steps among the open and last ended ones.
	Abandoned []AbandonedStep `json:"abandoned"`
	// Gap is the last offset of the stream that expired unread; zero if none did.
	Gap api.Offset `json:"gap"`
	// Expired lists steps that later records name and whose opening expired:
	// their samples are lost unless the trainer took them.
	Expired []StepID `json:"expired"`
}

// Report returns a snapshot, except for Late, which needs a clock.
func (s *Stream) Report() Report {
	r := Report{AppliedOffset: s.through, PullNumber: s.pull, Cursor: s.cursor, Counts: s.counts}
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
