package weightcontrol_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/weights"
	"dotterelmount.example/server/weightcontrol"
	"gotest.tools/v3/assert"
)

const model = api.ModelName("m")

// fakeEngines is an upstream.Client that serves read-backs and loads. The first
// loads of e1 fail.
type fakeEngines struct {
	upstream.Client
	mu     sync.Mutex
	loaded map[api.UpstreamID]api.WeightVersion
	fences []api.Offset
	faults int
}

func (f *fakeEngines) LoadedVersions(_ context.Context, t upstream.Target) (map[api.ModelName]api.WeightVersion, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[api.ModelName]api.WeightVersion{model: f.loaded[t.ID]}, nil
}

func (f *fakeEngines) LoadWeights(_ context.Context, t upstream.Target, o upstream.LoadOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.ID == "e1" && f.faults > 0 {
		f.faults--
		return &upstream.CallError{Upstream: t.ID, Sent: true, Code: api.CodeUpstreamFailed}
	}
	f.loaded[t.ID] = o.Version
	f.fences = append(f.fences, o.Fence)
	return nil
}

func state(v api.WeightVersion, revision api.Revision) *ledger.State {
	engine := func(id api.UpstreamID) api.Upstream {
		return api.Upstream{ID: id, Kind: api.KindEngine, Address: "127.0.0.1:1", Models: []api.ModelName{model}}
	}
	return &ledger.State{
		Usage:   &api.UsageList{Upstreams: []api.Upstream{engine("e0"), engine("e1"), engine("e2")}},
		Weights: map[api.ModelName]ledger.WeightState{model: {Version: v, Revision: revision}},
	}
}

// Engines must load the announced version, also after failed loads and after an
// older order has taken effect. The test waits for events without timeouts.
func TestEnginesAreLoadedRetriedAndReadBack(t *testing.T) {
	f := &fakeEngines{loaded: map[api.UpstreamID]api.WeightVersion{}, faults: 2}
	inForce := state(5, 42)
	ordered := make(chan error, 64)
	plan := weights.DefaultConfig()
	plan.BackoffMin = time.Millisecond
	plan.ReadInterval = time.Millisecond
	cfg := weightcontrol.Config{
		Daemon:  "d0",
		Planner: plan,
		OnOrder: func(_ weights.Order, err error) { ordered <- err },
	}
	c := weightcontrol.Start(duty.NewSystem(nil), cfg, f,
		func() *ledger.State { return inForce }, func() []api.DaemonID { return []api.DaemonID{"d0"} })
	accepted, failed := 0, 0
	for accepted < 3 {
		if err := <-ordered; err != nil {
			var call *upstream.CallError
			assert.Assert(t, errors.As(err, &call))
			failed++
		} else {
			accepted++
		}
	}
	assert.Equal(t, failed, 2)
	f.mu.Lock()
	f.loaded["e2"] = 3 // a delayed order of a paused daemon arrives
	f.mu.Unlock()
	assert.NilError(t, <-ordered, "load after the revert")
	assert.NilError(t, c.Stop(t.Context()))
	assert.DeepEqual(t, f.loaded, map[api.UpstreamID]api.WeightVersion{"e0": 5, "e1": 5, "e2": 5})
	assert.DeepEqual(t, f.fences, []api.Offset{42, 42, 42, 42})
	assert.Equal(t, len(c.LoadedVersions()), 3)
}
