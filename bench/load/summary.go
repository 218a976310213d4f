package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelmount.example/lib/routing"
)

// Row is one class under one policy in one variant, all repeats together.
type Row struct {
	Variant   string         `json:"variant"`
	Policy    string         `json:"policy"`
	Class     string         `json:"class"`
	Asked     int            `json:"asked"`
	Failed    map[string]int `json:"failed,omitempty"`
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	Max       float64        `json:"max_ms"`
	RepeatP99 []float64      `json:"repeat_p99_ms"` // of each repeat alone

	latency *hdrhistogram.Histogram
}

// Ratio compares the p99 of one row with another's.
type Ratio struct {
	Class   string  `json:"class"`
	Variant string  `json:"variant"`
	Policy  string  `json:"policy"`
	P99     float64 `json:"p99_ms"`
	Against string  `json:"against"` // a variant, or a policy
	Other   float64 `json:"other_p99_ms"`
	Ratio   float64 `json:"ratio"`
}

// TrainerRow is one trainer under one policy in one variant, means of the repeats.
type TrainerRow struct {
	Variant       string    `json:"variant"`
	Policy        string    `json:"policy"`
	Trainer       string    `json:"trainer"`
	IdlePart      float64   `json:"idle_part"`
	StepSeconds   float64   `json:"step_seconds"`
	RepeatStep    []float64 `json:"repeat_step_seconds"`
	Samples       int       `json:"samples"`
	Dropped       int       `json:"dropped"`
	Duplicated    int       `json:"duplicated"`
	MeanStaleness float64   `json:"mean_staleness_versions"`
	MaxStaleness  int       `json:"max_staleness_versions"`
	Bound         uint64    `json:"bound_versions"`
	Failed        string    `json:"failed,omitempty"`
}

// Health tells whether the bench or the machine spoiled a phase.
type Health struct {
	Variant  string             `json:"variant"`
	Policy   string             `json:"policy"`
	Repeat   int                `json:"repeat"`
	LagP99   float64            `json:"generator_lag_p99_ms"`
	CPU      map[string]float64 `json:"cores"`
	Counters counters           `json:"counters"`
	Spread   []int              `json:"requests_by_engine"`
	LoadAvg  string             `json:"load_average"`
	Notes    []string           `json:"notes,omitempty"`
}

// Summary is the whole outcome of an experiment.
type Summary struct {
	Experiment string        `json:"experiment"`
	Seed       uint64        `json:"seed"`
	Repeats    int           `json:"repeats"`
	Started    time.Time     `json:"started"`
	Machine    string        `json:"machine"`
	LoadBefore string        `json:"load_average_before"`
	Capacity   float64       `json:"capacity_tokens_per_second"`
	Rates      []VariantSum  `json:"variants"`
	Rows       []*Row        `json:"latency"`
	Reference  []Ratio       `json:"against_first_variant"`
	Baselines  []Ratio       `json:"against_best_baseline"`
	Trainers   []*TrainerRow `json:"trainers,omitempty"`
	Health     []Health      `json:"health"`
}

