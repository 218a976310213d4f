package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// longItems is the fraction of a job's texts that are at most as long as Workload.LongEvents.
const longItems = 0.95

// Workload is the work of a job.
type Workload struct {
	Job       JobID
	Service   string // of the job now
	Model     api.ModelName
	Target    time.Duration // after submission, when results are due; 0: no target
	Age       time.Duration // since the submission, as this daemon knows it; not set by State
	Events    float64       // generated so far and still expected
	Remaining float64       // still expected; 0 once the job has ended
	// LongEvents is the number of events of a long text of the job; 0 until it has ended.
	LongEvents float64
}

// Workloads returns the work of each job, in order of acceptance.
func (s *State) Workloads() []Workload {
	states := make([]*jobState, 0, len(s.jobs))
	for _, j := range s.jobs {
		states = append(states, j)
	}
	slices.SortFunc(states, func(a, b *jobState) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	out := make([]Workload, 0, len(states))
	for _, j := range states {
		out = append(out, s.workload(j))
	}
	return out
}

func (s *State) workload(j *jobState) Workload {
	w := Workload{Job: j.job.ID, Service: j.service, Model: j.job.Model, Target: time.Duration(j.job.TargetMillis) * time.Millisecond}
	lengths := make([]int, 0, len(j.items))
	open := 0
	for _, i := range j.items {
		w.Events += float64(i.eventCount)
		lengths = append(lengths, i.eventCount)
		if i.state == ItemOpen && !i.textDone {
			open++
		}
	}
	switch {
	case !j.ended && open > 0:
		// Each open text has an event left; together they are as long as those before.
		w.Remaining = max(float64(open), s.eventsPerItem[j.job.Model]*float64(len(j.items))-w.Events)
		w.Events += w.Remaining
	case len(lengths) > 0 && j.ended:
		slices.Sort(lengths)
		w.LongEvents = float64(lengths[int(math.Ceil(longItems*float64(len(lengths))))-1])
	}
	return w
}
