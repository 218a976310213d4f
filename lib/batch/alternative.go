package batch

import (
	"slices"

	"dotterelmount.example/api"
)

// Alternative is an upstream where an item in progress would continue if it were moved.
type Alternative struct {
	Upstream            api.UpstreamID
	EventIntervalMicros int64 // as of the upstream
	FreeSlots           int   // that the item's job could use, at all upstreams
	// ExpectedEvents is the expected number of events of the item's whole text; 0: not known.
	ExpectedEvents float64
}

// SetAlternatives sets the alternatives of runs whose jobs are due at some time and that were
// not moved before. It places them as an ItemMoved record would.
func (s *State) SetAlternatives(runs map[ItemKey]Run) {
	candidates := make(map[placement][]*Upstream)
	for key, r := range runs {
		i := s.findItem(key.Job, key.Item)
		if i == nil || i.job.job.TargetMillis == 0 || i.movedFrom != "" || i.upstream != r.Upstream {
			continue
		}
		placed := s.placed[r.Upstream]
		s.placed[r.Upstream] = slices.DeleteFunc(slices.Clone(placed), func(o *itemState) bool { return o == i })
		at := placement{i.job, r.Upstream}
		if _, ok := candidates[at]; !ok {
			free, _ := s.freeUpstreams()
			candidates[at] = s.candidates(free, i.job)
		}
		r.Alternative = s.alternative(candidates[at], i)
		s.placed[r.Upstream] = placed
		runs[key] = r
	}
}

// placement is an upstream with an item of a job.
type placement struct {
	job      *jobState
	upstream api.UpstreamID
}

// alternative returns where an item that was removed from its upstream would be placed; nil if
// there is no room elsewhere or its text would be dropped.
func (s *State) alternative(candidates []*Upstream, i *itemState) *Alternative {
	moved := *i
	moved.movedFrom = i.upstream
	u := s.chooseUpstream(candidates, &moved)
	if u == nil || u.ID == i.upstream || !u.continues(i) {
		return nil
	}
	a := &Alternative{Upstream: u.ID, EventIntervalMicros: u.EventIntervalMicros, ExpectedEvents: s.expectedEvents(i)}
	for _, o := range candidates {
		if o.ID != i.upstream {
			a.FreeSlots += max(0, s.slotsOf(o, i)-len(s.placed[o.ID]))
		}
	}
	return a
}
