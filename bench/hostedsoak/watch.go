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
	probeEvery    = 150 * time.Millisecond
	probeLimit    = time.Second
	rollbackSlack = 250 * time.Millisecond // a version once seen stays in force from so long after
	applyBound    = 2 * time.Second        // until a version is in force on daemons in touch
)

// probe is what a daemon said of a version's route.
type probe struct {
	daemon, version, process int
	sent                     time.Time
	found                    bool
}

// watch asks every daemon for the routes of the newest versions until ctx ends.
func watch(ctx context.Context, d *deployment, r *Result, j *injector) *sync.WaitGroup {
	var done sync.WaitGroup
	for i := range daemonCount {
		done.Add(1)
		duty.Run(d.system, "watch-"+daemonName(i), func() {
			defer done.Done()
			seen := make(map[[2]int]time.Time) // when a version's effect was seen, by version and process
			for n := 0; ctx.Err() == nil; n++ {
				if p, ok := ask(d, i, n); ok {
					r.judgeProbe(p, seen, d.operator, j)
				}
				duty.Sleep(ctx, probeEvery)
			}
		})
	}
	return &done
}

// ask probes the newest version, or the one before in every other turn. It
// reports whether the answer says something of that version.
func ask(d *deployment, daemon, n int) (probe, bool) {
	newest := d.operator.newest()
	p := probe{daemon: daemon, version: max(1, newest-n%probesKept), sent: time.Now()}
	running := d.daemons[daemon].Current()
	if running == nil {
		return p, false
	}
	p.process = running.PID()
	id := fmt.Sprintf("probe-%d-%d", daemon, n)
	a := d.client.Send(context.Background(), d.callers[daemon], platform.Call{
		Method: http.MethodPost, Path: probePath(p.version), ID: id, Deadline: probeLimit,
	})
	p.found = a.Status == http.StatusOK
	after := d.operator.newest()
	still := d.daemons[daemon].Current()
	sure := a.Err == nil && (p.found || a.Status == http.StatusNotFound) && p.version > after-probesKept
	return p, sure && still != nil && still.PID() == p.process
}

// judgeProbe compares an answer with what the same process said before, and
// with when the version was published.
func (r *Result) judgeProbe(p probe, seen map[[2]int]time.Time, o *operator, j *injector) {
	r.probes.Add(1)
	key := [2]int{p.version, p.process}
	if p.found {
		if seen[key].IsZero() {
			seen[key] = time.Now()
		}
		return
	}
	if first := seen[key]; !first.IsZero() && p.sent.Sub(first) > rollbackSlack {
		r.Count(&r.ConfigReverts, "%s had version %d at %s and not at %s", daemonName(p.daemon), p.version, first.Format("15:04:05.000"), p.sent.Format("15:04:05.000"))
	}
	if late := p.sent.Sub(o.when(p.version)); late > applyBound && j.inTouch(p.daemon, p.sent) {
		r.Count(&r.ConfigLate, "%s does not have version %d after %s", daemonName(p.daemon), p.version, late)
	}
}
