package main

import (
	"errors"
	"testing"

	"dotterelmount.example/bench/fleet"
	"gotest.tools/v3/assert"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/settings/listfile"
)

func passingResult() *Result {
	return &Result{
		MemberRequests: 1, MemberRequestsComplete: 1, OnceCalls: 1, OnceComplete: 1, SamplesDue: 1, SamplesDelivered: 1,
		Drained: true, WeightsSwapped: true, StoppedCleanly: true,
	}
}

func TestEachCheckCanFail(t *testing.T) {
	assert.NilError(t, passingResult().check())
	for name, breakCheck := range map[string]func(*Result){
		"members_whole":        func(r *Result) { r.MemberRequestsComplete = 0 },
		"once_complete":        func(r *Result) { r.OnceComplete = 0 },
		"once_repeated":        func(r *Result) { r.OnceRepeated = 1 },
		"samples_delivered":    func(r *Result) { r.SamplesDelivered = 2 },
		"samples_duplicated":   func(r *Result) { r.SamplesDuplicated = 1 },
		"stale_delivered":      func(r *Result) { r.StaleDelivered = 1 },
		"invariant_violations": func(r *Result) { r.InvariantViolations = 1 },
		"drained":              func(r *Result) { r.Drained = false },
		"weights_swapped":      func(r *Result) { r.WeightsSwapped = false },
		"stopped_cleanly":      func(r *Result) { r.StoppedCleanly = false },
		"errors":               func(r *Result) { r.Errors = []string{"x"} },
	} {
		r := passingResult()
		breakCheck(r)
		var failed *fleet.FailedChecksError
		assert.Assert(t, errors.As(r.check(), &failed), name)
		assert.DeepEqual(t, failed.Checks, []string{name})
	}
	assert.Assert(t, (&Result{}).check() != nil)
}

func TestWrittenListsAreValid(t *testing.T) {
	runner, err := proc.NewRunner(t.TempDir(), t.TempDir())
	assert.NilError(t, err)
	d := &deployment{runner: runner, plain: &proc.Process{Address: "127.0.0.1:9"}}
	for range engineCount {
		d.engines = append(d.engines, &proc.Process{Address: "127.0.0.1:8"})
	}
	plans, usage, err := d.writeLists()
	assert.NilError(t, err)
	gotPlans, err := listfile.LoadPlanList(plans)
	assert.NilError(t, err)
	assert.DeepEqual(t, *gotPlans, planList())
	gotUsage, err := listfile.LoadUsageList(usage)
	assert.NilError(t, err)
	assert.DeepEqual(t, *gotUsage, d.usageList())
}
