package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/intake"
	"dotterelmount.example/server/runner"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// gathering holds the requests whose ids begin with prefix at their servers until as many as
// wanted are there at once.
type gathering struct {
	prefix  string
	wanted  int32
	running atomic.Int32
	once    sync.Once
	all     chan struct{}
}

func gather(prefix string, wanted int32, servers []*platform.Server) *gathering {
	g := &gathering{prefix: prefix, wanted: wanted, all: make(chan struct{})}
	for _, s := range servers {
		s.Intercept = g.intercept
	}
	return g
}

// intercept implements platform.Server.Intercept.
func (g *gathering) intercept(_ http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.Header.Get("X-Request-Id"), g.prefix) {
		return false
	}
	body, err := io.ReadAll(r.Body) // until then the end of the connection isn't noticed
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	defer g.running.Add(-1)
	if g.running.Add(1) == g.wanted {
		g.once.Do(func() { close(g.all) })
	}
	select {
	case <-g.all:
	case <-r.Context().Done():
	}
	return false
}

// wait waits until all requests are at their servers.
func (g *gathering) wait(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-g.all:
			return poll.Success()
		default:
			return poll.Continue("%d of %d at once", g.running.Load(), g.wanted)
		}
	}, poll.WithTimeout(15*time.Second))
}

// Guards against items that reach no engine while most of the engines' places are free, since the
// only daemon left makes no more than a fixed number of runs (review/13).
func TestOnlyDaemonLeftRunsAllItemsAtOnce(t *testing.T) {
	const items, slots = 240, 4
	d := newDeployment(t, 1)
	defer d.stopAll()
	for n := len(d.models); n < items/slots; n++ {
		d.models = append(d.models, platform.NewServer(d.store, fmt.Sprintf("engine-%d", n), "engines", model))
	}
	g := gather("job1-", items, d.models)
	assert.Equal(t, d.submit(d.daemons[0], "job1", items/2, 1).status, http.StatusAccepted)
	g.wait(t)
	d.checkTexts(d.results(d.daemons[0], "job1", items))
}

// Guards against requests refused while their servers have room, since the only daemon left makes
// no more than a fixed number of attempts at once.
func TestOnlyDaemonLeftForwardsAllRequestsAtOnce(t *testing.T) {
	const requests = 150
	d := newDeployment(t, 1)
	defer d.stopAll()
	d.configureSlowMembers(2)
	g := gather("held-", requests, d.plain)
	statuses := make(chan int, requests)
	for n := range requests {
		go func() {
			status, _, err := d.exchange(memberPath+"x", fmt.Sprintf("held-%d", n), []byte("hello"))
			assert.Check(t, err)
			statuses <- status
		}()
	}
	g.wait(t)
	for range requests {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// Guards against a host that bears fewer runs than its deployment's engines need: the last one
// left must fill more than half of their places, or items of a step may wait at no engine.
func TestSmallestHostFillsTheEngines(t *testing.T) {
	for _, c := range []struct {
		megabytes          int64
		descriptors, slots int
	}{
		{304, 8200, 12 * 12}, {164, 8200, 11 * 12}, {184, 4100, 44 * 8}, {112, 4100, 44 * 8}, {184, 4100, 45 * 8}, {144, 3075, 48 * 8}, {184, 4100, 104 * 6},
	} {
		t.Run(fmt.Sprintf("%d MB, %d places", c.megabytes, c.slots), func(t *testing.T) {
			borne := runCapacity(intake.NewPlan(c.megabytes<<20, c.descriptors), 0)
			runs := min(borne.Runs, int(borne.Bytes/runner.RunBytes))
			assert.Assert(t, runs >= c.slots*3/4, "%d runs", runs)
		})
	}
}
