package batch

import (
	"cmp"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

func compareIDs(a, b api.UpstreamID) int { return strings.Compare(string(a), string(b)) }

// placePending places pending items on upstreams with free slots, in the order
// of comparePending.
func (s *State) placePending() {
	if !s.placementDue || len(s.pending) == 0 {
		return
	}
	s.placementDue = false
	free, slots := s.freeUpstreams()
	candidatesByJob := make(map[*jobState][]*Upstream)
	stillPending := make([]*itemState, 0, len(s.pending))
	for n, i := range s.pending {
		if slots == 0 {
			stillPending = append(stillPending, s.pending[n:]...)
			break
		}
		candidates, ok := candidatesByJob[i.job]
		if !ok {
			candidates = s.candidates(free, i.job)
			candidatesByJob[i.job] = candidates
		}
		u := s.chooseUpstream(candidates, i)
		if u == nil {
			stillPending = append(stillPending, i)
			continue
		}
		if !u.continues(i) {
			i.dropText()
		}
		i.upstream = u.ID
		s.placed[u.ID] = append(s.placed[u.ID], i)
		slots--
	}
	s.pending = stillPending
}

// comparePending orders pending items: the oldest job first and, within a job,
// the group with the longest expected output first.
func comparePending(a, b *itemState) int {
	return cmp.Or(
		cmp.Compare(a.job.acceptedAt, b.job.acceptedAt),
		cmp.Compare(b.groupOutput, a.groupOutput),
		strings.Compare(a.item().Group, b.item().Group),
		cmp.Compare(b.remaining(), a.remaining()),
		cmp.Compare(a.index, b.index),
	)
}

// setGroupOutput sets the longest expected output of the group for each item.
func (j *jobState) setGroupOutput() {
	longest := make(map[string]int)
	for _, i := range j.items {
		longest[i.item().Group] = max(longest[i.item().Group], i.remaining())
	}
	for _, i := range j.items {
		i.groupOutput = longest[i.item().Group]
	}
}

// addPending inserts an item into the sorted pending list.
func (s *State) addPending(i *itemState) {
	if index, ok := slices.BinarySearchFunc(s.pending, i, comparePending); !ok {
		s.pending = slices.Insert(s.pending, index, i)
		s.placementDue = true
	}
}

// removePending removes an item from the pending list.
func (s *State) removePending(i *itemState) {
	if index, ok := slices.BinarySearchFunc(s.pending, i, comparePending); ok {
		s.pending = slices.Delete(s.pending, index, index+1)
	}
}

// freeUpstreams returns the upstreams that may take new items, sorted by ID, and the
// number of their free slots, those included that a request limit leaves unused.
func (s *State) freeUpstreams() (out []*Upstream, slots int) {
	for _, u := range s.upstreams {
		usable := u.Holder != "" && (u.Condition == ConditionReady || u.Condition == ConditionSlow)
		if n := u.Slots - len(s.placed[u.ID]); usable && n > 0 {
			out = append(out, u)
			slots += n
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return compareIDs(a.ID, b.ID) })
	return out, slots
}

// candidates returns the free upstreams that a job's items are placed on. Slow ones are
// among them only while no other can run the job: if a single upstream has loaded its
// weight version, the job must not wait until that upstream is fast again.
func (s *State) candidates(free []*Upstream, j *jobState) []*Upstream {
	var ready, slow []*Upstream
	for _, u := range free {
		switch {
		case !u.canRun(j):
		case u.Condition == ConditionSlow:
			slow = append(slow, u)
		default:
			ready = append(ready, u)
		}
	}
	if len(ready) > 0 || len(slow) == 0 || s.runsReady(j) {
		return ready
	}
	return slow
}

// runsReady reports whether an upstream that is ready can run a job.
func (s *State) runsReady(j *jobState) bool {
	for _, u := range s.upstreams {
		if u.Condition == ConditionReady && u.Holder != "" && u.canRun(j) {
			return true
		}
	}
	return false
}

// remaining returns the expected output of an item, in tokens.
func (i *itemState) remaining() int {
	if i.item().OutputHint > 0 {
		return i.item().OutputHint
	}
	return i.item().MaxTokens
}

// chooseUpstream returns the candidate with the highest score for an item; nil if none
// has room. Those that can continue the item's text come before all others, which start it
// anew: an item does not wait while another upstream has room for it.
func (s *State) chooseUpstream(candidates []*Upstream, i *itemState) *Upstream {
	var best *Upstream
	bestScore := 0
	for _, u := range candidates {
		if !s.hasRoomFor(u, i) || (best != nil && best.continues(i) && !u.continues(i)) {
			continue
		}
		score := s.score(u, i)
		if best == nil || (u.continues(i) && !best.continues(i)) || score > bestScore || (score == bestScore && tieBreak(u, i) > tieBreak(best, i)) {
			best, bestScore = u, score
		}
	}
	return best
}

// canRun reports whether an upstream serves the job's service with a recent
// enough weight version.
func (u *Upstream) canRun(j *jobState) bool {
	return u.Service == j.service && u.Versions[j.job.Model] >= j.job.MinVersion
}

// hasRoomFor reports whether an upstream that can run the item's job has a free
// slot within its request limit and, for SingleVersion jobs, the version that generated
// the text so far.
func (s *State) hasRoomFor(u *Upstream, i *itemState) bool {
	j := i.job.job
	return len(s.placed[u.ID]) < s.slotsOf(u, i) &&
		(!j.SingleVersion || len(i.versions) == 0 || u.Software != i.software || u.Versions[j.Model] == i.versions[0])
}

// score is the number of free slots of an upstream, plus a bonus if it runs an
// item of the same group, which shares the prompt. Slower upstreams come after the others,
// and so does the one that the item was last moved from.
func (s *State) score(u *Upstream, i *itemState) int {
	const sharedPrompt = 2 // bonus, in slots
	score := s.slotsOf(u, i) - len(s.placed[u.ID])
	if i.movedFrom == u.ID {
		score -= u.Slots
	}
	if s.rules >= RulesBySpeed && s.isSlower(u) {
		score -= u.Slots
	}
	for _, o := range s.placed[u.ID] {
		if o.job == i.job && o.item().Group == i.item().Group {
			return score + sharedPrompt
		}
	}
	return score
}

// slowerFactor is the multiple of the shortest event interval of a service above which an
// upstream is slower. Upstreams differ less from each other by their load.
const slowerFactor = 1.15

// isSlower reports whether the runs of an upstream are slower than those of others of its service. It
// answers the load of steps, whose longest texts end in time only at the faster upstreams: the
// groups with the longest texts are placed first, and find these free.
func (s *State) isSlower(u *Upstream) bool {
	if s.fastest == nil {
		s.fastest = make(map[string]int64)
		for _, o := range s.upstreams {
			if at, ok := s.fastest[o.Service]; o.EventIntervalMicros > 0 && (!ok || o.EventIntervalMicros < at) {
				s.fastest[o.Service] = o.EventIntervalMicros
			}
		}
	}
	return float64(u.EventIntervalMicros) > slowerFactor*float64(s.fastest[u.Service])
}

func (s *State) raiseRules(r *RulesRaised) bool {
	if r.Rules <= s.rules {
		return false
	}
	s.rules, s.placementDue = r.Rules, true
	return true
}

// tieBreak orders upstreams of equal score by a hash, which spreads groups over
// them in the same way on every daemon.
func tieBreak(u *Upstream, i *itemState) uint64 {
	return xxhash.Sum64String(string(u.ID) + i.item().Group)
}
