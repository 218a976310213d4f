package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"dotterelmount.example/bench/check"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/work"
)

const (
	workersPerDaemon = 6
	requestDeadline  = 10 * time.Second
)

// load sends requests through every daemon at a fixed rate until it is stopped.
// It doesn't measure latency: a worker whose request is late skips ticks.
type load struct {
	succeeded atomic.Int64
	failed    atomic.Int64
	workers   []*duty.Duty[struct{}]
}

// requester sends one request at each tick.
type requester struct {
	load    *load
	caller  *check.Caller
	address string
	request check.ChatRequest
}

// Handle implements duty.Handler; no messages are posted.
func (r *requester) Handle(context.Context, struct{}) {}

// Tick sends one request and counts its result.
func (r *requester) Tick(ctx context.Context) {
	if _, err := r.caller.Chat(ctx, r.address, r.request); err != nil {
		r.load.failed.Add(1)
		return
	}
	r.load.succeeded.Add(1)
}

// startLoad sends rate requests per second through each daemon, each for a
// response of the given number of tokens.
func (d *deployment) startLoad(rate float64, tokens int) *load {
	l := &load{}
	system := duty.NewSystem(nil)
	caller := &check.Caller{
		Customer: member, Deadline: requestDeadline,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workersPerDaemon}},
	}
	tick := time.Duration(workersPerDaemon / rate * float64(time.Second))
	for i, daemon := range d.daemons {
		for w := range workersPerDaemon {
			r := &requester{load: l, caller: caller, address: daemon.Address, request: check.ChatRequest{
				Model: model, MaxTokens: tokens, Stream: true,
				Messages: []work.Message{{Role: "user", Content: fmt.Sprintf("daemon %d, worker %d: len=%d", i, w, tokens)}},
			}}
			cfg := duty.Config{Name: "asker", RingSize: 1, Tick: tick}
			l.workers = append(l.workers, duty.Start(system, cfg, duty.Handler[struct{}](r)))
		}
	}
	return l
}

// stop ends the load. Errors: ctx.Err().
func (l *load) stop(ctx context.Context) error {
	for _, w := range l.workers {
		if err := w.Stop(ctx); err != nil {
			return err
		}
	}
	return nil
}
