package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// release makes the servers from first on run newer software.
func (d *deployment) release(first int) {
	for i, m := range d.models[first:] {
		m.Restart(0, fmt.Sprint("newer-", first+i))
		m.SetSoftware("v2")
	}
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, n := range d.daemons {
			newer := 0
			for _, u := range n.View().UpstreamsOf("engines") {
				if u.Software == "v2" {
					newer++
				}
			}
			if newer != len(d.models)-first {
				return poll.Continue("%d newer servers", newer)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against texts of batch jobs joined from two software versions.
func TestTextsAreNotJoinedAcrossSoftwareVersions(t *testing.T) {
	for name, crash := range map[string]int{"the old version is gone": 1, "the old version serves beside": 2} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2)
			defer d.stopAll()
			for _, m := range d.models {
				m.EventsPerItem, m.EventInterval = 60, 50*time.Millisecond
			}
			d.release(crash)
			assert.Equal(t, d.submit(d.daemons[0], "job1", 4, 1).status, http.StatusAccepted)
			time.Sleep(2500 * time.Millisecond) // part of the texts is stored
			d.models[0].Crash()
			d.checkTexts(d.results(d.daemons[1], "job1", 8))
		})
	}
}
