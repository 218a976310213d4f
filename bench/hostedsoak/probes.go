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
	probePrefix     = "probe-" // of the ids of probes
	probeInterval   = 150 * time.Millisecond
	probeTimeout    = time.Second
	revertTolerance = 250 * time.Millisecond // after a version was first found, during which responses may still lack it
	maxApplyDelay   = 2 * time.Second        // until a version is in force on undisturbed daemons
)

// probe is a daemon's response to a request to a version's probe route.
type probe struct {
	daemon, version, pid int
	sent                 time.Time
	found                bool // the version's route and key exist
}

// startProbes sends requests to the newest probe routes of every daemon until ctx
// ends. The returned group is done when the last probe has ended.
func startProbes(ctx context.Context, d *deployment, r *Result, j *injector) *sync.WaitGroup {
	var done sync.WaitGroup
	for i := range daemonCount {
		done.Add(1)
		duty.Run(d.system, "watch-"+daemonName(i), func() {
			defer done.Done()
			seen := make(map[[2]int]time.Time) // first time each version was found, by version and process ID
			for n := 0; ctx.Err() == nil; n++ {
				if p, ok := sendProbe(d, i, n); ok {
					r.evaluateProbe(p, seen, d.operator, j)
				}
				r.probeRevokedKey(d, j, i, n)
				duty.Sleep(ctx, probeInterval)
			}
		})
	}
	return &done
}

// sendProbe probes the newest version and the previous one in turn. It reports
// whether the response is conclusive: the process did not restart meanwhile and
// the version's route was not removed by newer versions.
func sendProbe(d *deployment, daemon, n int) (probe, bool) {
	newest := d.operator.newestVersion()
	p := probe{daemon: daemon, version: max(1, newest-n%probeRouteCount), sent: time.Now()}
	running := d.daemons[daemon].Current()
	if running == nil {
		return p, false
	}
	p.pid = running.PID()
	id := fmt.Sprintf("%s%d-%d", probePrefix, daemon, n)
	response := d.clientWith(probeKey(p.version)).Send(context.Background(), d.callerAddresses[daemon], platform.Call{
		Method: http.MethodPost, Path: probePath(p.version), RequestID: id, Deadline: probeTimeout,
	})
	p.found = response.Status == http.StatusOK
	newestAfter := d.operator.newestVersion()
	current := d.daemons[daemon].Current()
	conclusive := response.Err == nil && (p.found || response.Status == http.StatusNotFound || response.Status == http.StatusUnauthorized) && p.version > newestAfter-probeRouteCount
	return p, conclusive && current != nil && current.PID() == p.pid
}

// evaluateProbe checks that a process doesn't revert to an older version and that
// it applies a version within maxApplyDelay of its publication.
func (r *Result) evaluateProbe(p probe, seen map[[2]int]time.Time, o *operator, j *injector) {
	r.probes.Add(1)
	key := [2]int{p.version, p.pid}
	if p.found {
		if seen[key].IsZero() {
			seen[key] = time.Now()
		}
		return
	}
	if firstSeen := seen[key]; !firstSeen.IsZero() && p.sent.Sub(firstSeen) > revertTolerance {
		r.Countf(&r.ConfigReverts, "%s had version %d at %s but no longer at %s", daemonName(p.daemon), p.version, firstSeen.Format("15:04:05.000"), p.sent.Format("15:04:05.000"))
	}
	if delay := p.sent.Sub(o.publishedAt(p.version)); delay > maxApplyDelay && j.undisturbed(p.daemon, p.sent) {
		r.Countf(&r.ConfigLate, "%s does not have version %d after %s", daemonName(p.daemon), p.version, delay)
	}
}
