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
	stepGroups   = 6
	groupItems   = 2
	targetGroups = 5
	submitLimit  = 3 * time.Second
	readWait     = 500 * time.Millisecond
	stepLimit    = 40 * time.Second // with the store serving; far over what any other fault takes away
	settle       = time.Second      // until an accepted job or a position read is known to every daemon
)

// step is a job of a trainer with all that it was told of it.
type step struct {
	job      platform.Job
	accepted time.Time // zero: never
	ended    bool
	listed   []platform.Result
	refused  bool // every attempt was promised not to run
}

// trainer asks for one step after the other and names the next version after each.
type trainer struct {
	d     *deployment
	model string
	rng   *rand.Rand
	r     *Result
	j     *injector
	steps []*step
}

// run trains until loaded ends; the last step is read to its end, unless ctx ends.
func (t *trainer) run(ctx, loaded context.Context) {
	version := 1
	for n := 0; loaded.Err() == nil; n++ {
		s := &step{job: platform.Job{
			ID: fmt.Sprintf("%s-%d", t.model, n), Step: n, Model: t.model, MinVersion: max(1, version-1), TargetGroups: targetGroups,
		}}
		for i := range stepGroups * groupItems {
			id := fmt.Sprintf("%s-%d", s.job.ID, i)
			s.job.Items = append(s.job.Items, platform.NewItem(id, batchPath+"x", t.model, fmt.Sprintf("%s-g%d", s.job.ID, i/groupItems)))
		}
		t.steps = append(t.steps, s)
		if !t.submit(ctx, s) || !t.await(ctx, s) {
			t.r.stuck(s)
			continue
		}
		t.end(ctx, s)
		version++
		t.d.store.NameVersion(t.model, version)
	}
}

func (t *trainer) daemon() int { return t.rng.IntN(daemonCount) }

// submit hands the job in until it is accepted.
func (t *trainer) submit(ctx context.Context, s *step) bool {
	s.refused = true
	return t.try(ctx, readWait, func() bool {
		a := t.d.client.Submit(ctx, t.d.callers[t.daemon()], batchPath, submitLimit, s.job)
		s.refused = s.refused && a.Err == nil && a.NotRun()
		if a.Err != nil || a.Status != http.StatusAccepted {
			return false
		}
		s.accepted = time.Now()
		return true
	})
}

// try calls f until it succeeds or the time of a step is over.
func (t *trainer) try(ctx context.Context, every time.Duration, f func() bool) bool {
	begin := time.Now()
	for ctx.Err() == nil && t.j.served(begin) < stepLimit {
		if f() {
			return true
		}
		duty.Sleep(ctx, every)
	}
	return false
}

// await reads results until enough groups are whole.
func (t *trainer) await(ctx context.Context, s *step) bool {
	return t.try(ctx, pollEvery, func() bool {
		if _, ok := t.read(ctx, s, len(s.listed)); ok && s.wholeGroups() >= targetGroups {
			return true
		}
		if t.rng.IntN(8) == 0 {
			t.read(ctx, s, 0) // positions never change
		}
		return false
	})
}

// read reads results from a position on at any daemon and compares what is
// known. It returns the number of results there.
func (t *trainer) read(ctx context.Context, s *step, after int) (int, bool) {
	daemon := t.daemon()
	known := len(s.listed)
	got, a := t.d.client.Results(ctx, t.d.callers[daemon], s.job.ID, after, readWait, callLimit)
	if a.Err != nil || a.Status != http.StatusOK {
		t.r.unread(s, daemon, a.Status)
		return 0, false
	}
	if got.Total != len(s.job.Items) || got.Next != after+len(got.Results) {
		t.r.Count(&t.r.ResultsChanged, "%s at %s: total %d, next %d after %d with %d results", s.job.ID, daemonName(daemon), got.Total, got.Next, after, len(got.Results))
	}
	for i, result := range got.Results {
		at := after + i
		if at < known && !same(result, s.listed[at]) {
			t.r.Count(&t.r.ResultsChanged, "%s at %s: position %d was %s and is %s", s.job.ID, daemonName(daemon), at, s.listed[at].ID, result.ID)
		}
		if at == len(s.listed) {
			s.listed = append(s.listed, result)
		}
	}
	return len(got.Results), true
}

func same(a, b platform.Result) bool {
	return a.ID == b.ID && a.State == b.State && a.Text == b.Text && slices.Equal(a.Versions, b.Versions)
}

func (s *step) wholeGroups() int {
	left := make(map[string]int)
	for _, item := range s.job.Items {
		left[item.Group]++
	}
	whole := 0
	for _, r := range s.listed {
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

func (t *trainer) end(ctx context.Context, s *step) {
	s.ended = t.try(ctx, pollEvery, func() bool {
		a := t.d.client.End(ctx, t.d.callers[t.daemon()], s.job.ID, callLimit)
		return a.Err == nil && a.Status == http.StatusOK
	})
	if !s.ended {
		t.r.Note("%s could not be ended", s.job.ID)
	}
}

// readAgain reads every accepted job of the trainer once more at some daemon.
func (t *trainer) readAgain(ctx context.Context) {
	for _, s := range t.steps {
		if s.accepted.IsZero() {
			continue
		}
		known := len(s.listed)
		if n, ok := t.read(ctx, s, 0); !ok || n < known {
			t.r.Count(&t.r.ResultsChanged, "%s can't be read at the end", s.job.ID)
		}
	}
}
