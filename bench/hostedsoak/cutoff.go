package main

import (
	"context"
	"net/http"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

// cutOffSet returns the daemons that a target cuts off: one up to all but one.
func cutOffSet(target int) []int {
	var out []int
	for i := range 1 + target%(daemonCount-1) {
		out = append(out, (target/daemonCount+i)%daemonCount)
	}
	return out
}

// cutOff partitions daemons from all servers for the given duration. draw selects whether
// connections hang, are closed, or only new ones are.
func (d *deployment) cutOff(ctx context.Context, daemons []int, draw int, duration time.Duration) bool {
	modes := []platform.CutMode{platform.CutHang, platform.CutReset, platform.CutNew}
	for _, s := range d.servers() {
		for _, i := range daemons {
			s.CutOff(daemonIP(i), modes[draw%len(modes)])
			defer s.Heal(daemonIP(i))
		}
	}
	duty.Sleep(ctx, duration)
	return true
}

// darken makes connections to a server carry no data for the given duration.
func darken(ctx context.Context, s *platform.Server, duration time.Duration) bool {
	s.CutOff(platform.AllCallers, platform.CutHang)
	defer s.Heal(platform.AllCallers)
	duty.Sleep(ctx, duration)
	return true
}

const (
	calmCutTime   = 7 * time.Second
	calmCutOffs   = 3 // daemons, the majority
	maxCutFailed  = 10
	cutFailedOnes = 50 // one in so many requests may fail besides maxCutFailed
)

// cutPeriod is a period without other faults in which daemons are cut off.
type cutPeriod struct {
	daemons    []int
	begin, end time.Time
}

// cutOffCalmly cuts off most of the daemons while there are no other faults, with another mode
// for each seed.
func cutOffCalmly(ctx context.Context, d *deployment, l *load, seed uint64) cutPeriod {
	l.noKillers.Store(true)
	defer l.noKillers.Store(false)
	p := cutPeriod{daemons: cutOffSet(calmCutOffs - 1), begin: time.Now()}
	d.cutOff(ctx, p.daemons, int(seed%3), calmCutTime)
	p.end = time.Now()
	return p
}

// evaluateCutOff counts requests that failed at cut-off daemons, from reconnectTime after the
// cut began, while the others reached all servers.
func (r *Result) evaluateCutOff(p cutPeriod, requests []requestRecord) {
	cut := make(map[int]bool)
	for _, i := range p.daemons {
		cut[i] = true
	}
	for _, req := range requests {
		if !cut[req.Daemon] || req.Killer != "" || req.Begin.Before(p.begin.Add(reconnectTime)) || req.End.After(p.end) {
			continue
		}
		r.CutOffRequests++
		if req.Err != nil || req.Status != http.StatusOK {
			r.CutOffFailed++
		}
	}
	if r.CutOffFailed > maxCutFailed+r.CutOffRequests/cutFailedOnes {
		r.Errorf("%d of %d requests failed at daemons cut off from %s", r.CutOffFailed, r.CutOffRequests, p.begin.Format("15:04:05.000"))
	}
}
