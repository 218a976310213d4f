package main

import (
	"net/http"
)

// maxKillerCrashes is the number of engines that one killer request may crash. The
// daemons refuse it after quarantine.RefusalStrikes strikes, but it may crash more
// engines before all daemons know of the strikes, or while it shares an engine with
// other requests.
const maxKillerCrashes = 8

// evaluateKillers counts the engines that each killer request ran on, the killer
// requests that not every daemon refused in the end, and the other requests that were
// quarantined.
func (r *Result) evaluateKillers(requests []requestRecord, index *journalIndex) {
	ran, refusals := make(map[int]int), make(map[int]int) // refusals: consecutive, at the end
	for _, req := range requests {
		quarantined := req.Status == http.StatusUnprocessableEntity
		if req.Killer == 0 {
			if quarantined {
				r.OthersQuarantined++
				r.Errorf("request %s at daemon %d was quarantined: %s", req.RequestID, req.Daemon+1, req.Error)
			}
			continue
		}
		ran[req.Killer] += index.executions[req.RequestID]
		refusals[req.Killer]++
		if !quarantined {
			refusals[req.Killer] = 0
		}
	}
	for killer, n := range ran {
		r.KillerCrashes = max(r.KillerCrashes, n)
		if refusals[killer] < daemonCount {
			r.KillersNotRefused++
			r.Errorf("killer request %d ran %d times and was not refused by each daemon in the end", killer, n)
		}
	}
}
