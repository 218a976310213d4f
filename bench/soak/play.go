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
	startupLimit = 20 * time.Second
	closeLimit   = 30 * time.Second
	recoverLimit = 10 * time.Second
)

// play runs the parts in order. Errors end it early.
func (s *soak) play(ctx context.Context, runner *proc.Runner) error {
	starting, cancel := context.WithTimeout(ctx, startupLimit)
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
	j.killer = l.killer
	var training sync.WaitGroup
	trained, stopTraining := context.WithCancel(ctx)
	defer stopTraining()
	j.trainers = startTrainers(trained, d, o.knownVersion, s.duration, &training)
	watches := s.trouble(ctx, d, l, j)
	s.at("trainers")
	giveUp := time.AfterFunc(trainerLimit, stopTraining)
	training.Wait()
	giveUp.Stop()
	s.at("end")
	s.recovered(ctx, d, l)
	s.violations(ctx, d)
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
	defer stop()
	exits, err := d.close(closing)
	if err != nil {
		s.result.Note("end of a process: %v", err)
	}
	s.result.StoppedCleanly = err == nil
	return s.judge(d, l, j, watches, exits)
}

// trouble makes load and brings the faults about; it returns when both are over.
func (s *soak) trouble(ctx context.Context, d *deployment, l *load, j *injector) []*watch {
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
		s.schedule(ctx, l, j, begin)
	})
	l.run(loaded)
	playing.Wait()
	stopWatches()
	watching.Wait()
	s.result.Seconds = time.Since(begin).Seconds()
	return watches
}

// schedule brings the faults about, tries again what is missing and ends with
// the calm, with the load still on.
func (s *soak) schedule(ctx context.Context, l *load, j *injector, begin time.Time) {
	before, calmFaults := split(plan(s.seed, s.duration, s.kinds), faultyTime(s.duration))
	s.at("schedule of faults")
	j.play(ctx, begin, before)
	s.at("faults that were not brought about yet")
	s.again(ctx, j.d, l, j)
	s.at("calm")
	calmEnd := time.Now().Add(calm)
	s.calmly(ctx, l, j, calmFaults)
	duty.Sleep(ctx, time.Until(calmEnd))
}

// recovered reports whether, without faults, every daemon serves a chat and a
// once-only call within a bounded time.
func (s *soak) recovered(ctx context.Context, d *deployment, l *load) {
	ctx, cancel := context.WithTimeout(ctx, recoverLimit)
	defer cancel()
	s.result.Recovered = true
	for i := range daemonCount {
		ok := false
		for n := 0; !ok; n++ {
			key := fmt.Sprintf("end-%d-%d", i, n)
			chat := l.ask(i, key+": len=5", 5, n%2 == 0)
			once := l.callOnce(i, key)
			ok = chat.Outcome == api.OutcomeComplete && once.Outcome == api.OutcomeComplete
			if !ok && !duty.Sleep(ctx, retryEvery) {
				s.result.Recovered = false
				s.result.Note("%s does not serve again: chat %s, once-only call %s", d.daemons[i].Name, chat.Error, once.Error)
				break
			}
		}
	}
}

// violations reads the counts of the daemons that run at the end; those that
// ended at a violation are known by their exit status.
func (s *soak) violations(ctx context.Context, d *deployment) {
	for _, daemon := range d.daemons {
		n, err := fleet.Violations(ctx, daemon.Address)
		if err != nil {
			s.result.Note("invariants of %s: %v", daemon.Name, err)
		}
		s.result.InvariantViolations += n
	}
}

// judge fills the result in from what was seen.
func (s *soak) judge(d *deployment, l *load, j *injector, watches []*watch, exits []supervise.Exit) error {
	e, err := readEvidence(d)
	if err != nil {
		return err
	}
	if err := l.dump(filepath.Join(s.out, "requests.json")); err != nil {
		return err
	}
	r := &s.result
	r.judge(l.asked, e)
	r.judgeKillers(l.asked, e)
	r.CutResumed = e.resumed(l.asked, journal.EndCut)
	r.TruncatedResumed = e.resumed(l.asked, journal.EndTruncated)
	r.judgeDrains(j.operators.drains, e)
	r.judgeInterruptions(l.asked, e, j.operators.drains, j.past)
	for _, t := range j.trainers {
		if err := r.judgeTrainer(t, e); err != nil {
			return err
		}
	}
	r.RacesBothAccepted = j.operators.both
	daemons := make(map[string]bool)
	for i, w := range watches {
		daemons[d.daemons[i].Name] = true
		r.VersionPolls += w.polls
		r.VersionReverts += len(w.reverts)
		for _, text := range w.reverts {
			r.Note("%s", text)
		}
	}
	r.judgeExits(exits, daemons)
	r.Faults = j.counts
	for _, k := range s.kinds {
		if j.counts[k] == 0 {
			r.FaultsMissing = append(r.FaultsMissing, k)
		}
	}
	return nil
}
