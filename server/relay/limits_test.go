package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

// Requests wait for the limit of the only upstream, those that would be too late are
// rejected at once, as not run.
func TestRequestsWaitForRequestLimit(t *testing.T) {
	t.Run("limits only", func(t *testing.T) { testRequestLimit(t, func(*Config) {}) })
	t.Run("with windows", func(t *testing.T) { testRequestLimit(t, func(c *Config) { c.Windows = true }) })
}

func testRequestLimit(t *testing.T, change func(*Config)) {
	t.Helper()
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r := startConfigured(t, s, change, directory.Upstream{ID: "a", Slots: 8})
	r.cfg.Limits.SetRates(map[api.UpstreamID]float64{"a": 10}, time.Now())
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refusals := 0, 0
	begin := time.Now()
	for range 20 {
		wg.Go(func() {
			_, _, err := r.Forward(t.Context(), newRequest(routes.KindIdempotent))
			mu.Lock()
			defer mu.Unlock()
			var notRun *opaque.NotRunError
			switch {
			case err == nil:
				served++
			case errors.As(err, &notRun):
				refusals++
				assert.Check(t, time.Since(begin) < 500*time.Millisecond, "refused late")
				assert.Check(t, notRun.RetryAfter > 0)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, served+refusals, 20)
	assert.Equal(t, served, len(s.tried()))
	assert.Assert(t, served >= 6 && served <= 11, "%d served within a second at 10 a second", served)
}
