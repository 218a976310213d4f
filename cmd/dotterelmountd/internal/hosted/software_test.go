package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
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

// Guards against streams continued at other software within one response.
func TestStreamIsNotContinuedAtOtherSoftware(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 40, 20*time.Millisecond
	}
	d.release(2)
	for n := range 6 {
		id := fmt.Sprint("s", n)
		body := d.cutStream(id)
		assert.Assert(t, !strings.Contains(body, "@v1") || !strings.Contains(body, "@v2"), "%s", body)
	}
}

// cutStream reads a stream while the server that began it restarts, and returns what
// arrived.
func (d *deployment) cutStream(id string) string {
	crash := time.AfterFunc(200*time.Millisecond, func() {
		for _, m := range d.models {
			if m.RunCount(id) > 0 {
				m.Restart(time.Second, m.InstanceID())
				return
			}
		}
	})
	defer crash.Stop()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.daemons[0].settings.CallerAddress+streamPath+"x", strings.NewReader("hello"))
	assert.NilError(d.t, err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Model", model)
	r.Header.Set("X-Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(d.t, err)
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body) // a stream that can't go on is cut
	return string(data)
}
