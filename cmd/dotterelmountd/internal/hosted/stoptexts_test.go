package hosted

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a planned stop that throws away what the daemon's runs have generated, so that the
// items begin anew elsewhere and miss their step.
func TestRunsGoOnAfterStopOfTheirDaemon(t *testing.T) {
	d := newDeployment(t, 1)
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 40, 50*time.Millisecond
	}
	assert.Equal(t, d.submit(d.daemons[0], "job1", 3, 1).status, http.StatusAccepted)
	arrivals := func() (all []platform.Arrival) {
		for _, m := range d.models {
			all = append(all, m.Arrivals()...)
		}
		return all
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		begun := arrivals()
		if len(begun) < 6 || slices.ContainsFunc(begun, func(a platform.Arrival) bool { return len(a.EventVersions) < 4 }) {
			return poll.Continue("%d runs, or less than four events", len(begun))
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
	d.stopAll()
	d.daemons = nil
	defer d.stopAll()
	d.checkTexts(d.results(d.start(), "job1", 6))
	runs := make(map[string]int)
	for _, a := range arrivals() {
		if runs[a.RequestID]++; runs[a.RequestID] > 1 {
			assert.Check(t, a.LastEventID >= 4, "%s goes on after event %d", a.RequestID, a.LastEventID)
		}
	}
	assert.Equal(t, len(runs), 6)
}
