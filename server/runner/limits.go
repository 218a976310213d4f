package runner

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"go.uber.org/zap"
)

// limitWait is an item's wait for the request limit of its upstream.
type limitWait struct {
	upstream api.UpstreamID
	since    time.Time
}

// admit reports whether the request limit of an item's upstream allows a run now. An item
// that has to wait long is moved to another upstream.
func (r *Runner) admit(key batch.ItemKey, wanted batch.Run, now time.Time) bool {
	waiting := r.limited[key]
	isNew := waiting.upstream != wanted.Upstream
	if isNew {
		r.deps.Limits.Want(wanted.Upstream)
	}
	wait := r.deps.Limits.Take(wanted.Upstream, now)
	if wait == 0 {
		delete(r.limited, key)
		return true
	}
	r.retryAt[key] = now.Add(min(wait, r.cfg.RetryDelay))
	switch {
	case isNew:
		r.limited[key] = limitWait{upstream: wanted.Upstream, since: now}
		r.log.Info("run waits for a request limit", zap.String("job", string(key.Job)), zap.String("item", string(key.Item)), zap.String("upstream", string(wanted.Upstream)))
	case now.Sub(waiting.since) >= r.cfg.MaxLimitWait:
		delete(r.limited, key)
		r.proposeMove(key, wanted, "the upstream's request limit leaves no room")
	}
	return false
}
