package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
)

// unlimitedSteps is a number of steps that no trainer reaches in a phase.
const unlimitedSteps = 100_000

// TrainerResult holds the results of one trainer in one phase.
type TrainerResult struct {
	Name         string  `json:"name"`
	Seconds      float64 `json:"seconds"`
	IdleFraction float64 `json:"idle_part"` // fraction of the time spent waiting for samples
	Samples      int     `json:"samples"`
	StepSeconds  float64 `json:"step_seconds"` // mean duration of a step; zero: no samples
	Dropped      int     `json:"dropped"`      // too stale, and generated again
	Duplicated   int     `json:"duplicated"`
	// Staleness[n] is the number of samples that were n versions behind the
	// newest version known to the trainer.
	Staleness      []int  `json:"staleness"`
	StalenessBound uint64 `json:"bound"` // versions
	Failure        string `json:"failed,omitempty"`
}

// startTrainers runs the trainer program for each trainer until the phase ends.
// The channels receive the results.
func (p *phase) startTrainers(ctx context.Context, system *duty.System) []<-chan TrainerResult {
	var all []<-chan TrainerResult
	if p.variant.NoTrainers || p.variant.Direct {
		return nil
	}
	for _, t := range p.experiment.Trainers {
		result := make(chan TrainerResult, 1)
		startTask(ctx, system, t.Name, func(ctx context.Context) error {
			result <- p.runTrainer(ctx, &t)
			return nil
		})
		all = append(all, result)
	}
	return all
}

// trainerReport is the last line of the trainer program's output.
type trainerReport struct {
	Delivered  int   `json:"delivered"`
	Duplicated int   `json:"duplicated"`
	Dropped    int   `json:"dropped"`
	IdleMillis int64 `json:"idle_ms"`
}

func (p *phase) runTrainer(ctx context.Context, t *Trainer) TrainerResult {
	r := TrainerResult{Name: t.Name, StalenessBound: t.StalenessBound}
	journal := filepath.Join(p.deployment.runner.OutDir(), t.Name+".jsonl")
	start := time.Now()
	// The program always fails, at its deadline; its report shows whether it worked.
	out, _ := p.deployment.runner.Run(ctx, t.Name, "trainer", p.trainerArgs(t, journal)...)
	r.Seconds = time.Since(start).Seconds()
	var report trainerReport
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	if err := json.Unmarshal(lines[len(lines)-1], &report); err != nil {
		r.Failure = err.Error()
		return r
	}
	r.Samples, r.Dropped, r.Duplicated = report.Delivered, report.Dropped, report.Duplicated
	r.IdleFraction = float64(report.IdleMillis) / 1000 / r.Seconds
	if steps := float64(r.Samples) / float64(t.GroupsPerStep*t.SamplesPerGroup); steps > 0 {
		r.StepSeconds = r.Seconds / steps
	}
	var err error
	if r.Staleness, err = readStaleness(journal); err != nil {
		r.Failure = err.Error()
	}
	return r
}

func (p *phase) trainerArgs(t *Trainer, journal string) []string {
	args := []string{
		"--trainer", t.Name, "--customer", t.Name, "--model", string(model), "--file", journal,
		"--steps", itoa(unlimitedSteps), "--groups", itoa(t.GroupsPerStep), "--samples", itoa(t.SamplesPerGroup),
		"--max-tokens", itoa(t.MaxTokens), "--train", t.TrainTime.String(), "--bound", itoa(int(t.StalenessBound)),
		"--deadline", (p.experiment.Warmup + p.experiment.Duration).String(),
	}
	for _, d := range p.deployment.daemons {
		args = append(args, "--daemons", d.Address)
	}
	return args
}

// readStaleness counts the used samples of a journal by staleness. Errors:
// CodeInternal, and those of the scanner.
func readStaleness(journal string) ([]int, error) {
	file, err := os.Open(journal)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "trainer's journal: %w", err)
	}
	defer func() { _ = file.Close() }()
	var counts []int
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxJournalLineBytes)
	for lines.Scan() {
		var entry struct {
			Seen api.WeightVersion `json:"seen"`
			Used []struct {
				Versions []api.WeightVersion `json:"versions"`
			} `json:"used"`
		}
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, api.Errorf(api.CodeInternal, "trainer's journal: %w", err)
		}
		for _, sample := range entry.Used {
			if len(sample.Versions) > 0 {
				counts = incrementAt(counts, int(entry.Seen-slices.Min(sample.Versions)))
			}
		}
	}
	return counts, lines.Err()
}

// maxJournalLineBytes is the maximum length of a journal line.
const maxJournalLineBytes = 16 << 20

// incrementAt increments counts[i], extending the slice if necessary.
func incrementAt(counts []int, i int) []int {
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	return counts
}
