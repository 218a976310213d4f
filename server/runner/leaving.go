package runner

import "time"

// moveFromLeaving ends the runs on upstreams that are about to go, so that what they have
// generated is stored while the connection is sound, and moves their items. Until then they
// go on: whatever an upstream generates needn't be generated elsewhere.
func (r *Runner) moveFromLeaving(now time.Time) {
	if len(r.active) == 0 {
		return
	}
	upstreams := r.deps.View().Upstreams
	for _, active := range r.active {
		u := upstreams[active.Upstream]
		if active.finished || active.evicted || u == nil || u.LeavesAt.IsZero() || u.StartMillis != active.upstream.StartMillis {
			continue
		}
		if now.Add(r.cfg.LeaveMargin).After(u.LeavesAt) {
			active.evict("the upstream is about to go")
		}
	}
}
