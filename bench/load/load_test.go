package main

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/check"
)

const experiments = "experiments"

func TestExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(experiments, "*.yaml"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		e, err := LoadExperiment(file)
		assert.NilError(t, err)
		assert.Equal(t, e.Name+".yaml", filepath.Base(file))
	}
}

func loadExperiment(t *testing.T, name string) *Experiment {
	t.Helper()
	e, err := LoadExperiment(filepath.Join(experiments, name+".yaml"))
	assert.NilError(t, err)
	return e
}

func TestInvalidExperimentsAreRejected(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(experiments, "entry.yaml"))
	assert.NilError(t, err)
	for _, change := range [][2]string{
		{"seed: 13", "sede: 13"},
		{"policies: [two-choice]", "policies: [two-choices]"},
		{"repeats: 3", "repeats: 0"},
		{"rate: 1000}", "rate: 0}"},
		{"direct: true,", "classes: [long],"},
	} {
		file := filepath.Join(t.TempDir(), "x.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(string(data), change[0], change[1], 1)), 0o600))
		_, err := LoadExperiment(file)
		assert.Equal(t, api.CodeOf(err), api.CodeInvalid, change[1])
	}
}

func TestScheduleIsDeterministicAndClassesAreIndependent(t *testing.T) {
	e := loadExperiment(t, "headofline")
	alone, mixed := newSchedule(e, &e.Variants[0], 1), newSchedule(e, &e.Variants[1], 1)
	assert.Assert(t, len(mixed) > len(alone))
	var short []arrival
	tokens := 0
	for i, a := range mixed {
		assert.Assert(t, i == 0 || a.offset >= mixed[i-1].offset)
		tokens += a.maxTokens
		if e.Classes[a.class].Name == "short" {
			short = append(short, a)
		}
	}
	assert.Equal(t, len(short), len(alone))
	for i := range alone {
		assert.Equal(t, short[i].offset, alone[i].offset)
		assert.Equal(t, short[i].prompt[1].Content, alone[i].prompt[1].Content)
	}
	assert.Assert(t, newSchedule(e, &e.Variants[0], 2)[0].offset != alone[0].offset)
	offered := float64(tokens) / (e.Warmup + e.Duration).Seconds() / e.Capacity()
	assert.Assert(t, math.Abs(offered-e.Load) < 0.15, "offered %.2f of the capacity", offered)
}

func TestBoundedParetoHasBoundsAndMean(t *testing.T) {
	for _, alpha := range []float64{0.8, 1, 1.1, 2.5} {
		c := Class{MinTokens: 64, MaxTokens: 768, Alpha: alpha}
		rnd := rand.New(rand.NewPCG(1, 2))
		sum, n := 0.0, 200_000
		for range n {
			v := boundedPareto(rnd.Float64(), alpha, 64, 768)
			assert.Assert(t, v >= 64 && v <= 768.001)
			sum += v
		}
		drawnMean := sum / float64(n)
		assert.Assert(t, math.Abs(drawnMean-c.meanTokens()) < 0.02*drawnMean, "alpha %v: drawn %.1f, computed %.1f", alpha, drawnMean, c.meanTokens())
	}
}

func TestBurstsDoNotOverlap(t *testing.T) {
	e := loadExperiment(t, "slowdowns")
	all := drawSlowdowns(e, 1)
	assert.Assert(t, len(all) > 2)
	for i, b := range all {
		assert.Equal(t, len(b.engines), 2)
		assert.Assert(t, b.engines[0] != b.engines[1])
		assert.Assert(t, i == 0 || b.start >= all[i-1].end+e.Slowdowns.BurstGap)
	}
	assert.DeepEqual(t, all[0].engines, drawSlowdowns(e, 1)[0].engines)
}

func newPhaseResult(e *Experiment, policy, variant string, latency time.Duration, failed int) *PhaseResult {
	p := &phase{experiment: e, variant: &Variant{Name: variant}, policy: policy, repeat: 1}
	r := newResultRecorder(p)
	r.Handle(context.Background(), requestOutcome{latency: time.Hour})
	for range 100 {
		r.Handle(context.Background(), requestOutcome{measured: true, latency: latency})
	}
	for range failed {
		r.Handle(context.Background(), requestOutcome{measured: true, err: &check.ResponseError{Status: 503}})
	}
	return r.result
}

func TestSummaryComparesRowsAndCountsFailuresAtDeadline(t *testing.T) {
	e := loadExperiment(t, "slowdowns")
	s := &Summary{Variants: []VariantRate{{Variant: "normal"}, {Variant: "slowed"}}}
	s.addPhase(newPhaseResult(e, "two-choice", "normal", 10*time.Millisecond, 0))
	s.addPhase(newPhaseResult(e, "two-choice", "slowed", 20*time.Millisecond, 0))
	s.addPhase(newPhaseResult(e, "random", "slowed", 40*time.Millisecond, 0))
	s.addPhase(newPhaseResult(e, "round-robin", "slowed", time.Millisecond, 5))
	s.computeResults(e)
	row := s.find("slowed", "round-robin", "short")
	assert.Equal(t, row.Requests, 105)
	assert.Assert(t, row.P99 >= float64(e.Deadline.Milliseconds()))
	assert.Equal(t, row.Failed["status 503, none"]+row.Failed["status 503, "+api.Outcome(0).String()], 5)
	assert.Equal(t, len(s.AgainstFirstVariant), 1)
	assert.Assert(t, math.Abs(s.AgainstFirstVariant[0].Ratio-2) < 0.01)
	assert.Equal(t, len(s.AgainstBestBaseline), 1)
	assert.Equal(t, s.AgainstBestBaseline[0].Reference, "random")
	assert.Assert(t, math.Abs(s.AgainstBestBaseline[0].Ratio-0.5) < 0.01)
	dir := t.TempDir()
	assert.NilError(t, s.write(dir, &strings.Builder{}))
	for _, name := range []string{"report.md", "result.json", "latency-short-slowed.png"} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0)
	}
}

func TestReadStalenessCountsUsedSamples(t *testing.T) {
	file := filepath.Join(t.TempDir(), "j")
	lines := `{"pull":1}
{"cursor":2,"seen":3,"used":[{"versions":[3]},{"versions":[2,3]},{"versions":[1]}]}
`
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	counts, err := readStaleness(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, []int{1, 1, 1})
	_, err = readStaleness(file + ".none")
	var typed *api.Error
	assert.Assert(t, errors.As(err, &typed))
}
