package hosted

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// limitBound is the number of requests that a server with a limit may get within
// limitWindow, from limitGrace after it first named the limit.
func limitBound(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
)

// Guards against servers that get more requests from all daemons than they name.
func TestAllDaemonsTogetherKeepRequestLimit(t *testing.T) {
	d := newDeployment(t, 3)
	defer d.stopAll()
	const engineLimit, plainLimit, duration = 3, 6, 9 * time.Second
	begin := time.Now()
	for i := range d.models {
		d.models[i].SetRequestLimit(engineLimit)
		d.plain[i].SetRequestLimit(plainLimit)
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	served := d.callMembers(ctx, 40*time.Millisecond)
	for n := 0; ctx.Err() == nil; n++ {
		assert.Equal(t, d.submit(d.daemons[n%3], fmt.Sprint("job", n), 20, 1).status, http.StatusAccepted)
		<-time.After(time.Second)
	}
	for i := range d.models {
		ofEngine := d.models[i].MostReceived(begin, time.Now(), limitGrace, limitWindow)
		ofPlain := d.plain[i].MostReceived(begin, time.Now(), limitGrace, limitWindow)
		assert.Check(t, float64(ofEngine) <= limitBound(engineLimit), "engine %d: %d requests", i, ofEngine)
		assert.Check(t, float64(ofPlain) <= limitBound(plainLimit), "plain server %d: %d requests", i, ofPlain)
	}
	// Half of what the servers take shows that callers are still served.
	assert.Check(t, float64(served()) >= duration.Seconds()*plainLimit*3/2, "%d served", served())
}

// callMembers sends members' requests to each daemon at an interval until ctx ends. The
// returned function waits for them and returns the number of those served.
func (d *deployment) callMembers(ctx context.Context, interval time.Duration) func() int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	count := 0
	client := platform.Client{HTTP: http.DefaultClient, Host: host}
	for i, n := range d.daemons {
		wg.Go(func() {
			var calls sync.WaitGroup
			for c := 0; ctx.Err() == nil; c++ {
				calls.Go(func() {
					resp := client.Send(context.WithoutCancel(ctx), n.settings.CallerAddress, platform.Call{
						Method: http.MethodPost, Path: memberPath + "x", RequestID: fmt.Sprintf("m-%d-%d", i, c), Deadline: time.Second,
					})
					if resp.Status == http.StatusOK {
						mu.Lock()
						count++
						mu.Unlock()
					}
				})
				<-time.After(interval)
			}
			calls.Wait()
		})
	}
	return func() int { wg.Wait(); return count }
}
