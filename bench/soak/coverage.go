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
	againLimit  = 60 * time.Second // between the faults and the calm
	againEvery  = 300 * time.Millisecond
	calmRounds  = 6               // drains and graceful stops in the calm
	calmSpacing = 2 * time.Second // between two rounds
)

// happenedOnce reports whether a kind was brought about.
func (j *injector) happenedOnce(k kind) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[k] > 0
}

// readEvidence reads the journals that the upstreams have written so far.
// Errors: those of journal.Read.
func readEvidence(d *deployment) (*evidence, error) {
	e := newEvidence()
	for _, group := range [][]*supervise.Process{d.engines, d.plains} {
		for _, p := range group {
			lines, err := journal.Read(journalOf(p))
			if err != nil {
				return nil, err
			}
			e.add(api.UpstreamID(p.Name), lines)
		}
	}
	return e, nil
}

// dropped counts what the trainers were told was too old.
func (j *injector) dropped() int {
	n := 0
	for _, t := range j.trainers {
		// A journal that can't be read is an error of the verdict.
		drops, _ := t.drops()
		n += drops
	}
	return n
}

// missing returns the kinds that were not brought about, or that hit nothing:
// cuts and truncations must break off answers that are then completed, killer
// requests must run, and outdated samples must be dropped.
func (s *soak) missing(d *deployment, l *load, j *injector) []kind {
	var out []kind
	e, err := readEvidence(d)
	if err != nil {
		return nil // the verdict reads again and tells
	}
	for _, k := range s.kinds {
		hit := true
		switch k {
		case engineCut:
			hit = e.resumed(l.snapshot(), journal.EndCut) > 0
		case engineTrunc:
			hit = e.resumed(l.snapshot(), journal.EndTruncated) > 0
		case killerRequest:
			hit = e.killed(l.snapshot()) > 0
		case trainerStale:
			hit = j.dropped() > 0
		}
		if !hit || !j.happenedOnce(k) {
			out = append(out, k)
		}
	}
	return out
}

// again tries what is missing at later moments, one after the other.
func (s *soak) again(ctx context.Context, d *deployment, l *load, j *injector) {
	ctx, cancel := context.WithTimeout(ctx, againLimit)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.seed, uint64(againLimit)))
	for {
		missing := s.missing(d, l, j)
		if len(missing) == 0 {
			return
		}
		for _, k := range missing {
			f := fault{Kind: k, Target: int(rng.Int32()), Lasts: spans[k].Most}
			j.play(ctx, time.Now(), []fault{f})
		}
		if !duty.Sleep(ctx, againEvery) {
			return
		}
	}
}

// calmly drains an upstream and stops a daemon while nothing else happens, until
// requests in progress were seen at both.
func (s *soak) calmly(ctx context.Context, l *load, j *injector, first []fault) {
	rng := rand.New(rand.NewPCG(s.seed, calmRounds))
	faults := first
	for range calmRounds {
		j.play(ctx, time.Now(), faults)
		if !duty.Sleep(ctx, calmSpacing) {
			return
		}
		e, err := readEvidence(j.d)
		if err != nil {
			return // the verdict reads again and tells
		}
		drains, stops := j.operators.pastDrains(), j.snapshot()
		trial := &Result{Notes: fleet.Notes{Quiet: true}}
		trial.judgeInterruptions(l.snapshot(), e, drains, stops)
		if trial.DrainsJudged > 0 && trial.StopsJudged > 0 {
			return
		}
		faults = []fault{
			{Kind: drainRace, Target: rng.IntN(engineCount), Lasts: calmDrain},
			{Kind: daemonTerm, Target: int(rng.Int32()), At: calmTermAfter - calmDrainAfter},
		}
	}
}

// split parts a schedule into what comes before the calm and what belongs to
// it, the latter relative to the start of the calm.
func split(faults []fault, end time.Duration) (before, calm []fault) {
	for _, f := range faults {
		if f.At < end+calmDrainAfter {
			before = append(before, f)
			continue
		}
		f.At -= end
		calm = append(calm, f)
	}
	return before, calm
}

func (j *injector) snapshot() []happened {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.past)
}

func (o *operators) pastDrains() []drained {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.drains)
}

func (l *load) snapshot() []asked {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.asked)
}

// killed counts the runs of killer requests.
func (e *evidence) killed(requests []asked) int {
	n := 0
	for _, a := range requests {
		if a.Killer > 0 {
			n += e.ran[a.RequestID]
		}
	}
	return n
}

// resumed counts complete answers to requests that an engine broke off so.
func (e *evidence) resumed(requests []asked, how string) int {
	n := 0
	for _, a := range requests {
		if a.Outcome == api.OutcomeComplete && slices.Contains(e.broken[a.RequestID], how) {
			n++
		}
	}
	return n
}
