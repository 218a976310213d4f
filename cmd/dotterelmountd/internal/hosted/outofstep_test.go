package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// freezeView makes a daemon keep the upstreams as it knows them.
func (n *Node) freezeView(t *testing.T) {
	t.Helper()
	assert.NilError(t, n.watcher.Stop(context.Background()))
}

// releaseInPlace makes all engines run newer software under the IDs that they had.
func (d *deployment) releaseInPlace() {
	for _, m := range d.models {
		m.Restart(0, m.InstanceID())
		m.SetSoftware("v2")
	}
}

// Guards against streams that go on at other software at a daemon that missed a release.
func TestStreamIsNotResumedAtReleaseThatDaemonMissed(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 20, 20*time.Millisecond
	}
	status, first := d.stream(d.daemons[1], 3, map[string]string{"X-Request-Id": "s1"})
	assert.Equal(t, status, http.StatusOK)
	last := strings.Count(first, "\n\n")
	d.daemons[0].freezeView(t)
	d.releaseInPlace()
	status, rest := d.stream(d.daemons[0], 20, map[string]string{"X-Request-Id": "s2", "Resumes": "s1", "Last-Event-Id": fmt.Sprint(last)})
	assert.Assert(t, !strings.Contains(rest, "@v2"), "status %d: %s", status, rest)
}

// Guards against streams and texts whose software is taken from an outdated list of servers.
func TestDaemonThatMissedReleaseDoesNotMislabelWhatServersGenerate(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 20, 20*time.Millisecond
	}
	d.daemons[0].freezeView(t)
	d.releaseInPlace()
	<-time.After(2 * time.Second) // longer than a read of the list takes
	status, body := d.stream(d.daemons[0], 20, map[string]string{"X-Request-Id": "s1"})
	assert.Assert(t, !strings.Contains(body, "@v2"), "status %d: %s", status, body)
	assert.Equal(t, d.submit(d.daemons[0], "job1", 2, 1).status, http.StatusAccepted)
	<-time.After(time.Second)
	client := platform.Client{HTTP: http.DefaultClient, Host: host}
	got, resp := client.ReadResults(t.Context(), d.daemons[0].settings.CallerAddress, "job1", 0, 0, time.Second)
	assert.NilError(t, resp.Err)
	assert.Equal(t, len(got.Results), 0, "texts of v2 are listed as of v1")
}

// Guards against entries of another writer that stop a daemon from following the servers.
func TestDaemonFollowsServersBesideOddEntries(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	d.store.Put("keyed.servers", "nested", []byte(strings.Repeat("[", 200000)))
	d.store.Put("keyed.servers", "number", []byte(`{"service":"plain","address":"127.0.0.1:1","zone":"z","version":"v","slots":1e400,"state":"ready","seq":1}`))
	d.store.Put("keyed.servers", "port", []byte(`{"service":"plain","address":"127.0.0.1:70000","zone":"z","version":"v","slots":1,"state":"ready","seq":1}`))
	late := platform.NewServer(d.store, "late", "plain")
	defer late.Crash()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.daemons[0].View().Upstreams["late"] == nil {
			return poll.Continue("not listed")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
	assert.Equal(t, len(d.daemons[0].View().UpstreamsOf("plain")), len(d.plain)+1)
	assert.Equal(t, d.call(d.daemons[0], http.MethodPost, memberPath+"x", nil, map[string]string{"X-Request-Id": "r", "X-Deadline-Ms": "1000"}).status, http.StatusOK)
}

// Guards against callers that are told that a route doesn't exist by a daemon that can't know.
func TestRouteMissingFromOutdatedConfigurationIsNotDenied(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	call := func() int {
		return d.call(d.daemons[0], http.MethodPost, "/nowhere/", nil, map[string]string{"X-Request-Id": "r"}).status
	}
	assert.Equal(t, call(), http.StatusNotFound)
	d.store.SetMode(platform.ModeBusy)
	<-time.After(maxConfigAge + 1500*time.Millisecond) // a read that had begun may last 1 s more
	assert.Equal(t, call(), http.StatusServiceUnavailable)
	d.store.SetMode(platform.ModeUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := call(); status != http.StatusNotFound {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(4*time.Second))
}
