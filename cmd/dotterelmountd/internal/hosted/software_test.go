package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
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

// stream reads a stream up to its end or the given number of events, and closes it.
func (d *deployment) stream(n *Node, events int, header map[string]string) (status int, body string) {
	d.t.Helper()
	ctx, cancel := context.WithCancel(d.t.Context())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.settings.CallerAddress+streamPath+"x", strings.NewReader("hello"))
	assert.NilError(d.t, err)
	r.Host = host
	r.Header.Set("X-Model", model)
	r.Header.Set("X-Deadline-Ms", "5000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(d.t, err)
	defer resp.Body.Close()
	var got strings.Builder
	buf := make([]byte, 256)
	for strings.Count(got.String(), "\n\n") < events {
		k, err := resp.Body.Read(buf)
		got.Write(buf[:k])
		if err == io.EOF {
			break
		}
		assert.NilError(d.t, err)
	}
	return resp.StatusCode, got.String()
}

// Guards against streams that a client resumes at other software than began them,
// also after all daemons were lost.
func TestStreamIsResumedOnlyAtItsSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		newer     int // first server with newer software
		allKilled bool
		want      int // status of the resumed stream
	}{
		"old version serves, daemons lost":  {newer: 1, allKilled: true, want: http.StatusOK},
		"old version serves":                {newer: 1, want: http.StatusOK},
		"old version is gone, daemons lost": {newer: 0, allKilled: true, want: http.StatusServiceUnavailable},
		"old version is gone":               {newer: 0, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			defer d.stopAll()
			for _, m := range d.models {
				m.EventsPerItem, m.EventInterval = 20, 20*time.Millisecond
			}
			status, first := d.stream(d.daemons[0], 3, map[string]string{"X-Request-Id": "s1"})
			assert.Equal(t, status, http.StatusOK)
			last := strings.Count(first, "\n\n")
			d.release(c.newer)
			n := d.daemons[0]
			if c.allKilled {
				n = d.start() // knows of the stream only what the store has
			}
			for range 3 {
				status, rest := d.stream(n, 20, map[string]string{"X-Request-Id": "s2", "Resumes": "s1", "Last-Event-Id": fmt.Sprint(last)})
				assert.Equal(t, status, c.want)
				if c.want != http.StatusOK {
					continue
				}
				for e := last + 1; e <= 20; e++ {
					want := fmt.Sprintf("id: %d\ndata: %s\n\n", e, platform.EventData(platform.FirstSoftware, "s1", e))
					assert.Assert(t, strings.Contains(strings.ReplaceAll(rest, "s2-", "s1-"), want), "%q lacks %q", rest, want)
				}
			}
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
