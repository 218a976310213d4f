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
	c.Windows, c.MaxInFlight, c.RingSize, c.MaxWaiting = true, 16, 64, 64
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

// recordingServer runs one request at a time and records who began, in order.
type recordingServer struct {
	fullServer
	release chan struct{}
	began   []string
}

func newRecordingServer() *recordingServer {
	s := &recordingServer{release: make(chan struct{}, 64)}
	s.capacity, s.work = 1, func(q *opaque.Request) {
		s.mu.Lock()
		s.began = append(s.began, fmt.Sprint(q.Customer, q.Priority))
		s.mu.Unlock()
		<-s.release
	}
	return s
}

// serve sends requests of customers with priorities, the first alone and the others in order while
// it runs, and returns the order in which they began.
func (s *recordingServer) serve(t *testing.T, requests ...*opaque.Request) []string {
	t.Helper()
	r := startConfigured(t, s, withWindows, directory.Upstream{ID: "a", Slots: 1})
	var wg sync.WaitGroup
	for n, q := range requests {
		j := newJob(t.Context(), q)
		assert.NilError(t, r.submit(j))
		wg.Go(func() {
			_, _, err := r.wait(j)
			assert.Check(t, err == nil, "%v", err)
		})
		if n > 0 {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.began) == 0 {
				return poll.Continue("not begun")
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	for range requests {
		s.release <- struct{}{}
	}
	wg.Wait()
	return s.began
}

// While an upstream is full, the most urgent request that waits for it runs next.
func TestUrgentRequestIsStartedFirst(t *testing.T) {
	var requests []*opaque.Request
	for n, priority := range []int{0, 2, 2, 1, 0} {
		requests = append(requests, windowRequest(n, priority))
	}
	assert.DeepEqual(t, newRecordingServer().serve(t, requests...), []string{"0", "0", "1", "2", "2"})
}

// A small customer's request runs before the backlog of a large one that came first.
func TestSmallCustomerRunsBeforeBacklog(t *testing.T) {
	var requests []*opaque.Request
	for n, customer := range []string{"large", "large", "large", "large", "small"} {
		q := windowRequest(n, 0)
		q.Customer = customer
		requests = append(requests, q)
	}
	assert.DeepEqual(t, newRecordingServer().serve(t, requests...), []string{"large0", "small0", "large0", "large0", "large0"})
}

// If no more requests may wait, those of the customer that has the most go first.
func TestFullQueueRefusesLargestCustomer(t *testing.T) {
	s := newRecordingServer()
	r := startConfigured(t, s, func(c *Config) { withWindows(c); c.MaxWaiting = 3 }, directory.Upstream{ID: "a", Slots: 1})
	var large []*job
	for n := range 4 {
		q := windowRequest(n, 0)
		q.Customer, q.Deadline = "large", q.Deadline.Add(time.Duration(n)*time.Second)
		large = append(large, newJob(t.Context(), q))
		assert.NilError(t, r.submit(large[n]))
	}
	q := windowRequest(4, 0)
	q.Customer = "small"
	small := newJob(t.Context(), q)
	assert.NilError(t, r.submit(small))
	_, _, err := r.wait(large[3])
	var notRun *opaque.NotRunError
	assert.Assert(t, errors.As(err, &notRun) && notRun.RetryAfter > 0, "%v", err)
	for range 4 {
		s.release <- struct{}{}
	}
	_, _, err = r.wait(small)
	assert.NilError(t, err)
	for _, j := range large[:3] {
		_, _, err = r.wait(j)
		assert.NilError(t, err)
	}
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
