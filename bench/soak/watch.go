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

// versionWatch polls a daemon's revisions and weight versions, which must never
// decrease, not even across a restart.
type versionWatch struct {
	daemon *supervise.Process
	done   *sync.WaitGroup

	last    map[string]api.Offset // the highest seen, by name
	reverts []string
	polls   int
}

// startWatches watches every daemon until ctx ends. The watches may be read after done
// is released.
func startWatches(ctx context.Context, d *deployment, done *sync.WaitGroup) []*versionWatch {
	var watches []*versionWatch
	for _, s := range d.daemons {
		w := &versionWatch{daemon: s, done: done, last: make(map[string]api.Offset)}
		done.Add(1)
		worker := duty.Start(d.system, duty.Config{Name: "watch-" + s.Name, RingSize: 1}, duty.Handler[context.Context](w))
		// Can't fail: the ring has room for the only message.
		_ = worker.Post(ctx)
		watches = append(watches, w)
	}
	return watches
}

// Handle polls until ctx, the message, ends.
func (w *versionWatch) Handle(_ context.Context, ctx context.Context) {
	defer w.done.Done()
	for {
		w.poll(ctx)
		if !duty.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// poll reads the versions if the daemon is ready; before that it may not have read
// its configuration.
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
	// The keys name the versions in reports of reverts; "through" is the applied offset.
	now := map[string]api.Offset{"through": v.AppliedOffset, "plan list": v.PlansRevision, "usage list": v.UsageRevision}
	for _, m := range v.Marks {
		now["mark of "+string(m.Upstream)] = m.Revision
	}
	for _, m := range v.Weights {
		now["weights of "+string(m.Model)] = api.Offset(m.Version)
	}
	w.compare(now)
}

// compare compares versions with the highest seen before. A missing version counts as
// decreased.
func (w *versionWatch) compare(now map[string]api.Offset) {
	for name, before := range w.last {
		if now[name] < before {
			w.reverts = append(w.reverts, fmt.Sprintf("%s: %s decreased from %d to %d", w.daemon.Name, name, before, now[name]))
		}
	}
	for name, version := range now {
		w.last[name] = max(w.last[name], version)
	}
}
