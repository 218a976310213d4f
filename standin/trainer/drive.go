package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/trainerapi"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
)

// config holds the values of the flags.
type config struct {
	daemons                          []string
	trainer, customer, model         string
	steps, maxOpenSteps              int
	groups, samples                  int
	maxTokens, maxGroups             int
	stalenessBound                   uint64            // versions
	knownVersion                     api.WeightVersion // in force at the start; zero: unknown
	pullWait, callTimeout, trainTime time.Duration
	verifyText                       bool
}

// report is the summary that the program prints when it ends. Samples are counted
// over all runs with the same journal; idle time and calls over this run.
type report struct {
	Trainer     string `json:"trainer"`
	Due         int    `json:"due"`        // samples of all steps
	Delivered   int    `json:"delivered"`  // samples used, each counted once
	Duplicated  int    `json:"duplicated"` // samples delivered again
	Stale       int    `json:"stale"`      // samples beyond the staleness bound
	Missing     int    `json:"missing"`    // samples not delivered
	Wrong       int    `json:"wrong"`      // samples without versions or with a wrong text
	Dropped     int    `json:"dropped"`    // stale samples that the service dropped and generates again
	IdleMillis  int64  `json:"idle_ms"`    // time spent waiting for samples
	Pulls       int    `json:"asks"`
	FailedCalls int    `json:"failures"`
}

// verdict returns an error if a delivery guarantee was violated. Errors:
// CodeInternal.
func (r report) verdict() error {
	if r.Duplicated+r.Stale+r.Missing+r.Wrong > 0 {
		return api.Errorf(api.CodeInternal, "%d duplicated, %d stale, %d missing, %d wrong",
			r.Duplicated, r.Stale, r.Missing, r.Wrong)
	}
	return nil
}

// trainer drives the steps of one run.
type trainer struct {
	cfg         config
	journal     *journal
	client      client
	openedSteps int
	doneSteps   int // number of leading steps of which every sample was used
	idleTime    time.Duration
	pulls       int
	failedCalls int
	lastErr     error
}

func newTrainer(cfg config, j *journal) *trainer {
	return &trainer{
		cfg: cfg, journal: j,
		client: client{daemons: cfg.daemons, timeout: cfg.callTimeout + cfg.pullWait},
	}
}

// drive opens the steps in order and pulls until every sample was used.
// Errors: CodeDeadlineExceeded, those of the journal.
func (t *trainer) drive(ctx context.Context) error {
	if t.cfg.knownVersion > 0 {
		if err := t.journal.write(&entry{HighestVersion: t.cfg.knownVersion}); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		done := t.stepsDone()
		if done == t.cfg.steps {
			return t.acknowledgeCursor(ctx)
		}
		if t.openedSteps < min(t.cfg.steps, done+t.cfg.maxOpenSteps) {
			t.openStep(ctx)
			continue
		}
		if _, err := t.pull(ctx); err != nil {
			return err
		}
	}
	return api.Errorf(api.CodeDeadlineExceeded, "%d of %d steps done when the run ended; last failure: %v", t.stepsDone(), t.cfg.steps, t.lastErr)
}

// acknowledgeCursor pulls once more, so that the service receives the last cursor.
// Errors: CodeDeadlineExceeded, those of pull.
func (t *trainer) acknowledgeCursor(ctx context.Context) error {
	for ctx.Err() == nil {
		ok, err := t.pull(ctx)
		if ok || err != nil {
			return err
		}
	}
	return api.Errorf(api.CodeDeadlineExceeded, "last cursor not acknowledged when the run ended; last failure: %v", t.lastErr)
}

func stepName(i int) samples.StepID { return samples.StepID(fmt.Sprintf("step-%05d", i)) }

// stepsDone returns the number of leading steps of which every sample was used.
func (t *trainer) stepsDone() int {
	for t.doneSteps < t.cfg.steps && t.usedSamples(stepName(t.doneSteps)) == t.cfg.groups*t.cfg.samples {
		t.doneSteps++
	}
	return t.doneSteps
}

// usedSamples returns the number of distinct samples of a step that were used.
func (t *trainer) usedSamples(id samples.StepID) int {
	n := 0
	for g := range t.cfg.groups {
		for index := range t.cfg.samples {
			if t.journal.state.useCounts[samples.SlotRef{Step: id, Group: groupName(g), Index: index}] > 0 {
				n++
			}
		}
	}
	return n
}

func groupName(g int) samples.GroupID { return samples.GroupID(fmt.Sprintf("group-%04d", g)) }

// messages returns the prompt of a group.
func (t *trainer) messages(step samples.StepID, group samples.GroupID) []work.Message {
	return []work.Message{{Role: "user", Content: fmt.Sprintf("%s %s %s", t.cfg.trainer, step, group)}}
}

