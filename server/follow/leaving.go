package follow

import (
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"go.uber.org/zap"
)

// leavingUpstream is a process of an upstream that says in its responses that it leaves.
type leavingUpstream struct {
	id          api.UpstreamID
	startMillis int64 // of the process, in Unix milliseconds
}

// leavingUpstreams are the processes that were reported as leaving, so that each is reported
// once. It is safe for concurrent use.
type leavingUpstreams struct{ known sync.Map }

func (l *leavingUpstreams) add(u leavingUpstream) bool {
	_, loaded := l.known.LoadOrStore(u, struct{}{})
	return !loaded
}

// Leaving reports that an incarnation of an upstream, with its start in Unix milliseconds,
// has said that it leaves. It returns true for the first report of it, and never blocks.
func (w *Watcher) Leaving(id api.UpstreamID, startMillis int64) bool {
	l := leavingUpstream{id: id, startMillis: startMillis}
	if !w.leaving.add(l) {
		return false
	}
	if err := w.applier.Post(l); err != nil {
		w.leaving.known.Delete(l) // the next response reports it again
		w.log.Warn("report of a leaving upstream dropped", zap.String("upstream", string(id)), zap.Error(err))
		return false
	}
	return true
}

// noteLeaving publishes that an upstream leaves.
func (w *Watcher) noteLeaving(l leavingUpstream) {
	listed, ok := w.View().Upstreams[l.id]
	w.log.Info("upstream leaves", zap.String("upstream", string(l.id)), zap.Bool("listed", ok), zap.Bool("draining", ok && listed.Draining))
	w.publish([]directory.Change{directory.UpstreamLeaving{ID: l.id, StartMillis: l.startMillis}})
}

// setLeaveTimes sets when upstreams go by the clock of this process, from the times left of
// descriptions that were just read.
func setLeaveTimes(changes []directory.Change, now time.Time) {
	for n, c := range changes {
		if l, ok := c.(directory.UpstreamListed); ok && l.Upstream.Draining && l.Upstream.LeavesIn > 0 {
			l.Upstream.LeavesAt = now.Add(l.Upstream.LeavesIn)
			changes[n] = l
		}
	}
}
