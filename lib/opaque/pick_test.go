package opaque

import (
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/locality"
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

func TestRequestLeavesItsDataCentreOnlyForAGain(t *testing.T) {
	c := Chooser{Daemon: "d", DataCentre: "here", BusyThreshold: 2, Locality: &locality.Policy{MinGain: 0.2}}
	const target = 150 * time.Millisecond
	local := Candidate{Upstream: &directory.Upstream{ID: "local", DataCentre: "here"}, InFlight: 3, Expected: 40 * time.Millisecond}
	remote := Candidate{Upstream: &directory.Upstream{ID: "remote", DataCentre: "there"}, Expected: 25 * time.Millisecond}
	pick := func(local Candidate) string {
		got, ok := c.PickFor(target, []Candidate{local, remote})
		assert.Assert(t, ok)
		return string(got.Upstream.ID)
	}
	assert.Equal(t, pick(local), "local", "it gains too little")
	slow := local
	slow.Slow, slow.Expected = true, 80*time.Millisecond
	assert.Equal(t, pick(slow), "remote")
	failing := local
	failing.BackingOff = true
	assert.Equal(t, pick(failing), "remote")
	c.Locality = nil
	assert.Equal(t, pick(local), "remote", "without a policy the number in flight decides")
}
