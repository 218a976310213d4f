package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

// Each request that an upstream began to run is counted once, at its first attempt that may
// have run.
func TestRequestsThatBeganAreCounted(t *testing.T) {
	answer, failure := &opaque.Response{Status: 200}, &opaque.Response{Status: 500}
	for _, c := range []struct {
		name     string
		outcomes []any // of the attempts; the last of all further ones
		owed     bool
		customer string
		want     int
	}{
		{"answered", []any{answer}, false, "c", 1},
		{"failed at each upstream", []any{failure}, false, "c", 1},
		{"not run, then answered", []any{attemptError(opaque.ExecutionNotRun), answer}, false, "c", 1},
		{"not run", []any{attemptError(opaque.ExecutionNotRun)}, false, "c", 0},
		{"not sent", []any{attemptError(opaque.ExecutionNotSent)}, false, "c", 0},
		{"lost", []any{attemptError(opaque.ExecutionUnknown)}, false, "c", 1},
		{"lost, then answered", []any{attemptError(opaque.ExecutionUnknown), answer}, false, "c", 1},
		{"of a job", []any{answer}, true, "c", 0},
		{"of nobody", []any{answer}, false, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			count, began := 0, time.Time{}
			s := &scriptedExchanger{respond: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
				switch o := c.outcomes[min(n, len(c.outcomes))-1].(type) {
				case *opaque.Response:
					return o, nil
				default:
					return nil, o.(error)
				}
			}}
			r := startConfigured(t, s, func(cfg *Config) {
				cfg.OnBegan = func(customer string, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					count, began = count+1, at
					assert.Equal(t, customer, "c")
				}
			}, threeUpstreams...)
			q := newRequest(routes.KindIdempotent)
			q.Owed, q.Customer = c.owed, c.customer
			before := time.Now()
			_, _, _ = r.Forward(t.Context(), q)
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, count, c.want)
			assert.Assert(t, count == 0 || !began.Before(before))
		})
	}
}

// A stream counts once it has an event, also if another upstream goes on with it.
func TestStreamIsCountedAtItsFirstEvent(t *testing.T) {
	var mu sync.Mutex
	count := 0
	s := &streamingExchanger{}
	r := startConfigured(t, s, func(cfg *Config) {
		cfg.OnBegan = func(string, time.Time) {
			mu.Lock()
			defer mu.Unlock()
			count++
		}
	}, threeUpstreams...)
	q := newStreamRequest()
	q.Customer = "c"
	got, err := readStream(t, r, q)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 10)
	assert.Equal(t, s.attempts, 2)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, count, 1)
}
