package appender_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/appender"
	"gotest.tools/v3/assert"
)

const farDeadline = time.Hour

func request(id string, ttl time.Duration) (appender.Request, *ring.Slot[error]) {
	done := ring.NewSlot[error]()
	r := appender.Request{
		Stream:   "s",
		Record:   eventlog.Record{ID: api.RecordID(id)},
		Deadline: time.Now().Add(ttl),
		Done:     func(err error) { done.Put(err) },
	}
	return r, done
}

func awaitCode(t *testing.T, done *ring.Slot[error]) api.Code {
	t.Helper()
	err, waitErr := done.Wait(t.Context())
	assert.NilError(t, waitErr)
	return api.CodeOf(err)
}

func TestResultOfAppend(t *testing.T) {
	const short = 100 * time.Millisecond
	cases := []struct {
		name string
		set  func(*memlog.Log)
		ttl  time.Duration
		want api.Code
	}{
		{"healthy", func(*memlog.Log) {}, farDeadline, ""},
		{"lost responses are retried", func(l *memlog.Log) { l.DropResponses(2) }, farDeadline, ""},
		{"outage", func(l *memlog.Log) { l.SetOutage(true) }, short, api.CodeLogUnavailable},
		{"all responses lost", func(l *memlog.Log) { l.DropResponses(1 << 30) }, short, api.CodeUnknownResult},
		{"deadline already passed", func(*memlog.Log) {}, -time.Second, api.CodeLogUnavailable},
		{"log blocks", func(l *memlog.Log) { l.SetDelay(farDeadline) }, short, api.CodeLogUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := memlog.New(memlog.Options{})
			c.set(log)
			a := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: 4, MaxBatch: 4, CallTimeout: short})
			r, done := request("r", c.ttl)
			assert.NilError(t, a.Append(r))
			assert.Equal(t, awaitCode(t, done), c.want)
			assert.NilError(t, a.Stop(t.Context()))
			assert.Equal(t, a.Outstanding(), 0)
		})
	}
}

func TestAmbiguousAttemptThenOutageIsUnknown(t *testing.T) {
	log := &outageAfterAppend{Log: memlog.New(memlog.Options{})}
	log.DropResponses(1)
	a := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: 4, MaxBatch: 4})
	r, done := request("r", 100*time.Millisecond)
	assert.NilError(t, a.Append(r))
	assert.Equal(t, awaitCode(t, done), api.CodeUnknownResult)
	assert.NilError(t, a.Stop(t.Context()))
}

// outageAfterAppend is a log that becomes unavailable after its first append.
type outageAfterAppend struct{ *memlog.Log }

func (o *outageAfterAppend) Append(ctx context.Context, s string, r []eventlog.Record) (api.Offset, error) {
	defer o.SetOutage(true)
	return o.Log.Append(ctx, s, r)
}

func TestFullAppenderRejectsAndStopFailsPending(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.SetOutage(true)
	a := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: 2, MaxBatch: 4})
	first, done1 := request("1", farDeadline)
	second, done2 := request("2", farDeadline)
	third, done3 := request("3", farDeadline)
	assert.NilError(t, a.Append(first))
	assert.NilError(t, a.Append(second))
	var full *duty.FullError
	assert.Assert(t, errors.As(a.Append(third), &full))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, a.Stop(ctx), context.Canceled)
	assert.Equal(t, awaitCode(t, done1), api.CodeLogUnavailable)
	assert.Equal(t, awaitCode(t, done2), api.CodeLogUnavailable)
	assert.Assert(t, done3.Put(nil), "Done of a rejected request was called")
	assert.Equal(t, api.CodeOf(a.Append(third)), api.CodeNotReady)
}

func TestStopAppendsQueuedRequestsInBatches(t *testing.T) {
	const requests = 100
	log := memlog.New(memlog.Options{})
	log.SetDelay(time.Millisecond)
	a := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: requests, MaxBatch: 50, FlushInterval: farDeadline})
	slots := make([]*ring.Slot[error], 0, requests)
	for i := range requests {
		r, done := request(fmt.Sprintf("r%d", i), farDeadline)
		assert.NilError(t, a.Append(r))
		slots = append(slots, done)
	}
	assert.NilError(t, a.Stop(t.Context()))
	for _, done := range slots {
		assert.Equal(t, awaitCode(t, done), api.Code(""))
	}
	assert.Assert(t, log.AppendCount() < requests/2, "%d appends", log.AppendCount())
}

// Under concurrent requests with outages and lost responses, every accepted
// request gets exactly one result, and the result matches the log.
func TestEveryRequestGetsOneResultThatMatchesLog(t *testing.T) {
	const producers, each = 8, 200
	log := memlog.New(memlog.Options{})
	a := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: 64, MaxBatch: 16, CallTimeout: time.Second})
	var mu sync.Mutex
	results := make(map[api.RecordID][]api.Code)
	accepted := 0
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range each {
				id := api.RecordID(fmt.Sprintf("%d-%d", p, i))
				r, done := request(string(id), 20*time.Millisecond)
				r.Stream = fmt.Sprintf("s%d", p%3)
				r.Done = func(err error) {
					mu.Lock()
					defer mu.Unlock()
					results[id] = append(results[id], api.CodeOf(err))
					done.Put(err)
				}
				log.SetOutage(i%7 == 0)
				log.DropResponses(i % 2)
				if a.Append(r) != nil {
					continue
				}
				mu.Lock()
				accepted++
				mu.Unlock()
				if i%8 == 0 { // let the ring drain now and then
					_, err := done.Wait(t.Context())
					assert.Check(t, err == nil)
				}
			}
		})
	}
	wg.Wait()
	log.SetOutage(false)
	assert.NilError(t, a.Stop(t.Context()))
	stored := make(map[api.RecordID]bool)
	for _, name := range log.Streams() {
		batches, err := log.Read(t.Context(), []eventlog.Position{{Stream: name, Offset: 1}}, 1<<20, 0)
		assert.NilError(t, err)
		for _, e := range batches[0].Entries {
			stored[e.ID] = true
		}
	}
	assert.Equal(t, len(results), accepted)
	for id, codes := range results {
		assert.Equal(t, len(codes), 1, "%s", id)
		switch codes[0] {
		case "":
			assert.Assert(t, stored[id], "%s is not in the log", id)
		case api.CodeLogUnavailable:
			assert.Assert(t, !stored[id], "%s is in the log", id)
		default:
			assert.Equal(t, codes[0], api.CodeUnknownResult)
		}
	}
	t.Logf("%d accepted, %d appends", accepted, log.AppendCount())
}
