package dispatch

import "time"

const (
	// progressTokens is the minimum number of tokens averaged in one observation.
	progressTokens = 4
	// stallInterval is the minimum time between reports of the same stall.
	stallInterval = 20 * time.Millisecond
)

// watchProgress reports the token rate of running generations to the observers,
// so that a slow upstream is detected within a few tokens and not only when its
// calls end.
func (h *handler) watchProgress(now time.Time) {
	for _, f := range h.flights {
		for _, a := range f.running {
			a.observe(now)
		}
	}
}

// observe reports the progress of one call. The time to the first token is
// excluded because it depends on the prompt and on the upstream's queue.
func (a *attempt) observe(now time.Time) {
	tokens := a.task.Tokens.Load()
	if tokens == 0 {
		return
	}
	if a.reportedTokens == 0 {
		a.reportedTokens, a.reportedAt, a.stallReportedAt = tokens, now, now
		return
	}
	gained := tokens - a.reportedTokens
	waited := now.Sub(a.reportedAt)
	if gained >= progressTokens {
		a.upstream.observer.Progress(a.upstream.info.ID, waited/time.Duration(gained), now)
		a.reportedTokens, a.reportedAt, a.stallReportedAt = tokens, now, now
		return
	}
	if now.Sub(a.stallReportedAt) >= stallInterval {
		a.stallReportedAt = now
		a.upstream.observer.Stalled(a.upstream.info.ID, waited/time.Duration(gained+1), now)
	}
}
