package batch

import (
	"fmt"
	"math"
	"slices"

	"dotterelmount.example/api"
)

// Placement says where the next item of a new job would be placed, and why.
type Placement struct {
	Upstream api.UpstreamID `json:"upstream"` // empty: the item would wait
	Ahead    int            `json:"ahead"`    // items of the service that wait already and go first
	// Candidates are the upstreams of the service, sorted by ID.
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementCandidate is an upstream that an item might be placed on.
type PlacementCandidate struct {
	ID            api.UpstreamID    `json:"id"`
	Holder        api.DaemonID      `json:"holder"`
	Condition     string            `json:"condition"`
	Version       api.WeightVersion `json:"version"` // of the job's model
	Placed        int               `json:"placed"`  // items there
	Slots         int               `json:"slots"`   // items that may be placed there
	IntervalMicro int64             `json:"event_interval_us"`
	Score         int               `json:"score"`    // the highest one is chosen
	Excluded      string            `json:"excluded"` // why no item is placed there; empty: one may be
}

// ExplainPlacement returns where the first item of a job would be placed if the job were
// accepted now. It changes nothing.
func (s *State) ExplainPlacement(job *Job) Placement {
	j := &jobState{job: job, acceptedAt: Offset(math.MaxUint64), service: job.Service, items: make(map[ItemID]*itemState, len(job.Items))}
	for n := range job.Items {
		if _, ok := j.items[job.Items[n].ID]; !ok {
			j.items[job.Items[n].ID] = &itemState{job: j, index: n}
		}
	}
	j.setGroupOutput()
	j.setMeanOutput()
	var first *itemState
	for _, i := range j.items {
		if first == nil || comparePending(i, first) < 0 {
			first = i
		}
	}
	out := Placement{Candidates: []PlacementCandidate{}}
	if first == nil {
		return out
	}
	for _, i := range s.pending {
		if i.job.service == j.service {
			out.Ahead++
		}
	}
	free, _ := s.freeUpstreams()
	candidates := s.candidates(free, j)
	if chosen := s.chooseUpstream(candidates, first); chosen != nil {
		out.Upstream = chosen.ID
	}
	for _, u := range s.upstreams {
		if u.Service != j.service {
			continue
		}
		c := PlacementCandidate{
			ID: u.ID, Holder: u.Holder, Condition: u.Condition.String(), Version: u.Versions[job.Model], Placed: len(s.placed[u.ID]),
			Slots: s.slotsOf(u, first), IntervalMicro: u.EventIntervalMicros, Score: s.score(u, first),
		}
		if !slices.Contains(candidates, u) || !s.hasRoomFor(u, first) {
			c.Excluded = s.exclusion(u, first)
		}
		out.Candidates = append(out.Candidates, c)
	}
	slices.SortFunc(out.Candidates, func(a, b PlacementCandidate) int { return compareIDs(a.ID, b.ID) })
	return out
}

// exclusion returns why an item isn't placed on an upstream of its service.
func (s *State) exclusion(u *Upstream, i *itemState) string {
	switch {
	case u.Holder == "":
		return "no daemon holds its lease"
	case u.Condition != ConditionReady && u.Condition != ConditionSlow:
		return u.Condition.String()
	case !u.canRun(i.job):
		return fmt.Sprintf("weight version %d, the job allows %d and later", u.Versions[i.job.job.Model], i.job.job.MinVersion)
	case !s.hasRoomFor(u, i):
		return "no free slot"
	default:
		return "slow, and others can run the job"
	}
}
