package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelmount.example/lib/routing"
)

// LatencyRow holds the latency of one class under one policy in one variant, over
// all repeats. Latencies are in milliseconds, from the intended send time.
type LatencyRow struct {
	Variant   string         `json:"variant"`
	Policy    string         `json:"policy"`
	Class     string         `json:"class"`
	Requests  int            `json:"asked"`
	Failed    map[string]int `json:"failed,omitempty"` // by failureReason
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	Max       float64        `json:"max_ms"`
	RepeatP99 []float64      `json:"repeat_p99_ms"` // of each repeat

	latency *hdrhistogram.Histogram // in microseconds
}

// Comparison compares the p99 of a row with that of a reference row, both in
// milliseconds.
type Comparison struct {
	Class        string  `json:"class"`
	Variant      string  `json:"variant"`
	Policy       string  `json:"policy"`
	P99          float64 `json:"p99_ms"`
	Reference    string  `json:"against"` // name of the reference variant or policy
	ReferenceP99 float64 `json:"other_p99_ms"`
	Ratio        float64 `json:"ratio"` // P99 / ReferenceP99
}

// TrainerRow holds the results of one trainer under one policy in one variant:
// means, sums and maxima over all repeats. Staleness is in weight versions.
type TrainerRow struct {
	Variant           string    `json:"variant"`
	Policy            string    `json:"policy"`
	Trainer           string    `json:"trainer"`
	IdleFraction      float64   `json:"idle_part"`    // fraction of the time spent waiting for samples
	StepSeconds       float64   `json:"step_seconds"` // mean duration of a step
	RepeatStepSeconds []float64 `json:"repeat_step_seconds"`
	Samples           int       `json:"samples"`
	Dropped           int       `json:"dropped"`
	Duplicated        int       `json:"duplicated"`
	MeanStaleness     float64   `json:"mean_staleness_versions"`
	MaxStaleness      int       `json:"max_staleness_versions"`
	StalenessBound    uint64    `json:"bound_versions"`
	Failure           string    `json:"failed,omitempty"` // the first one
}

// PhaseHealth shows whether the bench or the machine distorted a phase.
type PhaseHealth struct {
	Variant          string             `json:"variant"`
	Policy           string             `json:"policy"`
	Repeat           int                `json:"repeat"`
	GeneratorLagP99  float64            `json:"generator_lag_p99_ms"` // from the intended until the actual send time
	CPU              map[string]float64 `json:"cores"`                // mean number of cores used, by group of processes
	Counters         counters           `json:"counters"`
	RequestsByEngine []int              `json:"requests_by_engine"`
	LoadAverage      string             `json:"load_average"` // of the machine, at the end of the phase
	Notes            []string           `json:"notes,omitempty"`
}

// Summary holds the results of an experiment.
type Summary struct {
	Experiment          string        `json:"experiment"`
	Seed                uint64        `json:"seed"`
	Repeats             int           `json:"repeats"`
	Started             time.Time     `json:"started"`
	Machine             string        `json:"machine"`
	LoadBefore          string        `json:"load_average_before"`
	Capacity            float64       `json:"capacity_tokens_per_second"`
	Variants            []VariantRate `json:"variants"`
	Latencies           []*LatencyRow `json:"latency"`
	AgainstFirstVariant []Comparison  `json:"against_first_variant"`
	AgainstBestBaseline []Comparison  `json:"against_best_baseline"`
	Trainers            []*TrainerRow `json:"trainers,omitempty"`
	Health              []PhaseHealth `json:"health"`
}

