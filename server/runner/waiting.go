package runner

import (
	"expvar"

	"go.uber.org/zap"
)

// The items that this daemon should run, those that it runs, and those that can't start for
// lack of capacity.
var (
	runsWanted  = expvar.NewInt("runs_wanted")
	runsActive  = expvar.NewInt("runs_active")
	runsWaiting = expvar.NewInt("runs_waiting")
)

// noteWaiting publishes how many items wait for capacity, and logs when the first one begins to
// wait and when none does any more.
func (r *Runner) noteWaiting(waiting int) {
	if (waiting > 0) != (r.waiting > 0) {
		r.log.Info("items wait for capacity", zap.Int("waiting", waiting), zap.Int("wanted", len(r.wanted)), zap.Int("active", len(r.active)), zap.Int("runs", r.load.runs), zap.Int64("bytes", r.load.bytes),
			zap.Int("max_runs", r.cfg.Capacity.Runs), zap.Int64("max_bytes", r.cfg.Capacity.Bytes))
	}
	r.waiting = waiting
	runsWanted.Set(int64(len(r.wanted)))
	runsActive.Set(int64(len(r.active)))
	runsWaiting.Set(int64(waiting))
}
