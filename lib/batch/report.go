package batch

import (
	"cmp"
	"slices"

	"dotterelmount.example/api"
)

// JobReport summarises a job.
type JobReport struct {
	ID              JobID             `json:"id"`
	Customer        string            `json:"customer,omitempty"`
	Model           api.ModelName     `json:"model"`
	MinVersion      api.WeightVersion `json:"min_version"`
	SubmittedMillis int64             `json:"at_ms"`  // submission time, in Unix milliseconds
	DueMillis       int64             `json:"due_ms"` // time at which results are due, in Unix milliseconds; 0: no target
	Items           int               `json:"items"`
	Completed       int               `json:"completed"`
	Errored         []ItemID          `json:"errored,omitempty"`
	Open            []ItemID          `json:"open,omitempty"` // neither completed nor errored
	Ended           bool              `json:"ended"`
}

// ResultsMissing reports whether the job has ended or is overdue and some of
// its items are not completed.
func (r *JobReport) ResultsMissing(nowMillis int64) bool {
	finished := r.Ended || (r.DueMillis > 0 && nowMillis > r.DueMillis)
	return finished && (len(r.Open) > 0 || len(r.Errored) > 0)
}

// JobReports returns a report of every job, in order of acceptance.
func (s *State) JobReports() []JobReport {
	states := make([]*jobState, 0, len(s.jobs))
	for _, j := range s.jobs {
		states = append(states, j)
	}
	slices.SortFunc(states, func(a, b *jobState) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	out := make([]JobReport, 0, len(states))
	for _, j := range states {
		r := JobReport{
			ID: j.job.ID, Customer: j.job.Customer, Model: j.job.Model, MinVersion: j.job.MinVersion, SubmittedMillis: j.job.SubmittedMillis, Items: len(j.items), Ended: j.ended,
		}
		if j.job.TargetMillis > 0 {
			r.DueMillis = j.job.SubmittedMillis + j.job.TargetMillis
		}
		for n := range j.job.Items {
			i := j.items[j.job.Items[n].ID]
			switch {
			case i.index != n: // duplicate item ID, counted once
			case i.state == ItemCompleted:
				r.Completed++
			case i.state == ItemErrored:
				r.Errored = append(r.Errored, i.item().ID)
			default:
				r.Open = append(r.Open, i.item().ID)
			}
		}
		out = append(out, r)
	}
	return out
}
