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

// endlessSteps is more than any trainer does in a phase.
const endlessSteps = 100_000

// TrainerResult is what one trainer got in one phase.
type TrainerResult struct {
	Name        string  `json:"name"`
	Seconds     float64 `json:"seconds"`
	IdlePart    float64 `json:"idle_part"` // of its time spent waiting for samples
	Samples     int     `json:"samples"`
	StepSeconds float64 `json:"step_seconds"` // mean time of a step; zero: none was done
	Dropped     int     `json:"dropped"`      // too old, and made again
	Duplicated  int     `json:"duplicated"`
	// Staleness[n] is the number of samples that were n versions behind the
	// newest that the trainer had seen.
	Staleness []int  `json:"staleness"`
	Bound     uint64 `json:"bound"` // versions
	Failed    string `json:"failed,omitempty"`
}

// startTrainers runs the trainer program for each trainer for the phase's time.
func (p *phase) startTrainers(ctx context.Context, system *duty.System) []<-chan TrainerResult {
	var all []<-chan TrainerResult
	if p.variant.NoTrainers || p.variant.Direct {
		return nil
	}
	for _, t := range p.exp.Trainers {
		result := make(chan TrainerResult, 1)
		launch(ctx, system, t.Name, func(ctx context.Context) error {
			result <- p.train(ctx, &t)
			return nil
		})
		all = append(all, result)
	}
	return all
}

// trainerReport is the last line of the trainer program.
type trainerReport struct {
	Delivered  int   `json:"delivered"`
	Duplicated int   `json:"duplicated"`
	Dropped    int   `json:"dropped"`
	IdleMillis int64 `json:"idle_ms"`
}

func (p *phase) train(ctx context.Context, t *Trainer) TrainerResult {
	r := TrainerResult{Name: t.Name, Bound: t.StalenessBound}
	journal := filepath.Join(p.deployment.runner.OutDir(), t.Name+".jsonl")
	began := time.Now()
	// The program ends with a failure at its deadline; its report tells more.
	out, _ := p.deployment.runner.Run(ctx, t.Name, "trainer", p.trainerArgs(t, journal)...)
	r.Seconds = time.Since(began).Seconds()
	var report trainerReport
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	if err := json.Unmarshal(lines[len(lines)-1], &report); err != nil {
		r.Failed = err.Error()
		return r
	}
	r.Samples, r.Dropped, r.Duplicated = report.Delivered, report.Dropped, report.Duplicated
	r.IdlePart = float64(report.IdleMillis) / 1000 / r.Seconds
	if steps := float64(r.Samples) / float64(t.Groups*t.Samples); steps > 0 {
		r.StepSeconds = r.Seconds / steps
	}
	var err error
	if r.Staleness, err = staleness(journal); err != nil {
		r.Failed = err.Error()
	}
	return r
}

func (p *phase) trainerArgs(t *Trainer, journal string) []string {
	args := []string{
		"--trainer", t.Name, "--customer", t.Name, "--model", string(model), "--file", journal,
		"--steps", itoa(endlessSteps), "--groups", itoa(t.Groups), "--samples", itoa(t.Samples),
		"--max-tokens", itoa(t.MaxTokens), "--train", t.Train.String(), "--bound", itoa(int(t.StalenessBound)),
		"--deadline", (p.exp.Warmup + p.exp.Duration).String(),
	}
	for _, d := range p.deployment.daemons {
		args = append(args, "--daemons", d.Address)
	}
	return args
}

// staleness reads how old each used sample was when it came. Errors: CodeInternal.
func staleness(journal string) ([]int, error) {
	file, err := os.Open(journal)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "trainer's journal: %w", err)
	}
	defer func() { _ = file.Close() }()
	var counts []int
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxJournalLine)
	for lines.Scan() {
		var e struct {
			Seen api.WeightVersion `json:"seen"`
			Used []struct {
				Versions []api.WeightVersion `json:"versions"`
			} `json:"used"`
		}
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, api.Errorf(api.CodeInternal, "trainer's journal: %w", err)
		}
		for _, u := range e.Used {
			if len(u.Versions) > 0 {
				counts = countAt(counts, int(e.Seen-slices.Min(u.Versions)))
			}
		}
	}
	return counts, lines.Err()
}

// maxJournalLine bounds one line, in bytes.
const maxJournalLine = 16 << 20

func countAt(counts []int, i int) []int {
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	return counts
}
