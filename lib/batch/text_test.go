package batch

import (
	"fmt"
	"strings"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fixture is a state that assigns offsets to the records it applies.
type fixture struct {
	*State
	at Offset
}

func (f *fixture) add(r Record) bool {
	f.at++
	return f.Apply(f.at, r)
}

func newFixture(upstreams, slots int) *fixture {
	f := &fixture{State: New()}
	f.add(&DaemonAlive{Daemon: "d1", StartMillis: 1})
	for n := range upstreams {
		f.add(&LeaseAcquired{
			Upstream: api.UpstreamID(fmt.Sprintf("u%d", n)), Service: "s", Daemon: "d1", Slots: slots,
			Models: []api.ModelName{"m", "n"}, Versions: map[api.ModelName]api.WeightVersion{"m": 1, "n": 1},
		})
	}
	return f
}

func job(id JobID, items ...ItemID) Job {
	j := Job{ID: id, Service: "s", Model: "m", MaxAttempts: 3}
	for _, i := range items {
		j.Items = append(j.Items, Item{ID: i, Group: "g"})
	}
	return j
}

func (f *fixture) text(t *testing.T, id JobID) string {
	t.Helper()
	r, err := f.Results(id, 0, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Results), 1)
	var out []string
	for _, c := range r.Results[0].Chunks {
		out = append(out, chunkTexts[c.FirstOffset])
	}
	return strings.Join(out, "\n")
}

// chunkTexts holds the data of chunks by offset.
var chunkTexts []string

func newChunk(events ...string) ChunkRef {
	chunkTexts = append(chunkTexts, strings.Join(events, "\n"))
	return ChunkRef{FirstOffset: uint64(len(chunkTexts) - 1), Records: 1, Bytes: len(chunkTexts[len(chunkTexts)-1])}
}

// Guards against text mixed from two runs: the events of a run whose first
// events were ignored must not be appended to those of another run, even if
// the event counts match.
func TestTextsOfTwoRunsAreNotJoined(t *testing.T) {
	f := newFixture(1, 4)
	f.add(&JobAccepted{Job: job("j", "i")})
	assert.Assert(t, f.add(&TextAdded{Job: "j", Item: "i", RunID: "a", EventCount: 2, Chunk: newChunk("a1", "a2")}))
	assert.Assert(t, !f.add(&TextAdded{Job: "j", Item: "i", RunID: "b", EventCount: 2, Chunk: newChunk("b1", "b2")}))
	assert.Assert(t, !f.add(&TextAdded{Job: "j", Item: "i", RunID: "b", FirstEvent: 2, EventCount: 1, Chunk: newChunk("b3"), Done: true}))
	assert.Assert(t, f.add(&TextAdded{Job: "j", Item: "i", RunID: "c", RunStart: 2, FirstEvent: 2, EventCount: 1, Chunk: newChunk("c3")}))
	assert.Assert(t, !f.add(&TextAdded{Job: "j", Item: "i", RunID: "a", FirstEvent: 3, EventCount: 1, Chunk: newChunk("a4"), Done: true}))
	assert.Assert(t, f.add(&TextAdded{Job: "j", Item: "i", RunID: "c", RunStart: 2, FirstEvent: 3, EventCount: 1, Chunk: newChunk("c4"), Done: true}))
	assert.Equal(t, f.text(t, "j"), "a1\na2\nc3\nc4")
}

// For any interleaving of runs, a listed text is a sequence of runs that each
// resumed exactly where the text ended.
func TestListedTextIsContiguous(t *testing.T) {
	const length = 6
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(1, 4)
		f.add(&JobAccepted{Job: job("j", "i")})
		type runner struct{ start, sent int }
		runs := make([]runner, 0, 8)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := f.findItem("j", "i")
			if i.state != ItemOpen {
				break
			}
			if len(runs) == 0 || rapid.Bool().Draw(t, "begin") {
				start := rapid.IntRange(0, i.eventCount).Draw(t, "start")
				runs = append(runs, runner{start, start})
			}
			n := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
			r := &runs[n]
			more := rapid.IntRange(0, length-r.sent).Draw(t, "events")
			rec := &TextAdded{Job: "j", Item: "i", RunID: fmt.Sprint(n), RunStart: r.start, FirstEvent: r.sent, Done: r.sent+more == length}
			var events []string
			for e := range more {
				events = append(events, fmt.Sprintf("%d:%d:%d", n, r.start, r.sent+e+1))
			}
			if rec.EventCount = more; more > 0 {
				rec.Chunk = newChunk(events...)
			}
			r.sent += more
			f.add(rec)
		}
		last, expect := -1, 1
		var events []string
		for _, c := range f.findItem("j", "i").chunks {
			events = append(events, strings.Split(chunkTexts[c.FirstOffset], "\n")...)
		}
		assert.Equal(t, len(events), f.findItem("j", "i").eventCount)
		for _, e := range events {
			var run, start, number int
			_, err := fmt.Sscanf(e, "%d:%d:%d", &run, &start, &number)
			assert.NilError(t, err)
			assert.Equal(t, number, expect)
			if run != last {
				assert.Equal(t, start, number-1, "run %d did not resume at the end of the text", run)
			}
			last, expect = run, expect+1
		}
	})
}

// Guards against a reader that gets results twice: a daemon that lags must not
// return a position below the requested one.
func TestResultsBeyondListedKeepPosition(t *testing.T) {
	s := New()
	s.Apply(1, &JobAccepted{Job: Job{ID: "j", Items: []Item{{ID: "a"}, {ID: "b"}}}})
	r, err := s.Results("j", 1, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, r.Next, 1)
	assert.Equal(t, len(r.Results), 0)
}
