package node

import (
	"fmt"
	"strconv"
	"strings"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
)

// runSeparator separates a daemon's name from the start time of one of its runs.
const runSeparator = "#"

// maxIncarnationRaises is the number of times that a run can raise its initial
// incarnation and still be recognized. Incarnations are start times in Unix
// milliseconds, and a process is not replaced within so few milliseconds.
const maxIncarnationRaises = 32

// runID returns the id of one run of a daemon's process. Runs have different ids,
// because a restarted daemon does not know the samples that it ran before.
func runID(daemon api.DaemonID, incarnation uint64) api.DaemonID {
	return api.DaemonID(fmt.Sprintf("%s%s%d", daemon, runSeparator, incarnation))
}

// sameRun reports whether a member is the run with the given id.
func sameRun(id api.DaemonID, m membership.Member) bool {
	at := strings.LastIndex(string(id), runSeparator)
	if at < 0 || string(m.ID) != string(id)[:at] {
		return false
	}
	started, err := strconv.ParseUint(string(id)[at+len(runSeparator):], 10, 64)
	return err == nil && m.Incarnation >= started && m.Incarnation-started <= maxIncarnationRaises
}
