package runner

import (
	"expvar"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/quarantine"
	"go.uber.org/zap"
)

// itemsPaused counts the pauses of items under whose runs upstreams were lost.
var itemsPaused = expvar.NewInt("items_paused")

// pauseAfterLosses delays the runs of items under which several upstreams were lost in a row.
func (r *Runner) pauseAfterLosses(now time.Time) {
	for key, wanted := range r.wanted {
		pause := quarantine.Pause(wanted.Losses)
		if pause == 0 || r.pausedAt[key] == wanted.Losses {
			continue
		}
		r.pausedAt[key] = wanted.Losses
		if until := now.Add(pause); until.After(r.retryAt[key]) {
			r.retryAt[key] = until
		}
		itemsPaused.Add(1)
		r.log.Info("item pauses after losses of upstreams", zap.String("job", string(key.Job)), zap.String("item", string(key.Item)),
			zap.Int("losses", wanted.Losses), zap.Duration("pause", pause))
	}
	for key := range r.pausedAt {
		if _, ok := r.wanted[key]; !ok {
			delete(r.pausedAt, key)
		}
	}
}

// proposeMoveAfterFailure proposes to place an item on another upstream after a run that
// failed, and says whether its upstream was lost.
func (r *Runner) proposeMoveAfterFailure(active *run) {
	r.logMove(active.key, active.Run, "the run failed")
	r.propose(&batch.ItemMoved{
		Job: active.key.Job, Item: active.key.Item, FromUpstream: active.Upstream,
		UpstreamLost: active.result.upstreamLost(),
	})
}
