package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/explain"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

// The explanation is what happens: in any state a request goes where it says.
func TestRequestGoesWhereItIsExplained(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &scriptedExchanger{respond: func(_ int, ctx context.Context, u *directory.Upstream) (*opaque.Response, error) {
			if u.Address == "fails" {
				return nil, attemptError(opaque.ExecutionNotSent)
			}
			return &opaque.Response{Status: 200}, nil
		}}
		var upstreams []directory.Upstream
		for n := range rng.IntN(5) {
			u := directory.Upstream{ID: api.UpstreamID(fmt.Sprint("u", n)), DataCentre: api.DataCentre(fmt.Sprint("dc", rng.IntN(2))), Slots: 4, Draining: rng.IntN(3) == 0}
			if rng.IntN(4) == 0 {
				u.Address = "fails"
			}
			upstreams = append(upstreams, u)
		}
		r := startConfigured(t, s, func(c *Config) {
			c.Chooser.DataCentre, c.Chooser.Locality, c.Backoff = "dc0", &locality.Policy{MinGain: 0.2}, time.Minute
			c.Windows = rng.IntN(2) == 0
		}, upstreams...)
		for range rng.IntN(6) {
			_, _, _ = r.Forward(t.Context(), newRequest(routes.KindIdempotent)) // some fail; they only change the state
		}
		before := len(s.tried())
		d, err := r.Explain(t.Context(), newRequest(routes.KindIdempotent))
		assert.NilError(t, err)
		assert.Equal(t, len(s.tried()), before, "nothing is sent")
		_, _, err = r.Forward(t.Context(), newRequest(routes.KindIdempotent))
		after := s.tried()[before:]
		if d.Outcome == explain.Refused {
			assert.Assert(t, err != nil && len(after) == 0, "seed %d: %v, %v", seed, d, after)
			continue
		}
		assert.Equal(t, d.Outcome, explain.Sent, "seed %d: %v", seed, d)
		assert.Equal(t, after[0], d.To, "seed %d: %v", seed, d)
	}
}

func TestExplanationOfQuarantinedRequest(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r := start(t, s, threeUpstreams...)
	q := newRequest(routes.KindIdempotent)
	r.AddCrashes(fingerprint(q), losses(3))
	for range 2 { // a question is no trial
		d, err := r.Explain(t.Context(), q)
		assert.NilError(t, err)
		assert.Equal(t, d.Outcome, explain.Refused)
		assert.Assert(t, d.RetryAfterSeconds > 0)
	}
	assert.Equal(t, len(s.tried()), 0)
}
