package batch

import (
	"cmp"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

func cmpID(a, b api.UpstreamID) int { return strings.Compare(string(a), string(b)) }

// placePending puts pending items on upstreams with free slots, in the order of before.
func (s *State) placePending() {
	if !s.placementDue || len(s.pending) == 0 {
		return
	}
	s.placementDue = false
	free := s.freeUpstreams()
	if len(free) == 0 {
		return
	}
	fitting := make(map[*jobState][]*Upstream)
	waiting := make([]*itemState, 0, len(s.pending))
	for _, i := range s.pending {
		able, ok := fitting[i.job]
		if !ok {
			able = slices.DeleteFunc(slices.Clone(free), func(u *Upstream) bool { return !u.canRun(i.job.job) })
			fitting[i.job] = able
		}
		u := s.choose(able, i)
		if u == nil {
			waiting = append(waiting, i)
			continue
		}
		i.upstream = u.ID
		s.placed[u.ID] = append(s.placed[u.ID], i)
	}
	s.pending = waiting
}

// comparePending orders pending items: the oldest jobs first and, within a job, the
// groups with the longest expected output.
func comparePending(a, b *itemState) int {
	return cmp.Or(
		cmp.Compare(a.job.acceptedAt, b.job.acceptedAt),
		cmp.Compare(b.groupOutput, a.groupOutput),
		strings.Compare(a.item().Group, b.item().Group),
		cmp.Compare(b.remaining(), a.remaining()),
		cmp.Compare(a.index, b.index),
	)
}

// setGroupOutput notes the longest expected output of each item's group.
func (j *jobState) setGroupOutput() {
	longest := make(map[string]int)
	for _, i := range j.items {
		longest[i.item().Group] = max(longest[i.item().Group], i.remaining())
	}
	for _, i := range j.items {
		i.groupOutput = longest[i.item().Group]
	}
}

// addPending makes an item pending.
func (s *State) addPending(i *itemState) {
	if at, ok := slices.BinarySearchFunc(s.pending, i, comparePending); !ok {
		s.pending = slices.Insert(s.pending, at, i)
		s.placementDue = true
	}
}

// removePending makes an item pending no more.
func (s *State) removePending(i *itemState) {
	if at, ok := slices.BinarySearchFunc(s.pending, i, comparePending); ok {
		s.pending = slices.Delete(s.pending, at, at+1)
	}
}

// freeUpstreams returns the upstreams that take new items, by id.
func (s *State) freeUpstreams() []*Upstream {
	var out []*Upstream
	for _, u := range s.upstreams {
		if u.Condition == ConditionReady && u.Holder != "" && len(s.placed[u.ID]) < u.Slots {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmpID(a.ID, b.ID) })
	return out
}

// remaining estimates the output still to come, in tokens.
func (i *itemState) remaining() int {
	if i.item().OutputHint > 0 {
		return i.item().OutputHint
	}
	return i.item().MaxTokens
}

// choose returns the upstream for an item: one that runs its group already,
// else the one with most free slots.
func (s *State) choose(able []*Upstream, i *itemState) *Upstream {
	var best *Upstream
	bestScore := 0
	for _, u := range able {
		if !s.hasRoomFor(u, i) {
			continue
		}
		score := s.score(u, i)
		if best == nil || score > bestScore || (score == bestScore && tieBreak(u, i) > tieBreak(best, i)) {
			best, bestScore = u, score
		}
	}
	return best
}

// canRun reports whether an upstream may run items of a job.
func (u *Upstream) canRun(j *Job) bool {
	return u.Service == j.Service && u.Versions[j.Model] >= j.MinVersion
}

// hasRoomFor reports whether an upstream that runs the item's job takes the item now.
func (s *State) hasRoomFor(u *Upstream, i *itemState) bool {
	j := i.job.job
	return len(s.placed[u.ID]) < u.Slots &&
		(!j.SingleVersion || len(i.versions) == 0 || u.Versions[j.Model] == i.versions[0])
}

// score prefers free slots, and counts a shared prompt as worth two of them.
func (s *State) score(u *Upstream, i *itemState) int {
	const sharedPrompt = 2 // slots
	score := u.Slots - len(s.placed[u.ID])
	if i.movedFrom == u.ID {
		score -= u.Slots
	}
	for _, o := range s.placed[u.ID] {
		if o.job == i.job && o.item().Group == i.item().Group {
			return score + sharedPrompt
		}
	}
	return score
}

func tieBreak(u *Upstream, i *itemState) uint64 {
	return xxhash.Sum64String(string(u.ID) + i.item().Group)
}
