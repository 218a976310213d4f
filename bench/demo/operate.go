package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"dotterelmount.example/api"
)

// waitTimeout limits how long a command of the command-line tool waits.
const waitTimeout = 10 * time.Second

// operator runs the command-line tool against the deployment.
type operator struct {
	deployment *deployment
	calls      int // number of commands run so far
}

// run runs a command and decodes its JSON output into result unless it is nil.
func (o *operator) run(ctx context.Context, result any, command ...string) error {
	o.calls++
	args := []string{"--output", "json", "--operator", "demo", "--timeout", waitTimeout.String()}
	for _, d := range o.deployment.daemons {
		args = append(args, "--daemon", d.Address)
	}
	name := fmt.Sprintf("cli-%02d-%s", o.calls, command[0])
	out, err := o.deployment.runner.Run(ctx, name, "dotterelmount", append(args, command...)...)
	if err != nil {
		return fmt.Errorf("dotterelmount %s: %w", command[0], err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(out, result); err != nil {
		return fmt.Errorf("decode output of dotterelmount %s: %w", command[0], err)
	}
	return nil
}

// change runs a command that changes the configuration and waits until the
// change is in force on every daemon.
func (o *operator) change(ctx context.Context, command ...string) error {
	var changed struct {
		Revision api.Revision `json:"revision"`
	}
	if err := o.run(ctx, &changed, command...); err != nil {
		return err
	}
	return o.run(ctx, nil, "in-force", "--offset", fmt.Sprint(changed.Revision))
}

func (o *operator) publishLists(ctx context.Context) error {
	plans, usage, err := o.deployment.writeLists()
	if err != nil {
		return err
	}
	if err := o.change(ctx, "plan-list", "publish", plans); err != nil {
		return err
	}
	return o.change(ctx, "usage-list", "publish", usage)
}

// announce announces a weight version and waits until every upstream that is not
// draining runs it.
func (o *operator) announce(ctx context.Context, v api.WeightVersion) error {
	return o.run(ctx, nil, "weights", "announce", "--wait", string(model), v.String())
}

func (o *operator) drain(ctx context.Context, id api.UpstreamID) error {
	return o.run(ctx, nil, "drain", "--wait", string(id))
}

// trainerResult is the last line of the trainer program's output.
type trainerResult struct {
	SamplesDue        int `json:"due"`
	SamplesDelivered  int `json:"delivered"`
	SamplesDuplicated int `json:"duplicated"`
	StaleDelivered    int `json:"stale"`
}

// Sizes of the trainer's step.
const (
	stepGroups    = 8
	stepGroupSize = 4  // samples
	stepTokens    = 24 // of each sample
)

// trainStep runs the trainer program for one step.
func (d *deployment) trainStep(ctx context.Context) (trainerResult, error) {
	args := []string{
		"--trainer", string(trainer), "--customer", string(trainer), "--model", string(model),
		"--steps", "1", "--verify",
		"--file", filepath.Join(d.runner.OutDir(), "trainer.json"),
		"--groups", fmt.Sprint(stepGroups),
		"--samples", fmt.Sprint(stepGroupSize),
		"--max-tokens", fmt.Sprint(stepTokens),
	}
	for _, daemon := range d.daemons {
		args = append(args, "--daemons", daemon.Address)
	}
	var result trainerResult
	out, err := d.runner.Run(ctx, "trainer", "trainer", args...)
	if err != nil {
		return result, fmt.Errorf("trainer: %w", err)
	}
	if err := json.Unmarshal(lastLine(out), &result); err != nil {
		return result, fmt.Errorf("decode last line of the trainer: %w", err)
	}
	return result, nil
}

func lastLine(out []byte) []byte {
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	return lines[len(lines)-1]
}
