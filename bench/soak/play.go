package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/journal"
)

const (
	startupTimeout  = 20 * time.Second
	closeTimeout    = 30 * time.Second
	recoveryTimeout = 10 * time.Second
)

// runParts runs the parts in order. Errors end it early.
func (s *soak) runParts(ctx context.Context, runner *proc.Runner) error {
	starting, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	d, err := startDeployment(starting, runner)
	if err != nil {
		return err
	}
	o := newOperators(d)
	if err := o.publish(starting); err != nil {
		return fmt.Errorf("first lists: %w", err)
	}
	l := newLoad(d, s.seed)
	j := newInjector(d, o)
	j.runKiller = l.runKiller
	var training sync.WaitGroup
	trained, stopTraining := context.WithCancel(ctx)
	defer stopTraining()
	j.trainers = startTrainers(trained, d, o.knownVersion, s.duration, &training)
	watches := s.runLoadAndFaults(ctx, d, l, j)
	s.setPart("trainers")
	giveUp := time.AfterFunc(trainerFinishTimeout, stopTraining)
	training.Wait()
	giveUp.Stop()
	s.setPart("end")
	s.checkRecovery(ctx, d, l)
	s.readViolations(ctx, d)
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	exits, err := d.close(closing)
	if err != nil {
		s.result.Errorf("end of a process: %v", err)
	}
	s.result.StoppedCleanly = err == nil
	return s.evaluate(d, l, j, watches, exits)
}

// runLoadAndFaults makes load and brings the faults about; it returns when both are over.
func (s *soak) runLoadAndFaults(ctx context.Context, d *deployment, l *load, j *injector) []*versionWatch {
	begin := time.Now()
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	watched, stopWatches := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watches := startWatches(watched, d, &watching)
	var playing sync.WaitGroup
	playing.Add(1)
	duty.Run(d.system, "schedule", func() {
		defer playing.Done()
		defer stopLoad()
		s.runFaults(ctx, l, j, begin)
	})
	l.run(loaded)
	playing.Wait()
	stopWatches()
	watching.Wait()
	s.result.Seconds = time.Since(begin).Seconds()
	return watches
}

// runFaults brings the faults about, tries again what is missing and ends with
// the calm, with the load still on.
func (s *soak) runFaults(ctx context.Context, l *load, j *injector, begin time.Time) {
	before, calmFaults := splitCalm(newSchedule(s.seed, s.duration, s.faultKinds), faultPhaseEnd(s.duration))
	s.setPart("schedule of faults")
	j.run(ctx, begin, before)
	s.setPart("faults that were not brought about yet")
	s.retryMissing(ctx, j.deployment, l, j)
	s.setPart("calm")
	calmEnd := time.Now().Add(calmTime)
	s.runCalm(ctx, l, j, calmFaults)
	duty.Sleep(ctx, time.Until(calmEnd))
}

// checkRecovery reports whether, without faults, every daemon serves a chat and a
// once-only call within a bounded time.
func (s *soak) checkRecovery(ctx context.Context, d *deployment, l *load) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	s.result.Recovered = true
	for i := range daemonCount {
		ok := false
		for n := 0; !ok; n++ {
			key := fmt.Sprintf("end-%d-%d", i, n)
			chat := l.sendChat(i, key+": len=5", 5, n%2 == 0)
			once := l.callOnce(i, key)
			ok = chat.Outcome == api.OutcomeComplete && once.Outcome == api.OutcomeComplete
			if !ok && !duty.Sleep(ctx, retryInterval) {
				s.result.Recovered = false
				s.result.Errorf("%s does not serve again: chat %s, once-only call %s", d.daemons[i].Name, chat.Error, once.Error)
				break
			}
		}
	}
}

// readViolations reads the counts of the daemons that run at the end; those that
// ended at a violation are known by their exit status.
func (s *soak) readViolations(ctx context.Context, d *deployment) {
	for _, daemon := range d.daemons {
		n, err := fleet.Violations(ctx, daemon.Address)
		if err != nil {
			s.result.Errorf("invariants of %s: %v", daemon.Name, err)
		}
		s.result.InvariantViolations += n
	}
}

// evaluate fills the result in from what was seen.
func (s *soak) evaluate(d *deployment, l *load, j *injector, watches []*versionWatch, exits []supervise.Exit) error {
	e, err := readJournals(d)
	if err != nil {
		return err
	}
	if err := l.writeRequests(filepath.Join(s.out, "requests.json")); err != nil {
		return err
	}
	r := &s.result
	r.evaluateRequests(l.requests, e)
	r.evaluateKillers(l.requests, e)
	r.CutResumed = e.countResumed(l.requests, journal.EndCut)
	r.TruncatedResumed = e.countResumed(l.requests, journal.EndTruncated)
	r.evaluateDrains(j.operators.drains, e)
	r.evaluateInterruptions(l.requests, e, j.operators.drains, j.injected)
	for _, t := range j.trainers {
		if err := r.evaluateTrainer(t, e); err != nil {
			return err
		}
	}
	r.RacesBothAccepted = j.operators.bothAccepted
	daemons := make(map[string]bool)
	for i, w := range watches {
		daemons[d.daemons[i].Name] = true
		r.VersionPolls += w.polls
		r.VersionReverts += len(w.reverts)
		for _, text := range w.reverts {
			r.Errorf("%s", text)
		}
	}
	r.evaluateExits(exits, daemons)
	r.Faults = j.counts
	for _, k := range s.faultKinds {
		if j.counts[k] == 0 {
			r.FaultsMissing = append(r.FaultsMissing, k)
		}
	}
	return nil
}
