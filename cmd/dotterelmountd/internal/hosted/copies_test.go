package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// requestCounts counts requests by their id. It is safe for concurrent use.
type requestCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// next counts a request and returns its number, from 1.
func (c *requestCounts) next(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[id]++
	return c.counts[id]
}

// respondWithout responds to a request that a server doesn't run.
func respondWithout(w http.ResponseWriter, id, field string, status int) {
	w.Header().Set("X-Request-Id", id)
	w.Header().Set(field, "1")
	w.WriteHeader(status)
}

// Two failures and a late copy of the second one must not end an item that has three attempts
// (review/8).
func TestLateCopyOfFailureDoesNotEndItem(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	runs := &requestCounts{}
	for _, s := range d.models {
		s.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			if !strings.HasPrefix(id, "job1-") {
				return false
			}
			if runs.next(id) > 2 {
				s.SetFault(platform.FaultCopies)
				return false
			}
			respondWithout(w, id, "X-Response-Signature", http.StatusInternalServerError)
			return true
		}
	}
	assert.Equal(t, d.submit(d.daemons[0], "job1", 3, 1).status, http.StatusAccepted)
	d.checkTexts(d.results(d.daemons[0], "job1", 6))
}

// A refusal and its late copy must not make a request run twice that may run once, nor be
// refused though it runs (review/6).
func TestLateCopyOfRefusalDoesNotRepeatRequest(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, s := range d.plain[1:] {
		s.SetDraining(true) // repeats go to the first one
	}
	d.configure(2, platform.Route{Name: "once", PathPrefix: "/once/", Kind: "unsafe", Service: "plain", TimeoutMillis: 10000, LatencyTargetMillis: 10000, Attempts: 3})
	d.awaitConfig(2)
	s, sends := d.plain[0], &requestCounts{}
	s.SetFault(platform.FaultCopies)
	s.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		if sends.next(id) > 1 {
			return false
		}
		respondWithout(w, id, "X-Request-Not-Run", http.StatusServiceUnavailable)
		return true
	}
	for n := range 10 {
		id := fmt.Sprintf("once-%d", n)
		status, _, err := d.exchange("/once/x", id, nil)
		assert.NilError(t, err)
		runs := s.RunCount(id)
		assert.Assert(t, runs <= 1, "%s ran %d times", id, runs)
		assert.Assert(t, runs == 0 || status != http.StatusServiceUnavailable, "%s ran and was refused", id)
	}
}
