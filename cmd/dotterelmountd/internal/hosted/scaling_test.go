package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/server/scaling"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// scaledDeployment is a deployment whose daemons order the number of engines.
type scaledDeployment struct {
	*deployment
	cloud *platform.Cloud
	fleet *platform.Fleet
}

func newScaledDeployment(t *testing.T) *scaledDeployment {
	t.Helper()
	d := &scaledDeployment{deployment: newDeployment(t, 0), cloud: platform.NewCloud(false)}
	t.Cleanup(d.cloud.Close)
	d.cloud.PerSecond = 20
	d.fleet = platform.NewFleet("engines", slices.Clone(d.models))
	d.fleet.New = func(id string) *platform.Server {
		s := platform.NewServer(d.store, id, "engines", model)
		s.EventsPerItem, s.EventInterval = d.models[0].EventsPerItem, d.models[0].EventInterval
		return s
	}
	d.cloud.OnOrder = d.fleet.Order
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 40, 50*time.Millisecond
	}
	d.store.PutJSON("keyed.op", "config", map[string]any{
		"version": 2, "limits": map[string]any{},
		"services": []any{map[string]any{
			"name": "engines", "max_conns": 100, "engine": map[string]any{"slots": 4, "models": []any{map[string]any{"name": model}}},
			"autoscale": map[string]any{"min": 1, "max": 20, "boot_s": 1, "spot_price": 0.2, "zone_prices": map[string]any{"z1": 1}},
		}},
		"routes": []any{map[string]any{
			"name": "batch", "host": host, "path_prefix": batchPath, "type": "rollout", "service": "engines", "timeout_ms": 10000, "full_value_ms": 400,
			"attempts": 3, "resumable": true, "max_queue_s": 40, "result_target_ms": 7500,
		}},
	})
	for range 2 {
		d.startWith(fmt.Sprintf("duties:\n  address: %s\n  names: [scale]\n  calls_per_second: 20\n  lease: 1s\n", d.cloud.Address()))
	}
	d.awaitConfig(2)
	return d
}

// await waits until there are enough servers of both kinds for the work.
func (d *scaledDeployment) await(ordinary, spot int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if n, m := d.fleet.Count(false), d.fleet.Count(true); n < ordinary || m < spot {
			return poll.Continue("%d of %d, %d of %d", n, ordinary, m, spot)
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(50*time.Millisecond))
}

// The work of a job needs more servers than there are. Those that may be reclaimed are taken
// away at once while they run items, the holder of the duty is killed, and no text is lost.
func TestServersAreOrderedForTheWorkAndReclaimed(t *testing.T) {
	d := newScaledDeployment(t)
	assert.Equal(t, d.submit(d.daemons[0], "job1", 14, 1).status, http.StatusAccepted)
	d.await(len(d.models)+1, 1)
	assert.Equal(t, d.submit(d.daemons[1], "job2", 14, 1).status, http.StatusAccepted)
	taken := d.fleet.Reclaim(1500 * time.Millisecond)
	assert.Assert(t, len(taken) > 0)

	holder := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for n := range d.daemons {
			if _, ok := d.daemons[n].keepers.Current(scaling.Duty); ok {
				holder = n
				return poll.Success()
			}
		}
		return poll.Continue("no holder")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	d.kill(d.daemons[holder])
	d.daemons = slices.Delete(d.daemons, holder, holder+1)
	defer d.stopAll()
	for _, job := range []string{"job1", "job2"} {
		d.checkTexts(d.results(d.daemons[0], job, 28))
	}
	d.await(len(d.models)+1, 1) // the other holder orders them again
	assert.Equal(t, len(d.cloud.Violations()), 0, "%v", d.cloud.Violations())
}
