package main

import (
	"net/http"
)

// killerCrashBound is how many engines one killer request may end: two alone
// condemn it, and as long as its daemons don't know that yet, or it shared an
// engine, it may end some more.
const killerCrashBound = 8

// judgeKillers counts how many engines each killer request ran on, whether it
// was refused for good in the end, and others that were refused with it.
func (r *Result) judgeKillers(requests []asked, e *evidence) {
	ran, refused := make(map[int]int), make(map[int]bool)
	for _, a := range requests {
		condemned := a.Status == http.StatusUnprocessableEntity
		if a.Killer == 0 {
			if condemned {
				r.InnocentCondemned++
				r.note("request %s at daemon %d was condemned: %s", a.RequestID, a.Daemon+1, a.Error)
			}
			continue
		}
		ran[a.Killer] += e.ran[a.RequestID]
		refused[a.Killer] = refused[a.Killer] || condemned
	}
	for killer, n := range ran {
		r.KillerCrashes = max(r.KillerCrashes, n)
		if !refused[killer] {
			r.KillersUnrefused++
			r.note("killer request %d ran %d times and was never refused for good", killer, n)
		}
	}
}
