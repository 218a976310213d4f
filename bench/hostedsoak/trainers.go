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
	scoredEvery     = 3                      // every third item has a scorer
	scorePrefix     = "score-"               // of the ids of reward calls
	targetGroups    = 5                      // complete groups after which a step ends
	submitTimeout   = 3 * time.Second        // per submission
	readWait        = 500 * time.Millisecond // for new results in a read; also the interval between submissions
	stepTimeout     = 40 * time.Second       // excludes store faults; far longer than any other fault delays a step
	propagationTime = time.Second            // until every daemon knows an accepted job
)

// step is a trainer's job with its state and the results read so far.
type step struct {
	job            platform.Job
	path           string            // of its route
	acceptedAt     time.Time         // zero: not accepted
	ended          bool              // by endJob
	results        []platform.Result // by position
	promisedNotRun bool              // every submission was rejected with the promise that it won't run
}

// trainer submits one step after another and publishes a new weight version
// after each.
type trainer struct {
	deployment *deployment
	model      string
	rng        *rand.Rand
	result     *Result
	injector   *injector
	steps      []*step
}

// run submits steps until loadCtx ends. The last step is still completed, unless
// ctx ends.
func (t *trainer) run(ctx, loadCtx context.Context) {
	version := 1
	for n := 0; loadCtx.Err() == nil; n++ {
		s := &step{job: platform.Job{
			ID: fmt.Sprintf("%s-%d", t.model, n), Step: n, Model: t.model, MinVersion: max(1, version-1), TargetGroups: targetGroups,
		}, path: t.deployment.operator.jobPath(n)}
		for i := range groupsPerStep * itemsPerGroup {
			id := fmt.Sprintf("%s-%d", s.job.ID, i)
			item := platform.NewItem(id, s.path+"x", t.model, fmt.Sprintf("%s-g%d", s.job.ID, i/itemsPerGroup))
			if i%scoredEvery == 0 {
				item.Scorer = &platform.Scorer{ID: scorePrefix + id, Host: host, Path: safePath + "score", Body: []byte(id)}
			}
			s.job.Items = append(s.job.Items, item)
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

// submitJob submits the job until it is accepted and reports whether it was.
func (t *trainer) submitJob(ctx context.Context, s *step) bool {
	s.promisedNotRun = true
	return t.retry(ctx, readWait, func() bool {
		response := t.deployment.clientWith(trainerKey).SubmitJob(ctx, t.deployment.callerAddresses[t.randomDaemon()], s.path, submitTimeout, s.job)
		s.promisedNotRun = s.promisedNotRun && response.Err == nil && response.PromisesNotRun()
		if response.Err != nil || response.Status != http.StatusAccepted {
			return false
		}
		s.acceptedAt = time.Now()
		return true
	})
}

// retry calls f at the given interval until it succeeds or stepTimeout has passed
// without store faults. It reports whether f succeeded.
func (t *trainer) retry(ctx context.Context, interval time.Duration, f func() bool) bool {
	begin := time.Now()
	for ctx.Err() == nil && t.injector.storeUptime(begin) < stepTimeout {
		if f() {
			return true
		}
		duty.Sleep(ctx, interval)
	}
	return false
}

// awaitGroups reads results until targetGroups groups are complete.
func (t *trainer) awaitGroups(ctx context.Context, s *step) bool {
	return t.retry(ctx, pollInterval, func() bool {
		if _, ok := t.readResults(ctx, s, len(s.results)); ok && s.completeGroups() >= targetGroups {
			return true
		}
		if t.rng.IntN(8) == 0 {
			t.readResults(ctx, s, 0) // reread to check that results keep their positions
			t.readAsOther(ctx, s, t.randomDaemon())
		}
		return false
	})
}

// readResults reads the results after a position from a random daemon, compares
// them with those already known and appends new ones. It returns the number of
// results read and whether the read succeeded.
func (t *trainer) readResults(ctx context.Context, s *step, after int) (int, bool) {
	daemon := t.randomDaemon()
	known := len(s.results)
	page, response := t.deployment.clientWith(readerKey).ReadResults(ctx, t.deployment.callerAddresses[daemon], s.job.ID, after, readWait, callTimeout)
	if response.Err != nil || response.Status != http.StatusOK {
		t.result.addFailedRead(s, daemon, response.Status)
		return 0, false
	}
	if page.Total != len(s.job.Items) || page.Next != after+len(page.Results) {
		t.result.Countf(&t.result.ResultsChanged, "%s at %s: total %d, next %d after %d with %d results", s.job.ID, daemonName(daemon), page.Total, page.Next, after, len(page.Results))
	}
	for i, result := range page.Results {
		position := after + i
		if position < known && !sameResult(result, s.results[position]) {
			t.result.Countf(&t.result.ResultsChanged, "%s at %s: position %d was %s and is %s", s.job.ID, daemonName(daemon), position, s.results[position].ID, result.ID)
		}
		if position == len(s.results) {
			s.results = append(s.results, result)
		}
	}
	return len(page.Results), true
}

func sameResult(a, b platform.Result) bool {
	return a.ID == b.ID && a.State == b.State && a.Text == b.Text && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// completeGroups returns the number of groups whose results are all known.
func (s *step) completeGroups() int {
	remaining := make(map[string]int)
	for _, item := range s.job.Items {
		remaining[item.Group]++
	}
	complete := 0
	for _, r := range s.results {
		for _, item := range s.job.Items {
			if item.ID != r.ID {
				continue
			}
			if remaining[item.Group]--; remaining[item.Group] == 0 {
				complete++
			}
		}
	}
	return complete
}

// endJob ends a step's job, so that its remaining items needn't run.
func (t *trainer) endJob(ctx context.Context, s *step) {
	s.ended = t.retry(ctx, pollInterval, func() bool {
		response := t.deployment.clientWith(readerKey).EndJob(ctx, t.deployment.callerAddresses[t.randomDaemon()], s.job.ID, callTimeout)
		return response.Err == nil && response.Status == http.StatusOK
	})
	if !s.ended {
		t.result.Errorf("%s: ending the job failed", s.job.ID)
	}
}

// rereadResults reads the results of every accepted job again from a random
// daemon.
func (t *trainer) rereadResults(ctx context.Context) {
	for _, s := range t.steps {
		if s.acceptedAt.IsZero() {
			continue
		}
		known := len(s.results)
		if n, ok := t.readResults(ctx, s, 0); !ok || n < known {
			t.result.Countf(&t.result.ResultsChanged, "%s: final read of the results failed or was incomplete", s.job.ID)
		}
	}
}
