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

// load asks through every daemon at a fixed rate until it is stopped. It
// measures no latency: a worker that is late leaves requests out.
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

// Handle implements duty.Handler; nothing is posted.
func (a *requester) Handle(context.Context, struct{}) {}

// Tick asks once.
func (a *requester) Tick(ctx context.Context) {
	if _, err := a.caller.Chat(ctx, a.address, a.request); err != nil {
		a.load.failed.Add(1)
		return
	}
	a.load.succeeded.Add(1)
}

// startLoad asks each daemon for answers of some tokens, rate times a second.
func (f *deployment) startLoad(rate float64, tokens int) *load {
	l := &load{}
	system := duty.NewSystem(nil)
	caller := &check.Caller{
		Customer: member, Deadline: requestDeadline,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workersPerDaemon}},
	}
	tick := time.Duration(workersPerDaemon / rate * float64(time.Second))
	for i, d := range f.daemons {
		for w := range workersPerDaemon {
			a := &requester{load: l, caller: caller, address: d.Address, request: check.ChatRequest{
				Model: model, MaxTokens: tokens, Stream: true,
				Messages: []work.Message{{Role: "user", Content: fmt.Sprintf("daemon %d, worker %d: len=%d", i, w, tokens)}},
			}}
			cfg := duty.Config{Name: "asker", RingSize: 1, Tick: tick}
			l.workers = append(l.workers, duty.Start(system, cfg, duty.Handler[struct{}](a)))
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
