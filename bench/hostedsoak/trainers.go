package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

const (
	groupsPerStep   = 6
	itemsPerGroup   = 2
	targetGroups    = 5
	submitTimeout   = 3 * time.Second
	readWait        = 500 * time.Millisecond
	stepTimeout     = 40 * time.Second // with the store serving; far over what any other fault takes away
	propagationTime = time.Second      // until an accepted job or a position read is known to every daemon
)

// step is a job of a trainer with all that it was told of it.
type step struct {
	job            platform.Job
	acceptedAt     time.Time // zero: never
	ended          bool
	results        []platform.Result
	promisedNotRun bool // every attempt was promised not to run
}

// trainer asks for one step after the other and names the next version after each.
type trainer struct {
	deployment *deployment
	model      string
	rng        *rand.Rand
	result     *Result
	injector   *injector
	steps      []*step
}

// run trains until loaded ends; the last step is read to its end, unless ctx ends.
func (t *trainer) run(ctx, loaded context.Context) {
	version := 1
	for n := 0; loaded.Err() == nil; n++ {
		s := &step{job: platform.Job{
			ID: fmt.Sprintf("%s-%d", t.model, n), Step: n, Model: t.model, MinVersion: max(1, version-1), TargetGroups: targetGroups,
		}}
		for i := range groupsPerStep * itemsPerGroup {
			id := fmt.Sprintf("%s-%d", s.job.ID, i)
			s.job.Items = append(s.job.Items, platform.NewItem(id, batchPath+"x", t.model, fmt.Sprintf("%s-g%d", s.job.ID, i/itemsPerGroup)))
		}
		t.steps = append(t.steps, s)
		if !t.submitJob(ctx, s) || !t.awaitGroups(ctx, s) {
			t.result.addStuckStep(s)
			continue
		}
		t.endJob(ctx, s)
		version++
		t.deployment.store.PublishVersion(t.model, version)
	}
}

func (t *trainer) randomDaemon() int { return t.rng.IntN(daemonCount) }

// submitJob hands the job in until it is accepted.
func (t *trainer) submitJob(ctx context.Context, s *step) bool {
	s.promisedNotRun = true
	return t.retry(ctx, readWait, func() bool {
		a := t.deployment.client.SubmitJob(ctx, t.deployment.callerAddresses[t.randomDaemon()], batchPath, submitTimeout, s.job)
		s.promisedNotRun = s.promisedNotRun && a.Err == nil && a.PromisesNotRun()
		if a.Err != nil || a.Status != http.StatusAccepted {
			return false
		}
		s.acceptedAt = time.Now()
		return true
	})
}

// retry calls f until it succeeds or the time of a step is over.
func (t *trainer) retry(ctx context.Context, every time.Duration, f func() bool) bool {
	begin := time.Now()
	for ctx.Err() == nil && t.injector.storeUptime(begin) < stepTimeout {
		if f() {
			return true
		}
		duty.Sleep(ctx, every)
	}
	return false
}

// awaitGroups reads results until enough groups are whole.
func (t *trainer) awaitGroups(ctx context.Context, s *step) bool {
	return t.retry(ctx, pollInterval, func() bool {
		if _, ok := t.readResults(ctx, s, len(s.results)); ok && s.completeGroups() >= targetGroups {
			return true
		}
		if t.rng.IntN(8) == 0 {
			t.readResults(ctx, s, 0) // positions never change
		}
		return false
	})
}

// readResults reads results from a position on at any daemon and compares what is
// known. It returns the number of results there.
func (t *trainer) readResults(ctx context.Context, s *step, after int) (int, bool) {
	daemon := t.randomDaemon()
	known := len(s.results)
	got, a := t.deployment.client.ReadResults(ctx, t.deployment.callerAddresses[daemon], s.job.ID, after, readWait, callTimeout)
	if a.Err != nil || a.Status != http.StatusOK {
		t.result.addFailedRead(s, daemon, a.Status)
		return 0, false
	}
	if got.Total != len(s.job.Items) || got.Next != after+len(got.Results) {
		t.result.Countf(&t.result.ResultsChanged, "%s at %s: total %d, next %d after %d with %d results", s.job.ID, daemonName(daemon), got.Total, got.Next, after, len(got.Results))
	}
	for i, result := range got.Results {
		at := after + i
		if at < known && !sameResult(result, s.results[at]) {
			t.result.Countf(&t.result.ResultsChanged, "%s at %s: position %d was %s and is %s", s.job.ID, daemonName(daemon), at, s.results[at].ID, result.ID)
		}
		if at == len(s.results) {
			s.results = append(s.results, result)
		}
	}
	return len(got.Results), true
}

func sameResult(a, b platform.Result) bool {
	return a.ID == b.ID && a.State == b.State && a.Text == b.Text && slices.Equal(a.Versions, b.Versions)
}

func (s *step) completeGroups() int {
	left := make(map[string]int)
	for _, item := range s.job.Items {
		left[item.Group]++
	}
	whole := 0
	for _, r := range s.results {
		for _, item := range s.job.Items {
			if item.ID != r.ID {
				continue
			}
			if left[item.Group]--; left[item.Group] == 0 {
				whole++
			}
		}
	}
	return whole
}

func (t *trainer) endJob(ctx context.Context, s *step) {
	s.ended = t.retry(ctx, pollInterval, func() bool {
		a := t.deployment.client.EndJob(ctx, t.deployment.callerAddresses[t.randomDaemon()], s.job.ID, callTimeout)
		return a.Err == nil && a.Status == http.StatusOK
	})
	if !s.ended {
		t.result.Errorf("%s could not be ended", s.job.ID)
	}
}

// rereadResults reads every accepted job of the trainer once more at some daemon.
func (t *trainer) rereadResults(ctx context.Context) {
	for _, s := range t.steps {
		if s.acceptedAt.IsZero() {
			continue
		}
		known := len(s.results)
		if n, ok := t.readResults(ctx, s, 0); !ok || n < known {
			t.result.Countf(&t.result.ResultsChanged, "%s can't be read at the end", s.job.ID)
		}
	}
}
