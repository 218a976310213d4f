package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/duty"
)

const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = time.Second
)

// versionWatch reads a daemon's versions over time; they must never go back, also not
// over a restart.
type versionWatch struct {
	daemon *supervise.Process
	done   *sync.WaitGroup

	last    map[string]api.Offset
	reverts []string
	polls   int
}

// startWatches watches every daemon until ctx ends; wait for done before
// reading the watches.
func startWatches(ctx context.Context, d *deployment, done *sync.WaitGroup) []*versionWatch {
	var watches []*versionWatch
	for _, s := range d.daemons {
		w := &versionWatch{daemon: s, done: done, last: make(map[string]api.Offset)}
		done.Add(1)
		worker := duty.Start(d.system, duty.Config{Name: "watch-" + s.Name, RingSize: 1}, duty.Handler[context.Context](w))
		// An empty ring of one entry takes the only message.
		_ = worker.Post(ctx)
		watches = append(watches, w)
	}
	return watches
}

// Handle polls until ctx, which comes as the message, ends.
func (w *versionWatch) Handle(_ context.Context, ctx context.Context) {
	defer w.done.Done()
	for {
		w.poll(ctx)
		if !duty.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// poll looks only at a daemon that says it is ready: one that starts may not
// know anything yet.
func (w *versionWatch) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if !fleet.Ready(ctx, w.daemon.Address) {
		return
	}
	var v adminapi.StateView
	err := fleet.Do(ctx, fleet.Request{Method: http.MethodGet, Address: w.daemon.Address, Path: adminapi.PathState}, &v)
	if err != nil {
		return
	}
	w.polls++
	now := map[string]api.Offset{"through": v.AppliedOffset, "plan list": v.PlansRevision, "usage list": v.UsageRevision}
	for _, m := range v.Marks {
		now["mark of "+string(m.Upstream)] = m.Revision
	}
	for _, m := range v.Weights {
		now["weights of "+string(m.Model)] = api.Offset(m.Version)
	}
	w.compare(now)
}

// compare compares versions with those seen before; a missing one has gone back too.
func (w *versionWatch) compare(now map[string]api.Offset) {
	for what, before := range w.last {
		if now[what] < before {
			w.reverts = append(w.reverts, fmt.Sprintf("%s: %s went back from %d to %d", w.daemon.Name, what, before, now[what]))
		}
	}
	for what, version := range now {
		w.last[what] = max(w.last[what], version)
	}
}
