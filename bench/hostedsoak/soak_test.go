package main

import (
	"io"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

func newQuietResult() *Result {
	r := newResult(1)
	r.Quiet = true
	return r
}

func TestScheduleIsDeterministicAndHasEveryKind(t *testing.T) {
	a, b := newSchedule(7, 40*time.Second), newSchedule(7, 40*time.Second)
	assert.DeepEqual(t, a, b)
	seen := make(map[kind]bool)
	for _, f := range a {
		seen[f.Kind] = true
	}
	assert.Equal(t, len(seen), len(kinds()))
}

func TestEvaluateRequestsCountsWrongResponses(t *testing.T) {
	index := &arrivalIndex{arrivals: map[string][]platform.Arrival{"twice": {{}, {}}, "ran": {{}}}}
	r := newQuietResult()
	r.evaluateRequests([]requestRecord{
		{SentID: "twice", Path: oncePath, Response: platform.Response{Status: 200, Signature: "s"}},
		{SentID: "ran", Path: oncePath, Response: platform.Response{Status: 503}},
		{SentID: "never", Path: oncePath, Response: platform.Response{Status: 503}},
		{SentID: "denied", Path: safePath, Response: platform.Response{Status: 404}},
		{SentID: "foreign", Path: safePath, Mismatch: "wrong body"},
	}, index)
	assert.Equal(t, r.RepeatedOnce, 1)
	assert.Equal(t, r.FalseNotRun, 1)
	assert.Equal(t, r.Denied, 1)
	assert.Equal(t, r.WrongResponses, 1)
}

func TestResultMismatchDetectsWrongResults(t *testing.T) {
	versions := map[string]map[int][]int{"i": {}}
	for n := 1; n <= eventsPerItem; n++ {
		versions["i"][n] = []int{2}
	}
	index := &arrivalIndex{eventVersions: versions}
	s := &step{job: platform.Job{MinVersion: 2, Items: []platform.Item{{ID: "i"}}}}
	good := platform.Result{ID: "i", State: "completed", Text: platform.ItemText("v1", "i", eventsPerItem), Versions: []int{2}}
	assert.Equal(t, resultMismatch(s, good, index), "")
	for name, corrupt := range map[string]func(*platform.Result){
		"text":     func(r *platform.Result) { r.Text = platform.ItemText("v1", "i", eventsPerItem-1) },
		"versions": func(r *platform.Result) { r.Versions = []int{3} },
		"item":     func(r *platform.Result) { r.ID = "other" },
		"too soon": func(r *platform.Result) { r.State = "errored" },
	} {
		bad := good
		corrupt(&bad)
		assert.Assert(t, resultMismatch(s, bad, index) != "", name)
	}
	s.job.MinVersion = 3
	assert.Assert(t, resultMismatch(s, good, index) != "", "too old")
}

func TestEvaluateDrainsCountsNewWork(t *testing.T) {
	begin := time.Now()
	drain := drainPeriod{instanceID: "s", begin: begin, end: begin.Add(3 * maxDrainDelay)}
	index := &arrivalIndex{arrivals: map[string][]platform.Arrival{
		"soon": {{InstanceID: "s", StartedAt: begin.Add(maxDrainDelay / 2)}},
		"late": {{InstanceID: "s", StartedAt: begin.Add(maxDrainDelay * 2)}},
	}}
	requests := []requestRecord{{SentID: "soon"}, {SentID: "late"}}
	r, j := newQuietResult(), &injector{}
	r.evaluateDrains([]drainPeriod{drain}, requests, index, j)
	assert.Equal(t, r.NewWorkAfterDrain, 1)

	// A daemon that was affected by a fault may not know of the drain.
	j.injected = []injectedFault{{Subject: daemonName(0), Begin: begin, End: begin.Add(maxDrainDelay)}}
	r = newQuietResult()
	r.evaluateDrains([]drainPeriod{drain}, requests, index, j)
	assert.Equal(t, r.NewWorkAfterDrain, 0)
}

func TestEvaluateStopsAndKillers(t *testing.T) {
	begin := time.Now()
	r, j := newQuietResult(), &injector{}
	cut := requestRecord{SentID: "cut", Begin: begin, End: begin.Add(time.Second), Response: platform.Response{Err: io.ErrUnexpectedEOF}}
	index := &arrivalIndex{arrivals: map[string][]platform.Arrival{"cut": {{}}}}
	r.evaluateStops([]injectedFault{{Subject: daemonName(0), Begin: begin, End: begin.Add(time.Second)}}, []requestRecord{cut}, index)
	assert.Equal(t, r.CutByStop, 1)

	var requests []requestRecord
	for n := range 2 * maxFailedAttempts {
		id := string(rune('a' + n))
		requests = append(requests, requestRecord{SentID: id, Killer: "k"})
		index.arrivals[id] = []platform.Arrival{{StartedAt: begin.Add(time.Duration(n) * 2 * reconnectTime)}}
	}
	r.evaluateKillers(requests, index, j)
	assert.Equal(t, r.KillerRetries, maxFailedAttempts)
}

func TestStoreUptimeExcludesStoreFaults(t *testing.T) {
	begin := time.Now().Add(-10 * time.Second)
	j := &injector{injected: []injectedFault{
		{Subject: "store", Begin: begin.Add(-2 * time.Second), End: begin.Add(time.Second)},
		{Subject: "daemon-1", Begin: begin, End: begin.Add(5 * time.Second)},
		{Subject: "store", Begin: begin.Add(3 * time.Second), End: begin.Add(5 * time.Second)},
		{Subject: "store", Begin: begin.Add(9 * time.Second)},
	}}
	assert.Equal(t, j.storeUptime(begin).Round(100*time.Millisecond), 6*time.Second)
}

func TestBuildsOfTheDaemons(t *testing.T) {
	b, err := newBuilds(true, "", false)
	assert.NilError(t, err)
	assert.Equal(t, b.first()+" "+b.last(), "dotterelmountd dotterelmountd")
	b, err = newBuilds(false, "/old", false)
	assert.NilError(t, err)
	assert.Equal(t, b.first()+" "+b.last(), "/old/dotterelmountd dotterelmountd")
	b, err = newBuilds(false, "/old", true)
	assert.NilError(t, err)
	assert.Equal(t, b.first()+" "+b.last(), "dotterelmountd /old/dotterelmountd")
	_, err = newBuilds(true, "/old", false)
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
}

func TestEvaluateTenantsCountsWrongOnes(t *testing.T) {
	index := &arrivalIndex{arrivals: map[string][]platform.Arrival{
		"1-1": {{Tenant: memberTenant}, {Tenant: ""}}, "1-2": {{Tenant: memberTenant, KeyShown: true}}, "item": {{Tenant: trainerTenant}},
		scorePrefix + "item": {{Tenant: memberTenant}}, probePrefix + "1-1": {{Tenant: probeTenant}, {Tenant: probeTenant + "," + memberTenant}},
	}}
	trainers := []*trainer{{steps: []*step{{job: platform.Job{Items: []platform.Item{{ID: "item"}}}}}}}
	r := newQuietResult()
	r.evaluateTenants(trainers, index, true)
	assert.Equal(t, r.WrongTenant, 4)
	r.evaluateTenants(trainers, index, false)
	assert.Equal(t, r.WrongTenant, 4, "callers need no keys")
}
