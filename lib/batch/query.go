package batch

import (
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// Result is the result of a listed item.
type Result struct {
	Item     ItemID
	State    ItemState
	Chunks   []ChunkRef          // chunks of the text, in order
	Versions []api.WeightVersion // weight versions that generated the text
	Score    string              // empty: the item has no scorer
}

// Results is a page of the results of a job.
type Results struct {
	Total   int // number of items of the job
	Next    int // position after the last result of the page
	Results []Result
	Ended   bool
}

// Rules returns the rules of placement in force.
func (s *State) Rules() int { return s.rules }

// CheckJob returns nil if the job exists. Errors: *UnknownJobError.
func (s *State) CheckJob(id JobID) error {
	if _, ok := s.jobs[id]; !ok {
		return &UnknownJobError{ID: id}
	}
	return nil
}

// Customer returns whose job it is; empty: nobody's in particular. Errors:
// *UnknownJobError.
func (s *State) Customer(id JobID) (string, error) {
	j, ok := s.jobs[id]
	if !ok {
		return "", &UnknownJobError{ID: id}
	}
	return j.job.Customer, nil
}

// Results returns the results of a job from position from on, with at most
// limit bytes of text but at least one result if there is one. Errors:
// *UnknownJobError.
func (s *State) Results(id JobID, from, limit int) (Results, error) {
	j, ok := s.jobs[id]
	if !ok {
		return Results{}, &UnknownJobError{ID: id}
	}
	out := Results{Total: len(j.items), Next: max(0, from), Ended: j.ended}
	for size := 0; out.Next < len(j.results); out.Next++ {
		i := j.results[out.Next]
		r := Result{Item: i.item().ID, State: i.state, Versions: i.versions}
		if i.state == ItemCompleted {
			r.Chunks, r.Score = i.chunks, i.score
		}
		for _, c := range r.Chunks {
			size += c.Bytes
		}
		if size > limit && len(out.Results) > 0 {
			break
		}
		out.Results = append(out.Results, r)
	}
	return out, nil
}

// ItemBody returns the reference of an item's request body. Errors:
// *UnknownJobError, *UnknownItemError.
func (s *State) ItemBody(id JobID, item ItemID) (ChunkRef, error) {
	j, ok := s.jobs[id]
	if !ok {
		return ChunkRef{}, &UnknownJobError{ID: id}
	}
	i, ok := j.items[item]
	if !ok {
		return ChunkRef{}, &UnknownItemError{Job: id, Item: item}
	}
	return i.item().Body, nil
}

// Run is an item placed on an upstream, for the lease holder to run.
type Run struct {
	Job         *Job
	Item        *Item
	Service     string // of the job now
	Upstream    api.UpstreamID
	LeaseOffset Offset              // fencing token of the upstream's lease
	EventCount  int                 // number of events of the text so far
	Versions    []api.WeightVersion // weight versions that generated them
	Software    string              // version of the software that generated them
	Losses      int                 // upstreams lost under its runs since the last event
	// Alternative is where the item would be placed if it were moved now; nil: it isn't known,
	// or there is no room.
	Alternative *Alternative
}

// ItemKey identifies an item of a job.
type ItemKey struct {
	Job  JobID
	Item ItemID
}

// Runs returns the items placed on the upstreams that a daemon holds.
func (s *State) Runs(d api.DaemonID) map[ItemKey]Run {
	out := make(map[ItemKey]Run)
	for id, u := range s.upstreams {
		if u.Holder != d {
			continue
		}
		for _, i := range s.placed[id] {
			out[ItemKey{i.job.job.ID, i.item().ID}] = Run{
				Job: i.job.job, Item: i.item(), Service: i.job.service, Upstream: id, LeaseOffset: u.LeaseOffset,
				EventCount: i.eventCount, Versions: i.versions, Software: i.software, Losses: i.losses,
			}
		}
	}
	return out
}

// OpenItem is an item that is not listed yet and whose job has not ended.
type OpenItem struct {
	ItemKey
	Host, Path    string
	Service       string        // of the job now
	EventCount    int           // number of events of the text so far
	Stranded      bool          // only the weight version of the text keeps the item from running
	TimeoutMillis int64         // time after the job's submission after which the item may expire
	Age           time.Duration // since that submission, as this daemon knows it; not set by State
}

// OpenItems returns all open items in no particular order.
func (s *State) OpenItems() []OpenItem {
	var out []OpenItem
	for _, j := range s.jobs {
		if j.ended {
			continue
		}
		for _, i := range j.items {
			if i.state == ItemOpen {
				out = append(out, OpenItem{
					ItemKey: ItemKey{j.job.ID, i.item().ID}, Host: j.job.Host, Path: i.item().Path, Service: j.service,
					EventCount: i.eventCount, Stranded: s.isStranded(i),
					TimeoutMillis: j.job.TimeoutMillis,
				})
			}
		}
	}
	return out
}

// ChangesUpstreams reports whether a record can change the result of Upstreams.
func ChangesUpstreams(r Record) bool {
	switch r.(type) {
	case *LeaseAcquired, *UpstreamRemoved, *UpstreamChanged, *EventIntervalMeasured, *RequestLimitNamed, *DaemonLeft, *JobEnded, *HomesSwapped:
		return true
	default:
		return false
	}
}

// Upstreams returns a copy of every upstream, sorted by ID.
func (s *State) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		c := *u
		c.Versions = maps.Clone(u.Versions)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Daemons returns copies of the daemons that have not left.
func (s *State) Daemons() map[api.DaemonID]Daemon {
	out := make(map[api.DaemonID]Daemon, len(s.daemons))
	for id, d := range s.daemons {
		if !d.Left {
			out[id] = *d
		}
	}
	return out
}

// ForgetFinished removes old jobs that have ended or have all items listed, and old
// streams, to bound memory. Removed ones are unknown afterwards.
func (s *State) ForgetFinished(oldJob func(JobID) bool, oldStream func(api.RequestID) bool) {
	maps.DeleteFunc(s.streams, func(id api.RequestID, _ streamState) bool { return oldStream(id) })
	for id, j := range s.jobs {
		if (!j.ended && len(j.results) < len(j.items)) || !oldJob(id) {
			continue
		}
		delete(s.jobs, id)
		s.jobBytes -= j.job.Size()
		for item, i := range j.items {
			if s.latestItems[item] == i {
				delete(s.latestItems, item)
			}
		}
	}
}
