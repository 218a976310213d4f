package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
)

const (
	startLimit   = 30 * time.Second
	closeLimit   = 30 * time.Second
	recoverLimit = 12 * time.Second
	calmBefore   = contact + time.Second // load without faults, so that all daemons are in touch
	calmStops    = 2                     // graceful stops in the calm, one after the other
	calmDrain    = 4 * time.Second
)

// play runs the parts in order. Errors end it early.
func play(ctx context.Context, runner *proc.Runner, r *Result, faults []fault) error {
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	d, err := start(starting, runner)
	if err != nil {
		return err
	}
	j := newInjector(d)
	l := &load{d: d, seed: r.Seed}
	var trainers []*trainer
	for i, model := range models {
		trainers = append(trainers, &trainer{d: d, model: model, r: r, j: j, rng: rand.New(rand.NewPCG(r.Seed, uint64(memberThreads+i)))})
	}
	stops := r.trouble(ctx, d, j, l, trainers, faults)
	r.recovered(ctx, d, l)
	for _, t := range trainers {
		t.readAgain(ctx)
	}
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
	defer stop()
	exits, err := d.close(closing)
	if err != nil {
		r.Note("end of a daemon: %v", err)
	}
	e := readEvidence(d)
	r.judgeRequests(l.asked, e)
	r.judgeSteps(trainers, e)
	r.judgeKillers(l.asked, e, j)
	r.judgeDrains(j.drains, l.asked, e, j)
	r.judgeStops(stops, l.asked, e)
	r.judgeOrders(d)
	r.judgeExits(exits)
	r.judgeFaults(j)
	r.Probes = int(r.probes.Load())
	return nil
}

// trouble makes load while the faults come, and ends with a calm in which
// daemons are stopped and a server drained. It returns these stops.
func (r *Result) trouble(ctx context.Context, d *deployment, j *injector, l *load, trainers []*trainer, faults []fault) []happened {
	begin := time.Now()
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	probes := watch(loaded, d, r, j)
	var users sync.WaitGroup
	users.Add(1 + len(trainers))
	duty.Run(d.system, "load", func() {
		defer users.Done()
		l.run(loaded)
	})
	for _, t := range trainers {
		duty.Run(d.system, "trainer-"+t.model, func() {
			defer users.Done()
			t.run(ctx, loaded)
		})
	}
	j.play(ctx, faults)
	stops := calmly(ctx, d, j)
	stopLoad()
	users.Wait()
	probes.Wait()
	r.Seconds = time.Since(begin).Seconds()
	return stops
}

// calmly stops some daemons, one after the other, and drains a server, without
// any other fault.
func calmly(ctx context.Context, d *deployment, j *injector) (stops []happened) {
	duty.Sleep(ctx, calmBefore)
	j.drain(ctx, d.engines[0], calmDrain)
	for i := range calmStops {
		h := happened{Kind: daemonTerm, Subject: daemonName(i), Begin: time.Now()}
		d.daemons[i].Terminate(ctx, stopLimit)
		h.End = time.Now()
		stops = append(stops, h)
		duty.Sleep(ctx, calmBefore)
	}
	return stops
}

// recovered reports whether, without faults, every daemon serves each kind of
// request within a bounded time.
func (r *Result) recovered(ctx context.Context, d *deployment, l *load) {
	ctx, cancel := context.WithTimeout(ctx, recoverLimit)
	defer cancel()
	r.Recovered = true
	for i := range daemonCount {
		for _, path := range []string{safePath, oncePath, streamPath} {
			for n := 0; ; n++ {
				a := l.ask(ctx, path, fmt.Sprintf("end-%d-%s-%d", i, path[1:len(path)-1], n), i, "")
				if a.Err == nil && a.Status == http.StatusOK {
					break
				}
				if !duty.Sleep(ctx, retryEvery) {
					r.Recovered = false
					r.Note("%s does not serve %s again: status %d, %v", daemonName(i), path, a.Status, a.Err)
					break
				}
			}
		}
	}
}

// judgeFaults counts the faults that were brought about.
func (r *Result) judgeFaults(j *injector) {
	for _, h := range j.past {
		if h.Kind != "" {
			r.Faults[h.Kind]++
		}
	}
	for _, k := range kinds() {
		if r.Faults[k] == 0 {
			r.FaultsMissing = append(r.FaultsMissing, k)
		}
	}
}
