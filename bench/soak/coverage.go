package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/journal"
)

const (
	// Whatever a moment of the schedule did not allow is tried again later.
	retryMissingTimeout  = 60 * time.Second // between the faults and the calm
	retryMissingInterval = 300 * time.Millisecond
	maxCalmRounds        = 6               // drains and graceful stops in the calm
	calmRoundInterval    = 2 * time.Second // between two rounds
)

// wasInjected reports whether a kind was brought about.
func (j *injector) wasInjected(k kind) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[k] > 0
}

// readJournals reads the journals that the upstreams have written so far.
// Errors: those of journal.Read.
func readJournals(d *deployment) (*journalIndex, error) {
	e := newJournalIndex()
	for _, group := range [][]*supervise.Process{d.engines, d.plains} {
		for _, p := range group {
			lines, err := journal.Read(journalPath(p))
			if err != nil {
				return nil, err
			}
			e.add(api.UpstreamID(p.Name), lines)
		}
	}
	return e, nil
}

// countDropped counts what the trainers were told was too old.
func (j *injector) countDropped() int {
	n := 0
	for _, t := range j.trainers {
		// A journal that can't be read is an error of the verdict.
		drops, _ := t.countDropped()
		n += drops
	}
	return n
}

// missingKinds returns the kinds that were not brought about, or that hit nothing:
// cuts and truncations must break off answers that are then completed, killer
// requests must run, and outdated samples must be dropped.
func (s *soak) missingKinds(d *deployment, l *load, j *injector) []kind {
	var out []kind
	e, err := readJournals(d)
	if err != nil {
		return nil // the verdict reads again and tells
	}
	for _, k := range s.faultKinds {
		hit := true
		switch k {
		case engineCut:
			hit = e.countResumed(l.snapshot(), journal.EndCut) > 0
		case engineTruncate:
			hit = e.countResumed(l.snapshot(), journal.EndTruncated) > 0
		case killerRequest:
			hit = e.killerExecutions(l.snapshot()) > 0
		case trainerStale:
			hit = j.countDropped() > 0
		}
		if !hit || !j.wasInjected(k) {
			out = append(out, k)
		}
	}
	return out
}

// retryMissing tries what is missing at later moments, one after the other.
func (s *soak) retryMissing(ctx context.Context, d *deployment, l *load, j *injector) {
	ctx, cancel := context.WithTimeout(ctx, retryMissingTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.seed, uint64(retryMissingTimeout)))
	for {
		missing := s.missingKinds(d, l, j)
		if len(missing) == 0 {
			return
		}
		for _, k := range missing {
			f := fault{Kind: k, Target: int(rng.Int32()), Duration: faultDurations[k].Max}
			j.run(ctx, time.Now(), []fault{f})
		}
		if !duty.Sleep(ctx, retryMissingInterval) {
			return
		}
	}
}

// runCalm drains an upstream and stops a daemon while nothing else happens, until
// requests in progress were seen at both.
func (s *soak) runCalm(ctx context.Context, l *load, j *injector, first []fault) {
	rng := rand.New(rand.NewPCG(s.seed, maxCalmRounds))
	faults := first
	for range maxCalmRounds {
		j.run(ctx, time.Now(), faults)
		if !duty.Sleep(ctx, calmRoundInterval) {
			return
		}
		e, err := readJournals(j.deployment)
		if err != nil {
			return // the verdict reads again and tells
		}
		drains, stops := j.operators.drainsSnapshot(), j.snapshot()
		trial := &Result{ErrorLog: fleet.ErrorLog{Quiet: true}}
		trial.evaluateInterruptions(l.snapshot(), e, drains, stops)
		if trial.InProgressAtDrains > 0 && trial.InProgressAtStops > 0 {
			return
		}
		faults = []fault{
			{Kind: drainRace, Target: rng.IntN(engineCount), Duration: calmDrainTime},
			{Kind: daemonTerm, Target: int(rng.Int32()), Start: calmTermStart - calmDrainStart},
		}
	}
}

// splitCalm parts a schedule into what comes before the calm and what belongs to
// it, the latter relative to the start of the calm.
func splitCalm(faults []fault, end time.Duration) (before, calm []fault) {
	for _, f := range faults {
		if f.Start < end+calmDrainStart {
			before = append(before, f)
			continue
		}
		f.Start -= end
		calm = append(calm, f)
	}
	return before, calm
}

func (j *injector) snapshot() []injectedFault {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.injected)
}

func (o *operators) drainsSnapshot() []drainPeriod {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.drains)
}

func (l *load) snapshot() []requestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}

// killerExecutions counts the runs of killer requests.
func (e *journalIndex) killerExecutions(requests []requestRecord) int {
	n := 0
	for _, a := range requests {
		if a.Killer > 0 {
			n += e.executions[a.RequestID]
		}
	}
	return n
}

// countResumed counts complete answers to requests that an engine broke off so.
func (e *journalIndex) countResumed(requests []requestRecord, how string) int {
	n := 0
	for _, a := range requests {
		if a.Outcome == api.OutcomeComplete && slices.Contains(e.interruptions[a.RequestID], how) {
			n++
		}
	}
	return n
}
