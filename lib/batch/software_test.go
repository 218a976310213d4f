package batch

import (
	"errors"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

func textOf(software string, first, events int, run string) *TextAdded {
	return &TextAdded{
		Job: "j", Item: "a", RunID: run, RunStart: first, FirstEvent: first, EventCount: events,
		Versions: []api.WeightVersion{1}, Software: software, Chunk: ChunkRef{Records: 1, Bytes: events},
	}
}

// twoVersions returns a state with an upstream of each software version and an item with
// two events of v1, which is placed nowhere.
func twoVersions(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(2, 1)
	for i, software := range []string{"v1", "v2"} {
		f.add(&UpstreamChanged{Upstream: api.UpstreamID([]string{"u0", "u1"}[i]), Daemon: "d1", Condition: ConditionSuspect, Software: software})
	}
	f.add(&JobAccepted{Job: job("j", "a")})
	assert.Assert(t, f.add(textOf("v1", 0, 2, "r1")))
	return f
}

func (f *fixture) ready(u api.UpstreamID, software string) {
	f.add(&UpstreamChanged{Upstream: u, Daemon: "d1", Condition: ConditionReady, Software: software})
}

func TestTextGoesOnAtItsSoftwareVersion(t *testing.T) {
	f := twoVersions(t)
	f.ready("u0", "v1")
	run := f.Runs("d1")[ItemKey{"j", "a"}]
	assert.Equal(t, run.Upstream, api.UpstreamID("u0"))
	assert.Equal(t, run.EventCount, 2)
	assert.Assert(t, !f.add(textOf("v2", 2, 1, "r2")), "events of other software")
	assert.Assert(t, f.add(textOf("v1", 2, 1, "r2")))
}

func TestTextStartsAnewAtOtherSoftware(t *testing.T) {
	f := twoVersions(t)
	f.ready("u1", "v2")
	run := f.Runs("d1")[ItemKey{"j", "a"}]
	assert.Equal(t, run.Upstream, api.UpstreamID("u1"))
	assert.Equal(t, run.EventCount, 0)
	assert.Assert(t, !f.add(textOf("v1", 2, 1, "r1")), "the text was dropped")
	done := textOf("v2", 0, 3, "r2")
	done.Done = true
	assert.Assert(t, f.add(done))
	r, err := f.Results("j", 0, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Results[0].Chunks), 1)
}

// The end of a run may be stored after its item was placed at other software.
func TestLateTextOfOtherSoftwareMovesItem(t *testing.T) {
	f := newFixture(2, 1)
	f.add(&UpstreamChanged{Upstream: "u0", Daemon: "d1", Condition: ConditionSuspect, Software: "v1"})
	f.add(&UpstreamChanged{Upstream: "u1", Daemon: "d1", Condition: ConditionReady, Software: "v2"})
	f.add(&JobAccepted{Job: job("j", "a")})
	assert.Equal(t, f.Runs("d1")[ItemKey{"j", "a"}].Upstream, api.UpstreamID("u1"))
	assert.Assert(t, f.add(textOf("v1", 0, 2, "r1")))
	run := f.Runs("d1")[ItemKey{"j", "a"}]
	assert.Equal(t, run.EventCount, 0, "no other upstream is ready: the text starts anew")
	assert.Assert(t, !f.add(textOf("v1", 2, 1, "r1")))
	assert.Assert(t, f.add(textOf("v2", 0, 1, "r2")))
}

func TestUpstreamRestartedWithOtherSoftwareKeepsNoTexts(t *testing.T) {
	f := twoVersions(t)
	f.ready("u0", "v1")
	f.ready("u0", "v3")
	run := f.Runs("d1")[ItemKey{"j", "a"}]
	assert.Equal(t, run.EventCount, 0)
}

func TestOriginOfStream(t *testing.T) {
	f := newFixture(0, 0)
	f.add(&StreamBegan{Request: "r1", Service: "s", Software: "v1", AtMillis: 5})
	assert.Assert(t, !f.add(&StreamBegan{Request: "r1", Service: "s", Software: "v2", AtMillis: 6}), "it began once")
	service, software, err := f.StreamOrigin("other", "r1")
	assert.NilError(t, err)
	assert.Equal(t, service+" "+software, "s v1")
	_, software, err = f.StreamOrigin("s", "")
	assert.NilError(t, err)
	assert.Equal(t, software, "v1", "all streams of the service")
	f.add(&StreamBegan{Request: "r2", Service: "s", Software: "v2", AtMillis: 6})
	_, _, err = f.StreamOrigin("s", "")
	var unknown *UnknownStreamError
	assert.Assert(t, errors.As(err, &unknown), "two versions began streams")
	f.forgetBefore(6)
	_, _, err = f.StreamOrigin("s", "r1")
	assert.Assert(t, errors.As(err, &unknown))
}
