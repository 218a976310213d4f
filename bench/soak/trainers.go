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

// Sizes and times of the trainers' steps.
const (
	trainerCount         = 2
	stepGroups           = 4
	stepGroupSize        = 4  // samples
	stepTokens           = 24 // of each sample
	groupTrainTime       = 250 * time.Millisecond
	stepTrainTime        = stepGroups * groupTrainTime // of a step, without generation; the steps together last at least as long as the load
	trainerFinishTimeout = 30 * time.Second            // after the end of the faults
)

// trainerReport is the last line of the trainer program's output.
type trainerReport struct {
	Due        int `json:"due"`
	Delivered  int `json:"delivered"`
	Duplicated int `json:"duplicated"`
	Stale      int `json:"stale"`
	Wrong      int `json:"wrong"`
	Dropped    int `json:"dropped"`
}

// trainerProcess is a trainer that is restarted after each kill.
type trainerProcess struct {
	deployment *deployment
	name       string
	steps      int
	done       *sync.WaitGroup

	mu             sync.Mutex
	cancelRun      context.CancelFunc // nil while the trainer does not run
	killed         bool
	suspended      bool                     // not restarted while set
	inForceVersion func() api.WeightVersion // returns the version in force; called at each start
	report         trainerReport
	err            error
}

// startTrainers starts the trainers, which run until their last step or the end of
// ctx. done is released when all have ended.
func startTrainers(ctx context.Context, d *deployment, inForceVersion func() api.WeightVersion, duration time.Duration, done *sync.WaitGroup) []*trainerProcess {
	var trainers []*trainerProcess
	for i := range trainerCount {
		t := &trainerProcess{deployment: d, inForceVersion: inForceVersion, name: fmt.Sprintf("trainer-%d", i+1), steps: max(1, int(duration/stepTrainTime)), done: done}
		done.Add(1)
		worker := duty.Start(d.system, duty.Config{Name: t.name, RingSize: 1}, duty.Handler[context.Context](t))
		// Can't fail: the ring has room for the only message.
		_ = worker.Post(ctx)
		trainers = append(trainers, t)
	}
	return trainers
}

// Handle runs the trainer to its end, with a restart after each kill.
func (t *trainerProcess) Handle(_ context.Context, ctx context.Context) {
	defer t.done.Done()
	for t.runOnce(ctx) && duty.Sleep(ctx, supervise.RestartDelay) {
		for t.isSuspended() && duty.Sleep(ctx, retryInterval) {
		}
	}
}

// runOnce runs the trainer until it exits. It reports whether the trainer was killed
// and has to be restarted.
func (t *trainerProcess) runOnce(ctx context.Context) bool {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.cancelRun, t.killed = cancel, false
	t.mu.Unlock()
	out, err := t.deployment.runner.Run(runCtx, t.name, "trainer", t.args()...)
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
		"--deadline", time.Hour.String(), // longer than any soak, which ends the trainer itself
	}
	for _, address := range t.deployment.callerAddresses {
		args = append(args, "--daemons", address)
	}
	return args
}

func (t *trainerProcess) journalFile() string {
	return filepath.Join(t.deployment.runner.OutDir(), t.name+".json")
}

// killRun kills the trainer, which is then restarted. It reports whether the trainer
// was running.
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

// suspend kills the trainer and prevents its restart until resume is called. ok is
// false if the trainer was not running.
func (t *trainerProcess) suspend() (resume func(), ok bool) {
	t.mu.Lock()
	t.suspended = true
	t.mu.Unlock()
	resume = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.suspended = false
	}
	if !t.killRun() {
		resume()
		return nil, false
	}
	return resume, true
}

func (t *trainerProcess) isSuspended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspended
}

// usedSample is a sample in a trainer's journal.
type usedSample struct {
	Step     string              `json:"step"`
	Group    string              `json:"group"`
	Index    int                 `json:"index"`
	Versions []api.WeightVersion `json:"versions"`
}

// samples returns the samples that the trainer used. It ignores an incomplete last
// line of the journal. Errors: a journal that can't be read.
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

// countDropped returns the number of samples that were reported to the trainer as
// dropped for their age. Errors: as samples.
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

// evaluateTrainer compares the samples a trainer got with the journals of the engines.
// Errors: as trainerProcess.samples.
func (r *Result) evaluateTrainer(t *trainerProcess, index *journalIndex) error {
	used, err := t.samples()
	if err != nil {
		return err
	}
	due := t.steps * stepGroups * stepGroupSize
	delivered := make(map[string]int)
	for _, s := range used {
		sample := fmt.Sprintf("%s/%s/%s/%d", t.name, s.Step, s.Group, s.Index)
		delivered[sample]++
		if delivered[sample] > 1 {
			r.SamplesDuplicated++
			r.Errorf("sample %s was delivered %d times", sample, delivered[sample])
		}
		if !index.versionsMatchSample(sample+"/", s.Versions) {
			r.WrongVersions++
			r.Errorf("sample %s reports versions %v, which match none of its requests in the journals", sample, s.Versions)
		}
	}
	r.SamplesDue += due
	r.SamplesDelivered += len(delivered)
	r.SamplesDropped += t.report.Dropped
	r.StaleDelivered += t.report.Stale
	r.WrongResponses += t.report.Wrong
	if t.err != nil {
		r.Errorf("%s got %d of %d samples: %v", t.name, len(delivered), due, t.err)
	}
	return nil
}

// versionsMatchSample reports whether versions agree with the journals for at least one
// request for a sample. The request IDs of the sample begin with prefix.
func (index *journalIndex) versionsMatchSample(prefix string, versions []api.WeightVersion) bool {
	for _, id := range index.bySample[prefix] {
		if !index.wrongVersions(id, versions, stepTokens) {
			return true
		}
	}
	return false
}
