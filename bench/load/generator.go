package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dotterelmount.example/bench/check"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ring"
)

const (
	// workerCount is the maximum number of requests in progress. Workers share
	// threads, because they wait for the network nearly all the time.
	workerCount = 1500
	// arrivalRingSize is the maximum number of arrivals that wait for a worker.
	// The wait counts as latency.
	arrivalRingSize = 1 << 16
	// outcomeRingSize is the maximum number of outcomes queued for the recorder.
	outcomeRingSize = 4096
)

// requestOutcome is the outcome of the request of one arrival.
type requestOutcome struct {
	class    int
	measured bool          // intended to be sent after the warm-up
	latency  time.Duration // since the intended send time
	lag      time.Duration // from the intended until the actual send time
	err      error
}

// generator sends a schedule open-loop: each request is sent at its time,
// independent of the responses to earlier ones.
type generator struct {
	experiment  *Experiment
	schedule    []arrival
	addresses   []string
	stream      bool // request streamed responses; engines support no others
	client      *http.Client
	dueArrivals *ring.Ring[*arrival]
	recorder    *duty.Duty[requestOutcome]
	start       time.Time
}

// pacer passes arrivals to the workers at their intended times.
type pacer struct{ generator *generator }

// Handle runs the whole schedule and closes the ring of arrivals.
func (p pacer) Handle(ctx context.Context, _ struct{}) {
	g := p.generator
	defer g.dueArrivals.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range g.schedule {
		if wait := time.Until(g.start.Add(g.schedule[i].offset)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		if g.dueArrivals.Push(ctx, &g.schedule[i]) != nil {
			return
		}
	}
}

// worker sends the requests of arrivals one after another.
type worker struct {
	generator *generator
	ctx       context.Context // ends with the phase
}

// Handle sends requests until the schedule or the phase ends.
func (w worker) Handle(_ context.Context, done chan<- struct{}) {
	for {
		a, err := w.generator.dueArrivals.Pop(w.ctx)
		if err != nil {
			done <- struct{}{}
			return
		}
		w.generator.send(w.ctx, a)
	}
}

// send sends the request of an arrival and records its outcome.
func (g *generator) send(ctx context.Context, a *arrival) {
	intended := g.start.Add(a.offset)
	lag := time.Since(intended)
	caller := check.Caller{Customer: a.customer, Client: g.client, Deadline: g.experiment.Deadline}
	callCtx, cancel := context.WithDeadline(ctx, intended.Add(2*g.experiment.Deadline))
	defer cancel()
	_, err := caller.Chat(callCtx, g.addresses[a.target], check.ChatRequest{
		Model: model, Messages: a.prompt, MaxTokens: a.maxTokens, Stream: g.stream,
	})
	// The recorder outlives the workers, so this fails only if the phase is cancelled.
	_ = g.recorder.PostWait(ctx, requestOutcome{
		class: a.class, measured: a.offset >= g.experiment.Warmup, latency: time.Since(intended), lag: lag, err: err,
	})
}

// run sends the schedule and returns when all requests have ended. Errors:
// ctx.Err().
func (g *generator) run(ctx context.Context) error {
	system := duty.NewSystem(nil)
	g.dueArrivals = ring.New[*arrival](arrivalRingSize)
	done := make(chan struct{}, workerCount)
	var workers []*duty.Duty[chan<- struct{}]
	for i := range workerCount {
		cfg := duty.Config{Name: fmt.Sprintf("worker-%d", i), RingSize: 1, Unlocked: true}
		w := duty.Start(system, cfg, duty.Handler[chan<- struct{}](worker{generator: g, ctx: ctx}))
		if err := w.Post(done); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	pacing := duty.Start(system, duty.Config{Name: "pacer", RingSize: 1}, duty.Handler[struct{}](pacer{g}))
	g.start = time.Now()
	if err := pacing.Post(struct{}{}); err != nil {
		return err
	}
	for range workerCount {
		<-done // workers end with the schedule or ctx
	}
	for _, w := range workers {
		if err := w.Stop(ctx); err != nil {
			return err
		}
	}
	g.client.CloseIdleConnections()
	return pacing.Stop(ctx)
}
