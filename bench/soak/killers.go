package main

import (
	"net/http"
)

// maxKillerCrashes is how many engines one killer request may end: two alone
// condemn it, and as long as its daemons don't know that yet, or it shared an
// engine, it may end some more.
const maxKillerCrashes = 8

// evaluateKillers counts how many engines each killer request ran on, whether it
// was refused by each daemon in the end, and others that were refused with it.
func (r *Result) evaluateKillers(requests []requestRecord, e *journalIndex) {
	ran, refusals := make(map[int]int), make(map[int]int) // refusals: in a row, at the end
	for _, a := range requests {
		condemned := a.Status == http.StatusUnprocessableEntity
		if a.Killer == 0 {
			if condemned {
				r.InnocentCondemned++
				r.Errorf("request %s at daemon %d was condemned: %s", a.RequestID, a.Daemon+1, a.Error)
			}
			continue
		}
		ran[a.Killer] += e.executions[a.RequestID]
		refusals[a.Killer]++
		if !condemned {
			refusals[a.Killer] = 0
		}
	}
	for killer, n := range ran {
		r.KillerCrashes = max(r.KillerCrashes, n)
		if refusals[killer] < daemonCount {
			r.KillersUnrefused++
			r.Errorf("killer request %d ran %d times and was not refused by each daemon in the end", killer, n)
		}
	}
}
