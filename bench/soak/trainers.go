package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
)

// The trainers' steps.
const (
	trainerCount         = 2
	stepGroups           = 4
	stepGroupSize        = 4  // samples
	stepTokens           = 24 // of each sample
	groupTrainTime       = 250 * time.Millisecond
	stepTrainTime        = stepGroups * groupTrainTime // steps last at least as long as the load
	trainerFinishTimeout = 30 * time.Second            // for what is left when the faults are over
)

// trainerReport is the last line of the trainer program.
type trainerReport struct {
	Due        int `json:"due"`
	Delivered  int `json:"delivered"`
	Duplicated int `json:"duplicated"`
	Stale      int `json:"stale"`
	Wrong      int `json:"wrong"`
	Dropped    int `json:"dropped"`
}

// trainerProcess is a trainer that is started again after each kill.
type trainerProcess struct {
	deployment *deployment
	name       string
	steps      int
	done       *sync.WaitGroup

	mu             sync.Mutex
	cancelRun      context.CancelFunc // nil while it does not run
	killed         bool
	suspended      bool                     // it is not started again for now
	inForceVersion func() api.WeightVersion // in force when it starts
	report         trainerReport
	err            error
}

// startTrainers starts them until ctx ends; done tells when all have ended.
func startTrainers(ctx context.Context, d *deployment, known func() api.WeightVersion, duration time.Duration, done *sync.WaitGroup) []*trainerProcess {
	var out []*trainerProcess
	for i := range trainerCount {
		t := &trainerProcess{deployment: d, inForceVersion: known, name: fmt.Sprintf("trainer-%d", i+1), steps: max(1, int(duration/stepTrainTime)), done: done}
		done.Add(1)
		worker := duty.Start(d.system, duty.Config{Name: t.name, RingSize: 1}, duty.Handler[context.Context](t))
		// An empty ring of one entry takes the only message.
		_ = worker.Post(ctx)
		out = append(out, t)
	}
	return out
}

// Handle runs the trainer to its end, over all kills.
func (t *trainerProcess) Handle(_ context.Context, ctx context.Context) {
	defer t.done.Done()
	for t.runOnce(ctx) && duty.Sleep(ctx, supervise.RestartDelay) {
		for t.isSuspended() && duty.Sleep(ctx, retryInterval) {
		}
	}
}

// runOnce reports whether the trainer was killed and has to go on.
func (t *trainerProcess) runOnce(ctx context.Context) bool {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.cancelRun, t.killed = cancel, false
	t.mu.Unlock()
	out, err := t.deployment.runner.Run(running, t.name, "trainer", t.args()...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelRun = nil
	if t.killed && err != nil && ctx.Err() == nil {
		return true
	}
	t.err = err
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	if decodeErr := json.Unmarshal(lines[len(lines)-1], &t.report); decodeErr != nil && err == nil {
		t.err = fmt.Errorf("last line of %s: %w", t.name, decodeErr)
	}
	return false
}

func (t *trainerProcess) args() []string {
	args := []string{
		"--trainer", t.name, "--customer", string(trainer), "--model", string(model),
		"--file", t.journalFile(), "--verify",
		"--steps", fmt.Sprint(t.steps), "--groups", fmt.Sprint(stepGroups),
		"--samples", fmt.Sprint(stepGroupSize), "--max-tokens", fmt.Sprint(stepTokens),
		"--bound", fmt.Sprint(stalenessBound), "--train", groupTrainTime.String(),
		"--known", fmt.Sprint(t.inForceVersion()),
		"--deadline", time.Hour.String(), // the soak ends it
	}
	for _, address := range t.deployment.callerAddresses {
		args = append(args, "--daemons", address)
	}
	return args
}

func (t *trainerProcess) journalFile() string {
	return filepath.Join(t.deployment.runner.OutDir(), t.name+".json")
}

// killRun kills the trainer, which goes on after that. It reports whether it ran.
func (t *trainerProcess) killRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelRun == nil {
		return false
	}
	t.killed = true
	t.cancelRun()
	return true
}

// suspend kills the trainer and keeps it away until back is called. ok is false
// when it did not run.
func (t *trainerProcess) suspend() (back func(), ok bool) {
	t.mu.Lock()
	t.suspended = true
	t.mu.Unlock()
	back = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.suspended = false
	}
	if !t.killRun() {
		back()
		return nil, false
	}
	return back, true
}

func (t *trainerProcess) isSuspended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspended
}

// usedSample is one sample in a trainer's journal.
type usedSample struct {
	Step     string              `json:"step"`
	Group    string              `json:"group"`
	Index    int                 `json:"index"`
	Versions []api.WeightVersion `json:"versions"`
}

// samples returns those that the trainer used. Errors: a journal that can't be
// read; a torn last line is left out.
func (t *trainerProcess) samples() ([]usedSample, error) {
	data, err := os.ReadFile(t.journalFile())
	if err != nil {
		return nil, fmt.Errorf("journal of %s: %w", t.name, err)
	}
	var all []usedSample
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Used []usedSample `json:"used"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			break
		}
		all = append(all, entry.Used...)
	}
	return all, nil
}

// countDropped counts the samples that the trainer was told were too old. Errors: as samples.
func (t *trainerProcess) countDropped() (int, error) {
	data, err := os.ReadFile(t.journalFile())
	if err != nil {
		return 0, fmt.Errorf("journal of %s: %w", t.name, err)
	}
	n := 0
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Drops []json.RawMessage `json:"drops"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			break
		}
		n += len(entry.Drops)
	}
	return n, nil
}

// evaluateTrainer compares what a trainer got with what the journals show.
func (r *Result) evaluateTrainer(t *trainerProcess, e *journalIndex) error {
	used, err := t.samples()
	if err != nil {
		return err
	}
	due := t.steps * stepGroups * stepGroupSize
	seen := make(map[string]int)
	for _, s := range used {
		slot := fmt.Sprintf("%s/%s/%s/%d", t.name, s.Step, s.Group, s.Index)
		seen[slot]++
		if seen[slot] > 1 {
			r.SamplesDuplicated++
			r.Errorf("sample %s came %d times", slot, seen[slot])
		}
		if !e.canBeMadeBy(slot+"/", s.Versions) {
			r.WrongVersions++
			r.Errorf("sample %s names versions %v; no request of its slot was made by them", slot, s.Versions)
		}
	}
	r.SamplesDue += due
	r.SamplesDelivered += len(seen)
	r.SamplesDropped += t.report.Dropped
	r.StaleDelivered += t.report.Stale
	r.AnswersForeignOrPartial += t.report.Wrong
	if t.err != nil {
		r.Errorf("%s: %d of %d samples: %v", t.name, len(seen), due, t.err)
	}
	return nil
}

// canBeMadeBy reports whether one of a slot's requests can have been made by versions.
func (e *journalIndex) canBeMadeBy(prefix string, versions []api.WeightVersion) bool {
	for _, id := range e.bySample[prefix] {
		if !e.wrongVersions(id, versions, stepTokens) {
			return true
		}
	}
	return false
}
