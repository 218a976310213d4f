package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/check"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/plain/service"
)

// The members' load.
const (
	memberThreads     = 8
	chatsPerRound     = 30
	onceCallsPerRound = 6
	memberDeadline    = 10 * time.Second
)

// The versions that the demo announces.
const (
	firstVersion  api.WeightVersion = 1
	secondVersion api.WeightVersion = 2
)

type demo struct {
	deployment    *deployment
	result        *Result
	pool          *check.Pool
	caller        *check.Caller
	rounds        int
	checkResponse func(check.Response) error // further check of a member's reply; may be nil
}

// runParts runs the demo's parts in order. Errors end it early.
func runParts(ctx context.Context, r *proc.Runner, result *Result) error {
	f, err := startDeployment(ctx, r)
	if err != nil {
		return err
	}
	d := &demo{
		deployment: f, result: result, pool: check.NewPool(memberThreads),
		caller: &check.Caller{Customer: member, Client: &http.Client{}, Deadline: memberDeadline},
	}
	if err := d.exercise(ctx); err != nil {
		return err
	}
	if err := d.inspect(ctx); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := r.StopAll(stopping); err != nil {
		return err
	}
	result.StoppedCleanly = true
	return d.pool.Close(stopping)
}

// exercise drives the deployment as operators, members and a trainer do.
func (d *demo) exercise(ctx context.Context) error {
	op := &operator{deployment: d.deployment}
	for _, part := range []func(context.Context) error{
		op.publishLists,
		func(ctx context.Context) error { return op.announce(ctx, firstVersion) },
		d.round,
		d.trainStep,
		func(ctx context.Context) error { return d.drain(ctx, op) },
		d.round,
		func(ctx context.Context) error { return d.swap(ctx, op) },
		d.roundOnSecondVersion,
	} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) trainStep(ctx context.Context) error {
	t, err := d.deployment.trainStep(ctx)
	if err != nil {
		return err
	}
	d.result.SamplesDue = t.SamplesDue
	d.result.SamplesDelivered = t.SamplesDelivered
	d.result.SamplesDuplicated = t.SamplesDuplicated
	d.result.StaleDelivered = t.StaleDelivered
	if want := stepGroups * stepGroupSize; t.SamplesDue != want {
		return api.Errorf(api.CodeInternal, "trainer says %d samples due, want %d", t.SamplesDue, want)
	}
	return nil
}

// drain empties an engine while members ask.
func (d *demo) drain(ctx context.Context, op *operator) error {
	err := d.roundDuring(ctx, func() error { return op.drain(ctx, engineID(engineCount-1)) })
	d.result.Drained = err == nil
	return err
}

// swap announces new weights while members ask.
func (d *demo) swap(ctx context.Context, op *operator) error {
	err := d.roundDuring(ctx, func() error { return op.announce(ctx, secondVersion) })
	d.result.WeightsSwapped = err == nil
	return err
}

// roundOnSecondVersion is a round whose answers must come from the new weights alone.
func (d *demo) roundOnSecondVersion(ctx context.Context) error {
	d.checkResponse = func(r check.Response) error {
		if !slices.Equal(r.Versions, []api.WeightVersion{secondVersion}) {
			return api.Errorf(api.CodeStaleVersion, "answer made by versions %v after the swap, want %s", r.Versions, secondVersion)
		}
		return nil
	}
	return d.round(ctx)
}

// roundDuring runs a round of members' requests alongside an operation.
func (d *demo) roundDuring(ctx context.Context, operation func() error) error {
	var failed error
	if err := d.pool.Do(ctx, append([]func(){func() { failed = operation() }}, d.jobs(ctx)...)); err != nil {
		return err
	}
	return failed
}

// round asks through every daemon, streamed and whole, and makes calls that
// must not be repeated.
func (d *demo) round(ctx context.Context) error { return d.pool.Do(ctx, d.jobs(ctx)) }

// jobs returns the requests of the next round.
func (d *demo) jobs(ctx context.Context) []func() {
	d.rounds++
	var jobs []func()
	for i := range chatsPerRound {
		jobs = append(jobs, func() { d.result.countMember(d.chat(ctx, i)) })
	}
	for i := range onceCallsPerRound {
		jobs = append(jobs, func() { d.result.countOnce(d.callOnce(ctx, i)) })
	}
	return jobs
}

func (d *demo) daemonAddress(i int) string { return d.deployment.daemons[i%daemonCount].Address }

func (d *demo) chat(ctx context.Context, i int) error {
	reply, err := d.caller.Chat(ctx, d.daemonAddress(i), check.ChatRequest{
		Model: model,
		Messages: []work.Message{
			{Role: "system", Content: "You coach bakers."},
			{Role: "user", Content: fmt.Sprintf("round %d, check-in %d: len=%d", d.rounds, i, 5+i)},
		},
		MaxTokens: 64,
		Stream:    i/daemonCount%2 == 0, // both kinds through every daemon
	})
	if err != nil || d.checkResponse == nil {
		return err
	}
	return d.checkResponse(reply)
}

func (d *demo) callOnce(ctx context.Context, i int) error {
	name := fmt.Sprintf("slip-%d-%d", d.rounds, i)
	_, err := d.caller.CallOnce(ctx, d.daemonAddress(i), check.OnceRequest{
		Service: string(plainService), Path: "slips", Body: []byte(name), Key: name,
	})
	return err
}

// inspect reads the invariants' counts and the plain service's journal.
func (d *demo) inspect(ctx context.Context) error {
	for _, daemon := range d.deployment.daemons {
		n, err := fleet.Violations(ctx, daemon.Address)
		if err != nil {
			return fmt.Errorf("invariants of %s: %w", daemon.Name, err)
		}
		d.result.InvariantViolations += n
	}
	var journal []service.Execution
	if err := fleet.GetJSON(ctx, d.deployment.plain.Address, "/journal", &journal); err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, e := range journal {
		runs[e.BodySHA256]++
	}
	for _, n := range runs {
		if n > 1 {
			d.result.OnceRepeated++
		}
	}
	if len(runs) != d.result.OnceAsked {
		return api.Errorf(api.CodeInternal, "plain service ran %d different calls, want %d", len(runs), d.result.OnceAsked)
	}
	return nil
}