// VariantSum is the load of a variant.
type VariantSum struct {
	Variant string  `json:"variant"`
	Rate    float64 `json:"requests_per_second"`
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func isBaseline(policy string) bool {
	switch policy {
	case routing.PolicyRoundRobin, routing.PolicyRandom, routing.PolicyLeastInFlight:
		return true
	default:
		return false
	}
}

// add folds a phase into the summary.
func (s *Summary) add(r *PhaseResult) {
	for _, c := range r.Classes {
		if c.Asked == 0 {
			continue
		}
		row := s.row(r.Variant, r.Policy, c.Class)
		row.Asked += c.Asked
		for reason, n := range c.Failed {
			row.Failed[reason] += n
		}
		row.latency.Merge(c.Latency)
		row.RepeatP99 = append(row.RepeatP99, milliseconds(c.Latency.ValueAtQuantile(99)))
	}
	for i := range r.Trainers {
		s.trainer(r, &r.Trainers[i])
	}
	s.Health = append(s.Health, Health{
		Variant: r.Variant, Policy: r.Policy, Repeat: r.Repeat, LagP99: milliseconds(r.Lag.ValueAtQuantile(99)),
		CPU: r.CPU, Counters: r.Counters, Spread: r.Spread, LoadAvg: r.LoadAvg, Notes: r.Notes,
	})
}

func (s *Summary) row(variant, policy, class string) *Row {
	for _, row := range s.Rows {
		if row.Variant == variant && row.Policy == policy && row.Class == class {
			return row
		}
	}
	row := &Row{Variant: variant, Policy: policy, Class: class, Failed: make(map[string]int), latency: newHistogram()}
	s.Rows = append(s.Rows, row)
	return row
}

// trainer adds one repeat to the running means.
func (s *Summary) trainer(r *PhaseResult, t *TrainerResult) {
	i := slices.IndexFunc(s.Trainers, func(o *TrainerRow) bool {
		return o.Variant == r.Variant && o.Policy == r.Policy && o.Trainer == t.Name
	})
	if i < 0 {
		i = len(s.Trainers)
		s.Trainers = append(s.Trainers, &TrainerRow{Variant: r.Variant, Policy: r.Policy, Trainer: t.Name, Bound: t.Bound})
	}
	row := s.Trainers[i]
	n := float64(len(row.RepeatStep))
	row.IdlePart = (row.IdlePart*n + t.IdlePart) / (n + 1)
	row.StepSeconds = (row.StepSeconds*n + t.StepSeconds) / (n + 1)
	row.RepeatStep = append(row.RepeatStep, t.StepSeconds)
	row.MeanStaleness = meanStaleness(row, t)
	row.MaxStaleness = max(row.MaxStaleness, len(t.Staleness)-1)
	row.Samples += t.Samples
	row.Dropped += t.Dropped
	row.Duplicated += t.Duplicated
	row.Failed = cmp.Or(row.Failed, t.Failed)
}

func meanStaleness(row *TrainerRow, t *TrainerResult) float64 {
	sum, n := row.MeanStaleness*float64(row.Samples), row.Samples
	for versions, count := range t.Staleness {
		sum += float64(versions * count)
		n += count
	}
	return sum / float64(max(1, n))
}

// finish works out quantiles and comparisons.
func (s *Summary) finish(e *Experiment) {
	for _, r := range s.Rows {
		r.P50 = milliseconds(r.latency.ValueAtQuantile(50))
		r.P99 = milliseconds(r.latency.ValueAtQuantile(99))
		r.P999 = milliseconds(r.latency.ValueAtQuantile(99.9))
		r.Max = milliseconds(r.latency.Max())
	}
	slices.SortStableFunc(s.Rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(s.order(a), s.order(b)))
	})
	for _, r := range s.Rows {
		s.compare(r, e.Variants[0].Name)
	}
}

// order keeps variants in the experiment's order.
func (s *Summary) order(r *Row) int {
	return slices.IndexFunc(s.Rates, func(v VariantSum) bool { return v.Variant == r.Variant })
}

func (s *Summary) compare(r *Row, reference string) {
	if r.Variant != reference {
		if ref := s.find(reference, r.Policy, r.Class); ref != nil {
			s.Reference = append(s.Reference, ratio(r, ref, reference))
		}
	}
	if isBaseline(r.Policy) {
		return
	}
	var best *Row
	for _, o := range s.Rows {
		if isBaseline(o.Policy) && o.Variant == r.Variant && o.Class == r.Class && (best == nil || o.P99 < best.P99) {
			best = o
		}
	}
	if best != nil {
		s.Baselines = append(s.Baselines, ratio(r, best, best.Policy))
	}
}

func (s *Summary) find(variant, policy, class string) *Row {
	for _, o := range s.Rows {
		if o.Variant == variant && o.Policy == policy && o.Class == class {
			return o
		}
	}
	return nil
}

func ratio(r, other *Row, against string) Ratio {
	return Ratio{
		Class: r.Class, Variant: r.Variant, Policy: r.Policy, P99: r.P99, Against: against, Other: other.P99,
		Ratio: r.P99 / other.P99,
	}
}
