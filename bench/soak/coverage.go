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
	// Faults that could not be injected as scheduled, or had no effect, are retried.
	retryMissingTimeout  = 60 * time.Second // between the scheduled faults and the calm phase
	retryMissingInterval = 300 * time.Millisecond
	maxCalmRounds        = 6               // each with a drain and a graceful stop
	calmRoundInterval    = 2 * time.Second // between two rounds
)

// wasInjected reports whether a fault of a kind was injected.
func (j *injector) wasInjected(k kind) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[k] > 0
}

// readJournals reads the journals that the upstreams have written so far.
// Errors: those of journal.Read.
func readJournals(d *deployment) (*journalIndex, error) {
	index := newJournalIndex()
	for _, group := range [][]*supervise.Process{d.engines, d.plains} {
		for _, p := range group {
			lines, err := journal.Read(journalPath(p))
			if err != nil {
				return nil, err
			}
			index.add(api.UpstreamID(p.Name), lines)
		}
	}
	return index, nil
}

// countDropped returns the number of samples reported to the trainers as dropped.
func (j *injector) countDropped() int {
	n := 0
	for _, t := range j.trainers {
		// evaluate reports a journal that can't be read.
		drops, _ := t.countDropped()
		n += drops
	}
	return n
}

// missingKinds returns the kinds that were not injected or had no effect: cuts and
// truncations must break off responses that are completed later, killer requests
// must run, and outdated samples must be dropped.
func (s *soak) missingKinds(d *deployment, l *load, j *injector) []kind {
	var missing []kind
	index, err := readJournals(d)
	if err != nil {
		return nil // evaluate reads the journals again and reports the error
	}
	for _, k := range s.faultKinds {
		effective := true
		switch k {
		case engineCut:
			effective = index.countResumed(l.snapshot(), journal.EndCut) > 0
		case engineTruncate:
			effective = index.countResumed(l.snapshot(), journal.EndTruncated) > 0
		case killerRequest:
			effective = index.killerExecutions(l.snapshot()) > 0
		case trainerStale:
			effective = j.countDropped() > 0
		}
		if !effective || !j.wasInjected(k) {
			missing = append(missing, k)
		}
	}
	return missing
}

// retryMissing injects the missing kinds one after another until none is missing.
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

// runCalm drains an upstream and stops a daemon without other faults, until both
// happened while requests were in progress there. first has the faults of the first
// round.
func (s *soak) runCalm(ctx context.Context, l *load, j *injector, first []fault) {
	rng := rand.New(rand.NewPCG(s.seed, maxCalmRounds))
	faults := first
	for range maxCalmRounds {
		j.run(ctx, time.Now(), faults)
		if !duty.Sleep(ctx, calmRoundInterval) {
			return
		}
		index, err := readJournals(j.deployment)
		if err != nil {
			return // evaluate reads the journals again and reports the error
		}
		drains, stops := j.operators.drainsSnapshot(), j.snapshot()
		probe := &Result{ErrorLog: fleet.ErrorLog{Quiet: true}}
		probe.evaluateInterruptions(l.snapshot(), index, drains, stops)
		if probe.InProgressAtDrains > 0 && probe.InProgressAtStops > 0 {
			return
		}
		faults = []fault{
			{Kind: drainRace, Target: rng.IntN(engineCount), Duration: calmDrainTime},
			{Kind: daemonTerm, Target: int(rng.Int32()), Start: calmTermStart - calmDrainStart},
		}
	}
}

// splitCalm splits a schedule at end, the start of the calm phase. The start times of
// the faults in the calm phase become relative to end.
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

// killerExecutions returns the number of executions of killer requests.
func (index *journalIndex) killerExecutions(requests []requestRecord) int {
	n := 0
	for _, req := range requests {
		if req.Killer > 0 {
			n += index.executions[req.RequestID]
		}
	}
	return n
}

// countResumed returns the number of complete responses to requests that an engine
// broke off; end is journal.EndCut or journal.EndTruncated.
func (index *journalIndex) countResumed(requests []requestRecord, end string) int {
	n := 0
	for _, req := range requests {
		if req.Outcome == api.OutcomeComplete && slices.Contains(index.interruptions[req.RequestID], end) {
			n++
		}
	}
	return n
}
