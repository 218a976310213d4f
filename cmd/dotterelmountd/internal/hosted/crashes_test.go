package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// crashRecorder makes servers restart when they begin a request, and records the times.
type crashRecorder struct {
	mu    sync.Mutex
	times []time.Time
}

// crashOn makes a server crash under the requests that match, at most limit of them.
func (c *crashRecorder) crashOn(s *platform.Server, limit int, match func(*http.Request) bool) {
	const downtime = 200 * time.Millisecond
	s.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if !match(r) || !c.add(limit) {
			return false
		}
		s.Restart(downtime, s.InstanceID())
		panic(http.ErrAbortHandler)
	}
}

func (c *crashRecorder) add(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) >= limit {
		return false
	}
	c.times = append(c.times, time.Now())
	return true
}

// after returns the number of crashes from a time on.
func (c *crashRecorder) after(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, crash := range c.times {
		if crash.After(at) {
			n++
		}
	}
	return n
}

func (c *crashRecorder) count() int { return c.after(time.Time{}) }

// Guards against a request that crashes its servers at one daemon after the other.
func TestCrashingRequestIsQuarantinedAtAllDaemons(t *testing.T) {
	const contact, mostRetries, never = 4 * time.Second, 3, 1 << 20
	d := newDeployment(t, 3)
	defer d.stopAll()
	var c crashRecorder
	for _, p := range d.plain {
		c.crashOn(p, never, func(r *http.Request) bool { return r.URL.Path == memberPath+"crash" })
	}
	sent := 0
	send := func(n *Node, path string) response {
		sent++
		return d.call(n, http.MethodPost, memberPath+path, []byte("body"), map[string]string{"X-Request-Id": fmt.Sprint(path, sent), "X-Deadline-Ms": "2000"})
	}
	var quarantinedFrom time.Time
	for begin := time.Now(); ; {
		assert.Assert(t, time.Since(begin) < 30*time.Second)
		got := send(d.daemons[sent%3], "crash")
		assert.Assert(t, got.status >= http.StatusInternalServerError, "%d", got.status)
		if c.count() >= quarantine.RefusalStrikes && quarantinedFrom.IsZero() {
			quarantinedFrom = time.Now().Add(contact)
		}
		if !quarantinedFrom.IsZero() && time.Now().After(quarantinedFrom) {
			break
		}
		<-time.After(100 * time.Millisecond)
	}
	for range 4 {
		for _, n := range d.daemons {
			got := send(n, "crash")
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "not run, and refused at once")
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
	}
	assert.Assert(t, c.after(quarantinedFrom) <= mostRetries, "%d", c.after(quarantinedFrom))
	for _, n := range d.daemons {
		assert.Equal(t, send(n, "page").status, http.StatusOK)
	}
}

// Guards against an item that takes down one engine after the other as fast as it is moved.
func TestItemUnderWhichEnginesCrashPausesAndCompletes(t *testing.T) {
	const crashes = 4
	d := newDeployment(t, 2)
	defer d.stopAll()
	var c crashRecorder
	for _, m := range d.models {
		c.crashOn(m, crashes, func(r *http.Request) bool { return strings.HasSuffix(r.Header.Get("X-Request-Id"), "-0-0") })
	}
	assert.Equal(t, d.submit(d.daemons[0], "job1", 2, 1).status, http.StatusAccepted)
	d.checkTexts(d.results(d.daemons[1], "job1", 4))
	assert.Equal(t, c.count(), crashes)
	for n := 2; n < crashes; n++ {
		apart := c.times[n].Sub(c.times[n-1])
		assert.Assert(t, apart >= quarantine.Pause(n), "run %d began %s after the crash before", n+1, apart)
	}
}
