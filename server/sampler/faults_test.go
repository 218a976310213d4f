package sampler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/sampler"
	"gotest.tools/v3/assert"
)

// faultyDeployment injects faults, drawn from a seed, into jobs and appends.
type faultyDeployment struct {
	*fakeDeployment
	mu            sync.Mutex
	random        *rand.Rand
	faultsEnabled bool
	versions      map[string]api.WeightVersion // of each sample, by its text
	counts        map[string]int
}

// injectFault reports whether to inject a fault of this kind now, with probability
// 1/oneIn, and counts it.
func (d *faultyDeployment) injectFault(kind string, oneIn int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.faultsEnabled || d.random.IntN(oneIn) > 0 {
		return false
	}
	d.counts[kind]++
	return true
}

func (d *faultyDeployment) Submit(j *work.Job) error {
	if d.injectFault("refused", 5) {
		return api.Errorf(api.CodeShed, "full")
	}
	if d.injectFault("crash", 5) {
		j.Sink.Finish(work.Result{Outcome: api.OutcomeFailed, Err: api.Errorf(api.CodeUpstreamFailed, "crash")})
		return nil
	}
	if d.injectFault("lost job", 10) {
		return nil // never finishes; a hedge or a takeover replaces it
	}
	version := d.WeightInForce("")
	d.mu.Lock()
	d.versions[string(j.ID)] = version
	d.mu.Unlock()
	finish(j, version)
	return nil
}

func (d *faultyDeployment) versionOf(text string) api.WeightVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions[text]
}

func (d *faultyDeployment) Cancel(api.RequestID) {}

// faultyAppender fails appends, loses their results and duplicates them.
type faultyAppender struct {
	log        *fakeLog
	deployment *faultyDeployment
}

func (a faultyAppender) Append(stream string, r eventlog.Record, _ time.Time, done func(error)) error {
	records := []eventlog.Record{r}
	if a.deployment.injectFault("log unavailable", 6) {
		done(&eventlog.UnavailableError{Op: "append"})
		return nil
	}
	if a.deployment.injectFault("append repeated", 6) {
		records = append(records, r)
	}
	_, err := a.log.Append(context.Background(), stream, records)
	if err == nil && a.deployment.injectFault("append result lost", 6) {
		err = &eventlog.AmbiguousError{}
	}
	done(err)
	return nil
}

func startFaulty(t *testing.T, id api.DaemonID, l *fakeLog, d *faultyDeployment) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.Tick = time.Millisecond
	cfg.ReadBackoff = time.Millisecond
	cfg.Planner.BackoffMin = time.Millisecond
	cfg.Planner.HedgeAfter = 5 * time.Millisecond
	cfg.Planner.TakeOverAfter = 30 * time.Millisecond
	deps := sampler.Deps{
		Log: l, Appender: faultyAppender{l, d}, Catalog: d, Members: d, Submitter: d, Now: time.Now,
	}
	s := sampler.Start(duty.NewSystem(nil), cfg, deps)
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

// Under job, append and pull faults, replaced daemons and new weights, samples are
// delivered exactly once and within the staleness bound.
func TestExactlyOnceUnderFaults(t *testing.T) {
	invariant.OnViolation(func(v *invariant.Violation) { panic(v) })
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { testUnderFaults(t, seed) })
	}
}

func testUnderFaults(t *testing.T, seed uint64) {
	const steps, groups, n = 4, 4, 3
	dep := &faultyDeployment{
		fakeDeployment: newDeployment(), random: rand.New(rand.NewPCG(seed, 1)), faultsEnabled: true,
		versions: map[string]api.WeightVersion{}, counts: map[string]int{},
	}
	l := newLog()
	daemons := []*sampler.Sampler{startFaulty(t, "a", l, dep), startFaulty(t, "b", l, dep), startFaulty(t, "c", l, dep)}
	tr := newTrainer()
	random := rand.New(rand.NewPCG(seed, 2))
	for opened, pulls := 0, 0; len(tr.received) < steps*groups*n; pulls++ {
		assert.NilError(t, t.Context().Err())
		if pulls == 150 {
			dep.mu.Lock()
			dep.faultsEnabled = false
			dep.mu.Unlock()
		}
		d := random.IntN(len(daemons))
		if pulls%20 == 10 { // replace a daemon by one without state
			assert.NilError(t, daemons[d].Stop(t.Context()))
			daemons[d] = startFaulty(t, api.DaemonID(fmt.Sprint("n", pulls)), l, dep)
		}
		if dep.injectFault("new weights", 8) {
			dep.set(func() { dep.version += 2 })
		}
		if opened < steps {
			if daemons[d].OpenStep(t.Context(), "t1", step(samples.StepID(fmt.Sprint("s", opened)), groups, n)) == nil {
				opened++
			}
		}
		before := dep.WeightInForce("")
		res, err := tr.nextPull(t, daemons[d])
		if err != nil || dep.injectFault("lost pull result", 4) {
			continue
		}
		tr.accept(t, res)
		for _, g := range res.Groups {
			for _, s := range g.Samples {
				assert.DeepEqual(t, s.Versions, []api.WeightVersion{dep.versionOf(s.Text)})
				assert.Assert(t, s.Versions[0]+1 >= before, "older than the staleness bound")
			}
		}
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	t.Log(dep.counts)
}

// BenchmarkStep runs complete steps of 4,096 samples whose jobs finish at once.
func BenchmarkStep(b *testing.B) {
	l, dep := newLog(), newDeployment()
	cfg := sampler.DefaultConfig("a")
	s := sampler.Start(duty.NewSystem(nil), cfg, sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: dep, Members: dep, Submitter: submitter{dep}, Now: time.Now,
	})
	var pull uint64
	var cursor api.Offset
	for i := 0; b.Loop(); i++ {
		if err := s.OpenStep(b.Context(), "t1", step(samples.StepID(fmt.Sprint(i)), 512, 8)); err != nil {
			b.Fatal(err)
		}
		for completed := 0; completed == 0; {
			pull++
			res, err := s.Pull(b.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: pull, Cursor: cursor, Wait: time.Second})
			if err != nil {
				b.Fatal(err)
			}
			cursor, completed = res.NextOffset, len(res.CompletedSteps)
		}
	}
	if err := s.Stop(b.Context()); err != nil {
		b.Fatal(err)
	}
}
