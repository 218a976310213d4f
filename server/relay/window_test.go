package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fullServer runs one request at a time and refuses those beyond its capacity.
type fullServer struct {
	opaque.Exchanger
	mu       sync.Mutex
	held     int
	capacity int
	running  sync.Mutex
	work     func(q *opaque.Request)
}

func (s *fullServer) Exchange(_ context.Context, _ *directory.Upstream, q *opaque.Request) (*opaque.Response, error) {
	s.mu.Lock()
	if s.held >= s.capacity {
		s.mu.Unlock()
		return nil, &opaque.AttemptError{Execution: opaque.ExecutionNotRun, Busy: true, Cause: &opaque.FailedError{Reason: "scripted"}}
	}
	s.held++
	s.mu.Unlock()
	s.running.Lock()
	s.work(q)
	s.running.Unlock()
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
	return &opaque.Response{Status: 200}, nil
}

func withWindows(c *Config) {
	c.Windows, c.Workers, c.RingSize, c.MaxWaiting = true, 16, 64, 64
}

// windowRequest returns a request of its own content with a deadline far away.
func windowRequest(n int, priority int) *opaque.Request {
	q := newRequest(routes.KindOnce)
	q.RequestURI, q.Priority, q.Deadline = fmt.Sprint("/", n), priority, time.Now().Add(30*time.Second)
	q.ID = api.RequestID(q.RequestURI)
	return q
}

// Daemons that together have far more requests than a server holds wait for it, instead of
// being refused by it until their attempts are used up.
func TestRequestsWaitForWindowOfFullUpstream(t *testing.T) {
	s := &fullServer{capacity: 3, work: func(*opaque.Request) { <-time.After(2 * time.Millisecond) }}
	var wg sync.WaitGroup
	for d := range 3 {
		r := startConfigured(t, s, withWindows, directory.Upstream{ID: "a", Slots: 8})
		for n := range 20 {
			wg.Go(func() {
				_, _, err := r.Forward(t.Context(), windowRequest(100*d+n, 0))
				assert.Check(t, err == nil, "%v", err)
			})
		}
	}
	wg.Wait()
}

// While an upstream is full, the most urgent request that waits for it runs next.
func TestUrgentRequestIsStartedFirst(t *testing.T) {
	release := make(chan struct{}, 8)
	var mu sync.Mutex
	var order []int
	s := &fullServer{capacity: 1, work: func(q *opaque.Request) {
		mu.Lock()
		order = append(order, q.Priority)
		mu.Unlock()
		<-release
	}}
	r := startConfigured(t, s, withWindows, directory.Upstream{ID: "a", Slots: 1})
	started := func(count int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			mu.Lock()
			defer mu.Unlock()
			if len(order) < count {
				return poll.Continue("%d started", len(order))
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	var wg sync.WaitGroup
	send := func(n, priority int) {
		j := newJob(t.Context(), windowRequest(n, priority))
		assert.NilError(t, r.submit(j)) // in this order
		wg.Go(func() {
			_, _, err := r.wait(j)
			assert.Check(t, err == nil, "%v", err)
		})
	}
	send(0, 0)
	started(1)
	for n, priority := range []int{2, 2, 1, 0} {
		send(n+1, priority)
	}
	for range 5 {
		release <- struct{}{}
	}
	wg.Wait()
	assert.DeepEqual(t, order, []int{0, 0, 1, 2, 2})
}

// A request that a full upstream can't run before its deadline is refused at once, with the time after
// which there is room.
func TestRequestThatCannotRunInTimeIsRefusedAtOnce(t *testing.T) {
	release := make(chan struct{}, 1)
	s := &fullServer{capacity: 1, work: func(*opaque.Request) { <-release }}
	r := startConfigured(t, s, withWindows, directory.Upstream{ID: "a", Slots: 1})
	first := newJob(t.Context(), windowRequest(0, 0))
	assert.NilError(t, r.submit(first))
	q := windowRequest(1, 0)
	q.Route = &routes.Route{Kind: routes.KindOnce, MaxAttempts: 3, LatencyTarget: 20 * time.Second}
	_, _, err := r.Forward(t.Context(), q)
	release <- struct{}{}
	var notRun *opaque.NotRunError
	assert.Assert(t, errors.As(err, &notRun), "%v", err)
	assert.Assert(t, notRun.RetryAfter >= 10*time.Second, "%s", notRun.RetryAfter)
	_, _, err = r.wait(first)
	assert.NilError(t, err)
}
