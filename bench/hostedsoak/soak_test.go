package main

import (
	"io"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

func quiet() *Result {
	r := newResult(1)
	r.Quiet = true
	return r
}

func TestPlanIsTheSeedsAndHasEveryKind(t *testing.T) {
	a, b := plan(7, 40*time.Second), plan(7, 40*time.Second)
	assert.DeepEqual(t, a, b)
	seen := make(map[kind]bool)
	for _, f := range a {
		seen[f.Kind] = true
	}
	assert.Equal(t, len(seen), len(kinds()))
}

func TestJudgeFindsWhatIsWrongWithRequests(t *testing.T) {
	e := &evidence{arrivals: map[string][]platform.Arrival{"twice": {{}, {}}, "ran": {{}}}}
	r := quiet()
	r.judgeRequests([]asked{
		{Request: "twice", Path: oncePath, Answer: platform.Answer{Status: 200, Signature: "s"}},
		{Request: "ran", Path: oncePath, Answer: platform.Answer{Status: 503}},
		{Request: "never", Path: oncePath, Answer: platform.Answer{Status: 503}},
		{Request: "denied", Path: safePath, Answer: platform.Answer{Status: 404}},
		{Request: "foreign", Path: safePath, Wrong: "another body"},
	}, e)
	assert.Equal(t, r.RepeatedOnce, 1)
	assert.Equal(t, r.FalseNotRun, 1)
	assert.Equal(t, r.Denied, 1)
	assert.Equal(t, r.AnswersWrong, 1)
}

func TestJudgeFindsWhatIsWrongWithResults(t *testing.T) {
	makers := map[string]map[int][]int{"i": {}}
	for n := 1; n <= itemEvents; n++ {
		makers["i"][n] = []int{2}
	}
	e := &evidence{makers: makers}
	s := &step{job: platform.Job{MinVersion: 2, Items: []platform.Item{{ID: "i"}}}}
	good := platform.Result{ID: "i", State: "completed", Text: platform.Text("i", itemEvents), Versions: []int{2}}
	assert.Equal(t, wrongResult(s, good, e), "")
	for name, spoil := range map[string]func(*platform.Result){
		"text":     func(r *platform.Result) { r.Text = platform.Text("i", itemEvents-1) },
		"versions": func(r *platform.Result) { r.Versions = []int{3} },
		"item":     func(r *platform.Result) { r.ID = "other" },
		"too soon": func(r *platform.Result) { r.State = "errored" },
	} {
		bad := good
		spoil(&bad)
		assert.Assert(t, wrongResult(s, bad, e) != "", name)
	}
	s.job.MinVersion = 3
	assert.Assert(t, wrongResult(s, good, e) != "", "too old")
}

func TestJudgeFindsWorkAfterADrain(t *testing.T) {
	begin := time.Now()
	drain := drained{server: "s", begin: begin, end: begin.Add(3 * drainBound)}
	e := &evidence{arrivals: map[string][]platform.Arrival{
		"soon": {{Server: "s", At: begin.Add(drainBound / 2)}},
		"late": {{Server: "s", At: begin.Add(drainBound * 2)}},
	}}
	requests := []asked{{Request: "soon"}, {Request: "late"}}
	r, j := quiet(), &injector{}
	r.judgeDrains([]drained{drain}, requests, e, j)
	assert.Equal(t, r.NewWorkAfterDrain, 1)

	// A daemon that was out of touch may not know.
	j.past = []happened{{Subject: daemonName(0), Begin: begin, End: begin.Add(drainBound)}}
	r = quiet()
	r.judgeDrains([]drained{drain}, requests, e, j)
	assert.Equal(t, r.NewWorkAfterDrain, 0)
}

func TestJudgeFindsCutsAndKillers(t *testing.T) {
	begin := time.Now()
	r, j := quiet(), &injector{}
	cut := asked{Request: "cut", Begin: begin, End: begin.Add(time.Second), Answer: platform.Answer{Err: io.ErrUnexpectedEOF}}
	e := &evidence{arrivals: map[string][]platform.Arrival{"cut": {{}}}}
	r.judgeStops([]happened{{Subject: daemonName(0), Begin: begin, End: begin.Add(time.Second)}}, []asked{cut}, e)
	assert.Equal(t, r.CutByStop, 1)

	var requests []asked
	for n := range 2 * failures {
		id := string(rune('a' + n))
		requests = append(requests, asked{Request: id, Killer: "k"})
		e.arrivals[id] = []platform.Arrival{{At: begin.Add(time.Duration(n) * 2 * contact)}}
	}
	r.judgeKillers(requests, e, j)
	assert.Equal(t, r.KillerRetries, failures)
}

func TestOutagesOfTheStoreAreNoTimeOfAStep(t *testing.T) {
	begin := time.Now().Add(-10 * time.Second)
	j := &injector{past: []happened{
		{Subject: "store", Begin: begin.Add(-2 * time.Second), End: begin.Add(time.Second)},
		{Subject: "daemon-1", Begin: begin, End: begin.Add(5 * time.Second)},
		{Subject: "store", Begin: begin.Add(3 * time.Second), End: begin.Add(5 * time.Second)},
		{Subject: "store", Begin: begin.Add(9 * time.Second)},
	}}
	assert.Equal(t, j.served(begin).Round(100*time.Millisecond), 6*time.Second)
}
