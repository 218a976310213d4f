package hosted

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// drainTime is the time after a server's first response that says that it leaves, from which
// no request may reach it.
const drainTime = 2 * time.Second

// callFor sends members' requests to all daemons for a duration and returns the number of
// those served.
func (d *deployment) callFor(duration time.Duration) int {
	ctx, cancel := context.WithTimeout(d.t.Context(), duration)
	defer cancel()
	return d.callMembers(ctx, 20*time.Millisecond)()
}

// Guards against requests to servers that say in their responses that they leave, whether
// their entry says so or the store can be read.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, mode := range map[string]platform.Mode{"store up": platform.ModeUp, "store down": platform.ModeSilent} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			defer d.stopAll()
			d.runJob("before")
			for _, s := range []*platform.Server{d.plain[0], d.models[0]} {
				s.SetLeaving(true)
			}
			assert.Equal(t, d.submit(d.daemons[0], "during", 6, 1).status, http.StatusAccepted)
			d.callFor(500 * time.Millisecond)
			d.store.SetMode(mode)
			d.callFor(drainTime)
			from := time.Now()
			served := d.callFor(time.Second)
			d.store.SetMode(platform.ModeUp)
			assert.Check(t, served > 0)
			d.checkTexts(d.results(d.daemons[0], "during", 12))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s := d.submit(d.daemons[1], "after", 6, 1).status; s != http.StatusAccepted {
					return poll.Continue("status %d", s)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			d.checkTexts(d.results(d.daemons[1], "after", 12))
			for _, s := range []*platform.Server{d.plain[0], d.models[0]} {
				for _, a := range s.Arrivals() {
					assert.Check(t, a.StartedAt.Before(from), "%s got %s", s.ID, a.RequestID)
				}
			}
		})
	}
}

// A server that starts again under its ID does not leave any more.
func TestRestartedServerGetsRequestsAgain(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, p := range d.plain {
		p.SetLeaving(true)
	}
	d.callFor(200 * time.Millisecond)
	assert.Equal(t, d.call(d.daemons[0], http.MethodPost, memberPath+"x", nil, map[string]string{"X-Request-Id": "r", "X-Deadline-Ms": "500"}).status, http.StatusServiceUnavailable)
	for _, p := range d.plain {
		p.Restart(0, p.InstanceID())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := d.call(d.daemons[0], http.MethodPost, memberPath+"x", nil, map[string]string{"X-Request-Id": "r", "X-Deadline-Ms": "500"}).status; s != http.StatusOK {
			return poll.Continue("status %d", s)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// Guards against requests to a leaving server that a daemon knows only from what others
// forwarded for it.
func TestForwardedResponseShowsThatServerLeaves(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	d.cutOff(d.daemons[0], platform.CutHang)
	d.callEvery(d.daemons[0], "first", 50*time.Millisecond, 2*time.Second)
	d.store.SetMode(platform.ModeSilent)
	defer d.store.SetMode(platform.ModeUp)
	for _, p := range d.plain {
		p.SetLeaving(true)
	}
	d.callEvery(d.daemons[0], "cut", 50*time.Millisecond, 500*time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, u := range d.daemons[0].View().UpstreamsOf("plain") {
			if !u.Draining {
				return poll.Continue("%s is not known to leave", u.ID)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
}
