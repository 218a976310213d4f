package opaque

import (
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

func TestUpstreamWithRoomInItsLimitIsPickedFirst(t *testing.T) {
	c := Chooser{Daemon: "d", BusyThreshold: 2}
	soon := Candidate{Upstream: &directory.Upstream{ID: "soon"}, Wait: 20 * time.Millisecond}
	late := Candidate{Upstream: &directory.Upstream{ID: "late"}, Wait: time.Second}
	busy := Candidate{Upstream: &directory.Upstream{ID: "busy"}, InFlight: 9}
	failing := Candidate{Upstream: &directory.Upstream{ID: "failing"}, BackingOff: true}
	never := Candidate{Upstream: &directory.Upstream{ID: "never"}, Wait: time.Minute, TooLate: true}
	tried := Candidate{Upstream: &directory.Upstream{ID: "tried"}, Tried: true}
	for _, want := range [][]Candidate{{busy, soon, late, failing}, {soon, late, failing}, {late, failing}, {failing, tried, never}, {tried, never}} {
		got, ok := c.Pick(want)
		assert.Assert(t, ok)
		assert.Equal(t, got.Upstream.ID, want[0].Upstream.ID)
	}
}

func TestRequestThatLimitsMakeTooLateIsRejectedAtOnce(t *testing.T) {
	now := time.Now()
	q := &Request{Deadline: now.Add(800 * time.Millisecond), Route: &routes.Route{LatencyTarget: 150 * time.Millisecond}}
	delay, ok := StartDelay(q, now, 50*time.Millisecond, 4, 10)
	assert.Assert(t, ok)
	assert.Equal(t, delay, 450*time.Millisecond)
	_, ok = StartDelay(q, now, 50*time.Millisecond, 7, 10)
	assert.Assert(t, !ok, "the queue is too long")
	_, ok = StartDelay(q, now, time.Second, 0, 10)
	assert.Assert(t, !ok, "the limit allows it too late")
	_, ok = StartDelay(q, now, time.Millisecond, 0, 0)
	assert.Assert(t, !ok, "this daemon has no share")
}
