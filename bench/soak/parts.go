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

// runParts runs the parts of the soak in order, up to the first error.
func (s *soak) runParts(ctx context.Context, runner *proc.Runner) error {
	startCtx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	d, err := startDeployment(startCtx, runner)
	if err != nil {
		return err
	}
	o := newOperators(d)
	if err := o.publish(startCtx); err != nil {
		return fmt.Errorf("publish first lists: %w", err)
	}
	l := newLoad(d, s.seed)
	j := newInjector(d, o)
	j.runKiller = l.runKiller
	var training sync.WaitGroup
	trainCtx, stopTraining := context.WithCancel(ctx)
	defer stopTraining()
	j.trainers = startTrainers(trainCtx, d, o.highestAcceptedVersion, s.duration, &training)
	watches := s.runLoadAndFaults(ctx, d, l, j)
	s.setPart("trainers")
	stopTimer := time.AfterFunc(trainerFinishTimeout, stopTraining)
	training.Wait()
	stopTimer.Stop()
	s.setPart("end")
	s.checkRecovery(ctx, d, l)
	s.readViolations(ctx, d)
	closeCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	exits, err := d.close(closeCtx)
	if err != nil {
		s.result.Errorf("stop processes: %v", err)
	}
	s.result.StoppedCleanly = err == nil
	return s.evaluate(d, l, j, watches, exits)
}

// runLoadAndFaults generates load and injects faults. It returns when both have ended.
func (s *soak) runLoadAndFaults(ctx context.Context, d *deployment, l *load, j *injector) []*versionWatch {
	begin := time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	watchCtx, stopWatches := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watches := startWatches(watchCtx, d, &watching)
	var injecting sync.WaitGroup
	injecting.Add(1)
	duty.Run(d.system, "schedule", func() {
		defer injecting.Done()
		defer stopLoad()
		s.runFaults(ctx, l, j, begin)
	})
	l.run(loadCtx)
	injecting.Wait()
	stopWatches()
	watching.Wait()
	s.result.Seconds = time.Since(begin).Seconds()
	return watches
}

// runFaults injects the scheduled faults, retries the missing ones and ends with the
// calm phase. The load runs throughout.
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

// checkRecovery checks that without faults every daemon serves a chat and a once-only
// call within recoveryTimeout.
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
				s.result.Errorf("%s did not recover: chat %s, once-only call %s", d.daemons[i].Name, chat.Error, once.Error)
				break
			}
		}
	}
}

// readViolations adds the daemons' counts of invariant violations. Daemons that exited
// on a violation are counted by their exit status instead.
func (s *soak) readViolations(ctx context.Context, d *deployment) {
	for _, daemon := range d.daemons {
		n, err := fleet.Violations(ctx, daemon.Address)
		if err != nil {
			s.result.Errorf("read invariant violations of %s: %v", daemon.Name, err)
		}
		s.result.InvariantViolations += n
	}
}

// evaluate fills in the result from the records of the run and the journals.
func (s *soak) evaluate(d *deployment, l *load, j *injector, watches []*versionWatch, exits []supervise.Exit) error {
	index, err := readJournals(d)
	if err != nil {
		return err
	}
	if err := l.writeRequests(filepath.Join(s.out, "requests.json")); err != nil {
		return err
	}
	r := &s.result
	r.evaluateRequests(l.requests, index)
	r.evaluateKillers(l.requests, index)
	r.CutResumed = index.countResumed(l.requests, journal.EndCut)
	r.TruncatedResumed = index.countResumed(l.requests, journal.EndTruncated)
	r.evaluateDrains(j.operators.drains, index)
	r.evaluateInterruptions(l.requests, index, j.operators.drains, j.injected)
	for _, t := range j.trainers {
		if err := r.evaluateTrainer(t, index); err != nil {
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
