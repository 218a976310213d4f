package main

import (
	"context"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

const (
	faultLimit  = 5 // requests a second that a server takes under serverLimits
	calmLimit   = 4 // the same for all servers in the calm phase
	limitWindow = 4 * time.Second
	limitTime   = reconnectTime + 2*limitWindow
)

// limitPeriod is a period in which all servers named a limit.
type limitPeriod struct{ begin, end time.Time }

// setServerLimit makes a server name a limit for the given duration.
func setServerLimit(ctx context.Context, s *platform.Server, duration time.Duration) bool {
	s.SetRequestLimit(faultLimit)
	defer s.SetRequestLimit(0)
	duty.Sleep(ctx, duration)
	return true
}

// limitServers makes all servers name a limit for limitTime.
func limitServers(ctx context.Context, d *deployment) limitPeriod {
	p := limitPeriod{begin: time.Now()}
	for _, s := range d.servers() {
		s.SetRequestLimit(calmLimit)
		defer s.SetRequestLimit(0)
	}
	duty.Sleep(ctx, limitTime)
	p.end = time.Now()
	return p
}

// evaluateLimits counts the servers that got more requests in some limitWindow than one
// and a half times their limit allows and five more, from reconnectTime after they first
// named it.
func (r *Result) evaluateLimits(d *deployment, p limitPeriod) {
	for _, s := range d.servers() {
		most := s.MostReceived(p.begin, p.end, reconnectTime, limitWindow)
		r.LimitedRequests = max(r.LimitedRequests, most)
		if float64(most) > 1.5*calmLimit*limitWindow.Seconds()+5 {
			r.Countf(&r.LimitsExceeded, "%s got %d requests in %s at a limit of %d a second", s.InstanceID(), most, limitWindow, calmLimit)
		}
	}
}