// VariantRate is the request rate of a variant.
type VariantRate struct {
	Variant string  `json:"variant"`
	Rate    float64 `json:"requests_per_second"`
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// isBaseline reports whether a policy is one that others are compared with.
func isBaseline(policy string) bool {
	switch policy {
	case routing.PolicyRoundRobin, routing.PolicyRandom, routing.PolicyLeastInFlight:
		return true
	default:
		return false
	}
}

// addPhase adds the results of a phase to the summary.
func (s *Summary) addPhase(r *PhaseResult) {
	for _, c := range r.Classes {
		if c.Requests == 0 {
			continue
		}
		row := s.latencyRow(r.Variant, r.Policy, c.Class)
		row.Requests += c.Requests
		for reason, n := range c.Failed {
			row.Failed[reason] += n
		}
		row.latency.Merge(c.Latency)
		row.RepeatP99 = append(row.RepeatP99, milliseconds(c.Latency.ValueAtQuantile(99)))
	}
	for i := range r.Trainers {
		s.addTrainer(r, &r.Trainers[i])
	}
	s.Health = append(s.Health, PhaseHealth{
		Variant: r.Variant, Policy: r.Policy, Repeat: r.Repeat, GeneratorLagP99: milliseconds(r.GeneratorLag.ValueAtQuantile(99)),
		CPU: r.CPU, Counters: r.Counters, RequestsByEngine: r.RequestsByEngine, LoadAverage: r.LoadAverage, Notes: r.Notes,
	})
}

// latencyRow returns the row with the given keys, adding it if necessary.
func (s *Summary) latencyRow(variant, policy, class string) *LatencyRow {
	for _, row := range s.Latencies {
		if row.Variant == variant && row.Policy == policy && row.Class == class {
			return row
		}
	}
	row := &LatencyRow{Variant: variant, Policy: policy, Class: class, Failed: make(map[string]int), latency: newHistogram()}
	s.Latencies = append(s.Latencies, row)
	return row
}

// addTrainer adds a trainer's results in one repeat to its row.
func (s *Summary) addTrainer(r *PhaseResult, t *TrainerResult) {
	i := slices.IndexFunc(s.Trainers, func(o *TrainerRow) bool {
		return o.Variant == r.Variant && o.Policy == r.Policy && o.Trainer == t.Name
	})
	if i < 0 {
		i = len(s.Trainers)
		s.Trainers = append(s.Trainers, &TrainerRow{Variant: r.Variant, Policy: r.Policy, Trainer: t.Name, StalenessBound: t.StalenessBound})
	}
	row := s.Trainers[i]
	n := float64(len(row.RepeatStepSeconds))
	row.IdleFraction = (row.IdleFraction*n + t.IdleFraction) / (n + 1)
	row.StepSeconds = (row.StepSeconds*n + t.StepSeconds) / (n + 1)
	row.RepeatStepSeconds = append(row.RepeatStepSeconds, t.StepSeconds)
	row.MeanStaleness = meanStaleness(row, t)
	row.MaxStaleness = max(row.MaxStaleness, len(t.Staleness)-1)
	row.Samples += t.Samples
	row.Dropped += t.Dropped
	row.Duplicated += t.Duplicated
	row.Failure = cmp.Or(row.Failure, t.Failure)
}

// meanStaleness returns the row's mean staleness including the samples of t.
func meanStaleness(row *TrainerRow, t *TrainerResult) float64 {
	sum, n := row.MeanStaleness*float64(row.Samples), row.Samples
	for versions, count := range t.Staleness {
		sum += float64(versions * count)
		n += count
	}
	return sum / float64(max(1, n))
}

// computeResults sorts the rows and computes their quantiles and comparisons.
func (s *Summary) computeResults(e *Experiment) {
	for _, row := range s.Latencies {
		row.P50 = milliseconds(row.latency.ValueAtQuantile(50))
		row.P99 = milliseconds(row.latency.ValueAtQuantile(99))
		row.P999 = milliseconds(row.latency.ValueAtQuantile(99.9))
		row.Max = milliseconds(row.latency.Max())
	}
	slices.SortStableFunc(s.Latencies, func(a, b *LatencyRow) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(s.variantIndex(a), s.variantIndex(b)))
	})
	for _, row := range s.Latencies {
		s.addComparisons(row, e.Variants[0].Name)
	}
}

// variantIndex returns the index of a row's variant in the experiment.
func (s *Summary) variantIndex(r *LatencyRow) int {
	return slices.IndexFunc(s.Variants, func(v VariantRate) bool { return v.Variant == r.Variant })
}

// addComparisons compares a row with the reference variant and, unless its policy
// is a baseline, with the baseline policy that has the lowest p99.
func (s *Summary) addComparisons(row *LatencyRow, reference string) {
	if row.Variant != reference {
		if ref := s.find(reference, row.Policy, row.Class); ref != nil {
			s.AgainstFirstVariant = append(s.AgainstFirstVariant, newComparison(row, ref, reference))
		}
	}
	if isBaseline(row.Policy) {
		return
	}
	var best *LatencyRow
	for _, o := range s.Latencies {
		if isBaseline(o.Policy) && o.Variant == row.Variant && o.Class == row.Class && (best == nil || o.P99 < best.P99) {
			best = o
		}
	}
	if best != nil {
		s.AgainstBestBaseline = append(s.AgainstBestBaseline, newComparison(row, best, best.Policy))
	}
}

// find returns the row with the given keys, nil if there is none.
func (s *Summary) find(variant, policy, class string) *LatencyRow {
	for _, o := range s.Latencies {
		if o.Variant == variant && o.Policy == policy && o.Class == class {
			return o
		}
	}
	return nil
}

func newComparison(row, reference *LatencyRow, referenceName string) Comparison {
	return Comparison{
		Class: row.Class, Variant: row.Variant, Policy: row.Policy, P99: row.P99, Reference: referenceName, ReferenceP99: reference.P99,
		Ratio: row.P99 / reference.P99,
	}
}
