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
	// workerCount is the number of requests that may be under way at once. They
	// sleep on the network nearly always, so they share threads.
	workerCount = 1500
	// arrivalRingSize is the number of arrivals that may wait for a worker; the wait
	// counts as latency.
	arrivalRingSize = 1 << 16
	// outcomeRingSize holds results on their way to the recorder.
	outcomeRingSize = 4096
)

// requestOutcome is what came of one arrival.
type requestOutcome struct {
	class    int
	measured bool          // the warm-up was over at the intended arrival
	latency  time.Duration // since the intended arrival
	lag      time.Duration // from the intended arrival until it was sent
	err      error
}

// generator sends a schedule, open-loop: an arrival is sent at its time
// whatever became of those before it.
type generator struct {
	experiment  *Experiment
	schedule    []arrival
	addresses   []string
	stream      bool // ask for streamed answers; engines know no others
	client      *http.Client
	dueArrivals *ring.Ring[*arrival]
	recorder    *duty.Duty[requestOutcome]
	start       time.Time
}

// pacer hands arrivals to the workers at their times.
type pacer struct{ generator *generator }

// Handle runs the whole schedule.
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

// worker sends arrivals one after another.
type worker struct {
	generator *generator
	ctx       context.Context // of the phase
}

// Handle works until the schedule is sent.
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

func (g *generator) send(ctx context.Context, a *arrival) {
	intended := g.start.Add(a.offset)
	lag := time.Since(intended)
	caller := check.Caller{Customer: a.customer, Client: g.client, Deadline: g.experiment.Deadline}
	asking, cancel := context.WithDeadline(ctx, intended.Add(2*g.experiment.Deadline))
	defer cancel()
	_, err := caller.Chat(asking, g.addresses[a.target], check.ChatRequest{
		Model: model, Messages: a.prompt, MaxTokens: a.maxTokens, Stream: g.stream,
	})
	// The recorder outlives the workers, so this fails only when the phase is cut.
	_ = g.recorder.PostWait(ctx, requestOutcome{
		class: a.class, measured: a.offset >= g.experiment.Warmup, latency: time.Since(intended), lag: lag, err: err,
	})
}

// run sends the schedule and returns when every answer is in. Errors: ctx.Err().
func (g *generator) run(ctx context.Context) error {
	system := duty.NewSystem(nil)
	g.dueArrivals = ring.New[*arrival](arrivalRingSize)
	done := make(chan struct{}, workerCount)
	var crew []*duty.Duty[chan<- struct{}]
	for i := range workerCount {
		cfg := duty.Config{Name: fmt.Sprintf("worker-%d", i), RingSize: 1, Unlocked: true}
		w := duty.Start(system, cfg, duty.Handler[chan<- struct{}](worker{generator: g, ctx: ctx}))
		if err := w.Post(done); err != nil {
			return err
		}
		crew = append(crew, w)
	}
	pace := duty.Start(system, duty.Config{Name: "pacer", RingSize: 1}, duty.Handler[struct{}](pacer{g}))
	g.start = time.Now()
	if err := pace.Post(struct{}{}); err != nil {
		return err
	}
	for range workerCount {
		<-done // each ends once the schedule is sent, or with ctx
	}
	for _, w := range crew {
		if err := w.Stop(ctx); err != nil {
			return err
		}
	}
	g.client.CloseIdleConnections()
	return pace.Stop(ctx)
}