// openStep submits the next step. After a restart steps are submitted again, which
// has no further effect.
func (t *trainer) openStep(ctx context.Context) {
	body := trainerapi.OpenStepRequest{
		Customer: api.CustomerID(t.cfg.customer), Model: api.ModelName(t.cfg.model), Step: stepName(t.openedSteps),
	}
	for g := range t.cfg.groups {
		body.Groups = append(body.Groups, trainerapi.GroupSpec{
			ID: groupName(g), Messages: t.messages(body.Step, groupName(g)), N: t.cfg.samples, MaxTokens: t.cfg.maxTokens,
		})
	}
	var response trainerapi.OpenStepResponse
	if err := t.client.call(ctx, http.MethodPost, t.path("/steps"), body, &response); err != nil {
		t.recordFailure(err)
		return
	}
	t.openedSteps++
}

// path returns the URL path of this trainer, followed by suffix.
func (t *trainer) path(suffix string) string { return "/v1/trainers/" + t.cfg.trainer + suffix }

func (t *trainer) recordFailure(err error) {
	t.failedCalls++
	t.lastErr = err
}

// pull sends one pull and consumes its samples. ok is false if it failed or if the
// response belongs to another pull. Errors: CodeInternal if the journal cannot be
// written.
func (t *trainer) pull(ctx context.Context) (ok bool, err error) {
	s := &t.journal.state
	number := s.pullNumber + 1
	if err := t.journal.write(&entry{PullNumber: number}); err != nil {
		return false, err
	}
	t.pulls++
	body := trainerapi.PullRequest{
		Cursor: s.cursor, PullNumber: number, MaxGroups: t.cfg.maxGroups,
		WeightVersion: s.highestVersion, WaitMillis: t.cfg.pullWait.Milliseconds(),
	}
	started := time.Now()
	var response trainerapi.PullResponse
	callErr := t.client.call(ctx, http.MethodPost, t.path("/pull"), body, &response)
	t.idleTime += time.Since(started)
	if callErr != nil {
		t.recordFailure(callErr)
		return false, t.syncPullNumber(ctx, callErr)
	}
	if response.PullNumber != number || response.FromOffset != s.cursor {
		return false, nil // the response to another pull
	}
	return true, t.consume(ctx, &response)
}

// syncPullNumber reads the highest pull number from the service after a conflict
// and writes it to the journal. Errors: CodeInternal if that cannot be written.
func (t *trainer) syncPullNumber(ctx context.Context, cause error) error {
	var status *statusError
	if !errors.As(cause, &status) || status.status != http.StatusConflict {
		return nil
	}
	var response trainerapi.StateResponse
	if err := t.client.call(ctx, http.MethodGet, t.path(""), nil, &response); err != nil {
		t.recordFailure(err)
		return nil
	}
	if response.PullNumber <= t.journal.state.pullNumber {
		return nil
	}
	return t.journal.write(&entry{PullNumber: response.PullNumber})
}

// consume writes the samples together with the cursor to the journal, then
// simulates training on them. Errors: CodeInternal.
func (t *trainer) consume(ctx context.Context, response *trainerapi.PullResponse) error {
	e := &entry{Cursor: response.NextOffset, HighestVersion: t.journal.state.highestVersion, CompletedSteps: response.CompletedSteps, DroppedSamples: response.DroppedSamples}
	for i := range response.Groups {
		g := &response.Groups[i]
		for j := range g.Samples {
			t.checkSample(e, g, &g.Samples[j])
		}
	}
	if err := t.journal.write(e); err != nil {
		return err
	}
	t.trainOn(ctx, len(response.Groups))
	return nil
}

// checkSample adds one sample to the journal entry, and counts it there if it is
// stale or wrong. Staleness is relative to the highest version known when the pull
// was sent.
func (t *trainer) checkSample(e *entry, g *trainerapi.GroupResponse, s *trainerapi.SampleResponse) {
	e.UsedSamples = append(e.UsedSamples, usedSample{
		SlotRef: samples.SlotRef{Step: g.Step, Group: g.ID, Index: s.Index}, Versions: s.Versions,
	})
	if len(s.Versions) == 0 {
		e.Wrong++
		return
	}
	e.HighestVersion = max(e.HighestVersion, slices.Max(s.Versions))
	oldest, highest := slices.Min(s.Versions), t.journal.state.highestVersion
	if oldest < highest && uint64(highest-oldest) > t.cfg.stalenessBound {
		e.Stale++
	}
	if t.cfg.verifyText && tokens.Output(t.messages(g.Step, g.ID), s.Tokens) != s.Text {
		e.Wrong++
	}
}

// trainOn waits for the training time of a number of groups.
func (t *trainer) trainOn(ctx context.Context, groups int) {
	if t.cfg.trainTime <= 0 || groups == 0 {
		return
	}
	timer := time.NewTimer(time.Duration(groups) * t.cfg.trainTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *trainer) report() report {
	s := &t.journal.state
	r := report{
		Trainer: t.cfg.trainer, Due: t.cfg.steps * t.cfg.groups * t.cfg.samples, Duplicated: s.duplicated,
		Stale: s.stale, Wrong: s.wrong, Dropped: s.dropped, IdleMillis: t.idleTime.Milliseconds(),
		Pulls: t.pulls, FailedCalls: t.failedCalls,
	}
	for i := range t.cfg.steps {
		r.Delivered += t.usedSamples(stepName(i))
	}
	r.Missing = r.Due - r.Delivered
	return r
}
