package node

import (
	"fmt"
	"strconv"
	"strings"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
)

// runSeparator stands between a daemon's name and the start of one of its runs.
const runSeparator = "#"

// maxIncarnationRaises bounds how often a run raises the incarnation that it started with
// and is still known as the same run. Incarnations are start times in Unix
// milliseconds, and a process is not replaced within so few of them.
const maxIncarnationRaises = 32

// runID names one run of a daemon's process. A daemon that was restarted under
// its old name knows nothing of the samples that it ran before.
func runID(daemon api.DaemonID, incarnation uint64) api.DaemonID {
	return api.DaemonID(fmt.Sprintf("%s%s%d", daemon, runSeparator, incarnation))
}

// sameRun reports whether a member is in the run that id names.
func sameRun(id api.DaemonID, m membership.Member) bool {
	at := strings.LastIndex(string(id), runSeparator)
	if at < 0 || string(m.ID) != string(id)[:at] {
		return false
	}
	started, err := strconv.ParseUint(string(id)[at+len(runSeparator):], 10, 64)
	return err == nil && m.Incarnation >= started && m.Incarnation-started <= maxIncarnationRaises
}
