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

// faultyWorld runs jobs and appends with faults drawn from a seed.
type faultyWorld struct {
	*fakeWorld
	mu     sync.Mutex
	random *rand.Rand
	faults bool
	made   map[string]api.WeightVersion
	counts map[string]int
}

// roll reports whether a fault of this kind happens now.
func (w *faultyWorld) roll(kind string, oneIn int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.faults || w.random.IntN(oneIn) > 0 {
		return false
	}
	w.counts[kind]++
	return true
}

func (w *faultyWorld) Submit(j *work.Job) error {
	if w.roll("refused", 5) {
		return api.Errorf(api.CodeShed, "full")
	}
	if w.roll("crash", 5) {
		j.Sink.Finish(work.Result{Outcome: api.OutcomeFailed, Err: api.Errorf(api.CodeUpstreamFailed, "crash")})
		return nil
	}
	if w.roll("lost job", 10) {
		return nil // never ends; the hedge or the take-over has to help
	}
	version := w.WeightInForce("")
	w.mu.Lock()
	w.made[string(j.ID)] = version
	w.mu.Unlock()
	finish(j, version)
	return nil
}

func (w *faultyWorld) madeBy(text string) api.WeightVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.made[text]
}

func (w *faultyWorld) Cancel(api.RequestID) {}

// faultyAppender loses appends, answers of appends, and repeats appends.
type faultyAppender struct {
	log   *fakeLog
	world *faultyWorld
}

func (a faultyAppender) Append(stream string, r eventlog.Record, _ time.Time, done func(error)) error {
	records := []eventlog.Record{r}
	if a.world.roll("log unavailable", 6) {
		done(&eventlog.UnavailableError{Op: "append"})
		return nil
	}
	if a.world.roll("append repeated", 6) {
		records = append(records, r)
	}
	_, err := a.log.Append(context.Background(), stream, records)
	if err == nil && a.world.roll("append answer lost", 6) {
		err = &eventlog.AmbiguousError{}
	}
	done(err)
	return nil
}

func startFaulty(t *testing.T, id api.DaemonID, l *fakeLog, w *faultyWorld) *sampler.Sampler {
	cfg := sampler.DefaultConfig(id)
	cfg.Tick = time.Millisecond
	cfg.ReadBackoff = time.Millisecond
	cfg.Planner.BackoffMin = time.Millisecond
	cfg.Planner.HedgeAfter = 5 * time.Millisecond
	cfg.Planner.TakeOverAfter = 30 * time.Millisecond
	deps := sampler.Deps{
		Log: l, Appender: faultyAppender{l, w}, Catalog: w, Members: w, Submitter: w, Now: time.Now,
	}
	s := sampler.Start(duty.NewSystem(nil), cfg, deps)
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s
}

func TestExactlyOnceUnderFaults(t *testing.T) {
	invariant.OnViolation(func(v *invariant.Violation) { panic(v) })
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { underFaults(t, seed) })
	}
}

func underFaults(t *testing.T, seed uint64) {
	const steps, groups, n = 4, 4, 3
	w := &faultyWorld{
		fakeWorld: newWorld(), random: rand.New(rand.NewPCG(seed, 1)), faults: true,
		made: map[string]api.WeightVersion{}, counts: map[string]int{},
	}
	l := newLog()
	daemons := []*sampler.Sampler{startFaulty(t, "a", l, w), startFaulty(t, "b", l, w), startFaulty(t, "c", l, w)}
	tr := newTrainer()
	random := rand.New(rand.NewPCG(seed, 2))
	for opened, asks := 0, 0; len(tr.used) < steps*groups*n; asks++ {
		assert.NilError(t, t.Context().Err())
		if asks == 150 {
			w.mu.Lock()
			w.faults = false
			w.mu.Unlock()
		}
		d := random.IntN(len(daemons))
		if asks%20 == 10 { // a daemon is replaced by one that knows nothing
			assert.NilError(t, daemons[d].Stop(t.Context()))
			daemons[d] = startFaulty(t, api.DaemonID(fmt.Sprint("n", asks)), l, w)
		}
		if w.roll("new weights", 8) {
			w.set(func() { w.version += 2 })
		}
		if opened < steps {
			if daemons[d].OpenStep(t.Context(), "t1", step(samples.StepID(fmt.Sprint("s", opened)), groups, n)) == nil {
				opened++
			}
		}
		before := w.WeightInForce("")
		a, err := tr.ask(t, daemons[d])
		if err != nil || w.roll("lost answer", 4) {
			continue
		}
		tr.take(t, a)
		for _, g := range a.Groups {
			for _, s := range g.Samples {
				assert.DeepEqual(t, s.Versions, []api.WeightVersion{w.madeBy(s.Text)})
				assert.Assert(t, s.Versions[0]+1 >= before, "older than the bound")
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Log(w.counts)
}

// BenchmarkStep runs whole steps of 4,096 samples whose jobs end at once.
func BenchmarkStep(b *testing.B) {
	l, w := newLog(), newWorld()
	cfg := sampler.DefaultConfig("a")
	s := sampler.Start(duty.NewSystem(nil), cfg, sampler.Deps{
		Log: l, Appender: fakeAppender{l}, Catalog: w, Members: w, Submitter: submitter{w}, Now: time.Now,
	})
	var pull uint64
	var cursor api.Offset
	for i := 0; b.Loop(); i++ {
		if err := s.OpenStep(b.Context(), "t1", step(samples.StepID(fmt.Sprint(i)), 512, 8)); err != nil {
			b.Fatal(err)
		}
		for whole := 0; whole == 0; {
			pull++
			a, err := s.Pull(b.Context(), sampler.PullRequest{Trainer: "t1", PullNumber: pull, Cursor: cursor, Wait: time.Second})
			if err != nil {
				b.Fatal(err)
			}
			cursor, whole = a.NextOffset, len(a.CompletedSteps)
		}
	}
	if err := s.Stop(b.Context()); err != nil {
		b.Fatal(err)
	}
}
