package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

const (
	probeInterval   = 150 * time.Millisecond
	probeTimeout    = time.Second
	revertTolerance = 250 * time.Millisecond // a version once seen stays in force from so long after
	maxApplyDelay   = 2 * time.Second        // until a version is in force on daemons in touch
)

// probe is what a daemon said of a version's route.
type probe struct {
	daemon, version, pid int
	sent                 time.Time
	found                bool
}

// startProbes asks every daemon for the routes of the newest versions until ctx ends.
func startProbes(ctx context.Context, d *deployment, r *Result, j *injector) *sync.WaitGroup {
	var done sync.WaitGroup
	for i := range daemonCount {
		done.Add(1)
		duty.Run(d.system, "watch-"+daemonName(i), func() {
			defer done.Done()
			seen := make(map[[2]int]time.Time) // when a version's effect was seen, by version and process
			for n := 0; ctx.Err() == nil; n++ {
				if p, ok := sendProbe(d, i, n); ok {
					r.evaluateProbe(p, seen, d.operator, j)
				}
				duty.Sleep(ctx, probeInterval)
			}
		})
	}
	return &done
}

// sendProbe probes the newest version, or the one before in every other turn. It
// reports whether the answer says something of that version.
func sendProbe(d *deployment, daemon, n int) (probe, bool) {
	newest := d.operator.newestVersion()
	p := probe{daemon: daemon, version: max(1, newest-n%probeRouteCount), sent: time.Now()}
	running := d.daemons[daemon].Current()
	if running == nil {
		return p, false
	}
	p.pid = running.PID()
	id := fmt.Sprintf("probe-%d-%d", daemon, n)
	a := d.client.Send(context.Background(), d.callerAddresses[daemon], platform.Call{
		Method: http.MethodPost, Path: probePath(p.version), RequestID: id, Deadline: probeTimeout,
	})
	p.found = a.Status == http.StatusOK
	after := d.operator.newestVersion()
	still := d.daemons[daemon].Current()
	sure := a.Err == nil && (p.found || a.Status == http.StatusNotFound) && p.version > after-probeRouteCount
	return p, sure && still != nil && still.PID() == p.pid
}

// evaluateProbe compares an answer with what the same process said before, and
// with when the version was published.
func (r *Result) evaluateProbe(p probe, seen map[[2]int]time.Time, o *operator, j *injector) {
	r.probes.Add(1)
	key := [2]int{p.version, p.pid}
	if p.found {
		if seen[key].IsZero() {
			seen[key] = time.Now()
		}
		return
	}
	if first := seen[key]; !first.IsZero() && p.sent.Sub(first) > revertTolerance {
		r.Countf(&r.ConfigReverts, "%s had version %d at %s and not at %s", daemonName(p.daemon), p.version, first.Format("15:04:05.000"), p.sent.Format("15:04:05.000"))
	}
	if late := p.sent.Sub(o.publishedAt(p.version)); late > maxApplyDelay && j.undisturbed(p.daemon, p.sent) {
		r.Countf(&r.ConfigLate, "%s does not have version %d after %s", daemonName(p.daemon), p.version, late)
	}
}
