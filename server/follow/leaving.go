package follow

import (
	"sync"

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

// Leaving reports that a response says that its upstream leaves. It never blocks.
func (w *Watcher) Leaving(u *directory.Upstream) {
	l := leavingUpstream{id: u.ID, startMillis: u.StartMillis}
	if !w.leaving.add(l) {
		return
	}
	if err := w.applier.Post(l); err != nil {
		w.leaving.known.Delete(l) // the next response reports it again
		w.log.Warn("report of a leaving upstream dropped", zap.String("upstream", string(u.ID)), zap.Error(err))
	}
}

// noteLeaving logs that an upstream leaves.
func (w *Watcher) noteLeaving(l leavingUpstream) {
	listed, ok := w.View().Upstreams[l.id]
	w.log.Info("upstream leaves", zap.String("upstream", string(l.id)), zap.Bool("listed", ok), zap.Bool("draining", ok && listed.Draining))
}
