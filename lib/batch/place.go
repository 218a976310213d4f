package batch

import (
	"cmp"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

func cmpID(a, b api.UpstreamID) int { return strings.Compare(string(a), string(b)) }

// place puts pending items on upstreams with free slots: the oldest jobs
// first and, within a job, the groups with the longest expected output.
func (s *State) place() {
	if len(s.pending) == 0 {
		return
	}
	free := s.free()
	if len(free) == 0 {
		return
	}
	queue := s.queue()
	for _, i := range queue {
		if u := s.choose(free, i); u != nil {
			i.upstream = u.ID
			s.placed[u.ID] = append(s.placed[u.ID], i)
			delete(s.pending, i)
		}
	}
}

// free returns the upstreams that take new items, by id.
func (s *State) free() []*Upstream {
	var out []*Upstream
	for _, u := range s.upstreams {
		if u.Condition == ConditionReady && u.Holder != "" && len(s.placed[u.ID]) < u.Slots {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmpID(a.ID, b.ID) })
	return out
}

// queue returns the pending items in the order in which they are placed.
func (s *State) queue() []*itemState {
	longest := make(map[*jobState]map[string]int)
	out := make([]*itemState, 0, len(s.pending))
	for i := range s.pending {
		out = append(out, i)
		groups, ok := longest[i.job]
		if !ok {
			groups = make(map[string]int)
			longest[i.job] = groups
		}
		groups[i.item().Group] = max(groups[i.item().Group], i.remaining())
	}
	slices.SortFunc(out, func(a, b *itemState) int {
		return cmp.Or(
			cmp.Compare(a.job.seq, b.job.seq),
			cmp.Compare(longest[b.job][b.item().Group], longest[a.job][a.item().Group]),
			strings.Compare(a.item().Group, b.item().Group),
			cmp.Compare(b.remaining(), a.remaining()),
			cmp.Compare(a.index, b.index),
		)
	})
	return out
}

// remaining estimates the output still to come, in tokens.
func (i *itemState) remaining() int {
	if i.item().Hint > 0 {
		return i.item().Hint
	}
	return i.item().Tokens
}

// choose returns the upstream for an item: one that runs its group already,
// else the one with most free slots.
func (s *State) choose(free []*Upstream, i *itemState) *Upstream {
	var best *Upstream
	bestScore := 0
	for _, u := range free {
		if !s.fits(u, i) {
			continue
		}
		score := s.score(u, i)
		if best == nil || score > bestScore || (score == bestScore && tie(u, i) > tie(best, i)) {
			best, bestScore = u, score
		}
	}
	return best
}

func (s *State) fits(u *Upstream, i *itemState) bool {
	j := i.job.job
	return u.Service == j.Service && u.Versions[j.Model] >= j.MinVersion && len(s.placed[u.ID]) < u.Slots &&
		(!j.SingleVersion || len(i.versions) == 0 || u.Versions[j.Model] == i.versions[0])
}

// score prefers free slots, and counts a shared prompt as worth two of them.
func (s *State) score(u *Upstream, i *itemState) int {
	const sharedPrompt = 2 // slots
	score := u.Slots - len(s.placed[u.ID])
	if i.avoid == u.ID {
		score -= u.Slots
	}
	for _, o := range s.placed[u.ID] {
		if o.job == i.job && o.item().Group == i.item().Group {
			return score + sharedPrompt
		}
	}
	return score
}

func tie(u *Upstream, i *itemState) uint64 {
	return xxhash.Sum64String(string(u.ID) + i.item().Group)
}
