package batch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// anyRecord draws a record of any level that changes states.
func anyRecord(rng *rand.Rand, n int) Record {
	job, item := JobID(fmt.Sprint("j", rng.IntN(4))), ItemID(fmt.Sprint("i", rng.IntN(6)))
	switch rng.IntN(26) {
	case 25:
		return &RulesRaised{Rules: rng.IntN(2)}
	case 0:
		j := Job{ID: job, Service: "s0", Model: "m", MaxAttempts: 2, SubmittedMillis: int64(n)}
		for i := range rng.IntN(6) + 1 {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint("i", i)), OutputHint: rng.IntN(3), Scorer: &Scorer{ID: fmt.Sprint("r", i), MaxAttempts: 1}})
		}
		return &JobAccepted{Job: j}
	case 1:
		return &ItemScored{Job: job, Item: item, Score: "0.5"}
	case 2:
		return &RewardFailed{Job: job, Item: item, Status: 500}
	case 3:
		return &RequestLimitNamed{Upstream: api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), PerSecond: float64(rng.IntN(3))}
	case 4:
		return &StreamBegan{Request: api.RequestID(fmt.Sprint("q", rng.IntN(3))), Service: "s0", Software: fmt.Sprint("v", rng.IntN(2)), AtMillis: int64(n)}
	case 5:
		return &JobRerouted{Job: job, Service: fmt.Sprint("s", rng.IntN(2)), ConfigVersion: rng.Uint64N(4)}
	case 6:
		return &TextDropped{Job: job, Item: item, EventCount: 1 + rng.IntN(3)}
	case 7:
		return &EventIntervalMeasured{Upstream: api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), Daemon: api.DaemonID(fmt.Sprint("d", rng.IntN(3))), Micros: int64(rng.IntN(5))}
	case 8:
		return &HomesSwapped{
			First: api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), FirstModel: "m", Second: api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), SecondModel: "n",
		}
	case 9:
		return &ItemMoved{Job: job, Item: item, FromUpstream: api.UpstreamID(fmt.Sprint("u", rng.IntN(5))), UpstreamLost: true}
	default:
		return levelZeroRecord(rng, n)
	}
}

// forgetBefore forgets what was submitted, or began, before a time.
func (s *State) forgetBefore(millis int64) {
	s.ForgetFinished(
		func(id JobID) bool { return s.jobs[id].job.SubmittedMillis < millis },
		func(id api.RequestID) bool { return s.streams[id].atMillis < millis },
	)
}

// assertSame asserts that two states, and what they decide, are equal.
func assertSame(t *testing.T, a, b *State) {
	t.Helper()
	assert.DeepEqual(t, a.Image(), b.Image())
	assert.Equal(t, a.digest(), b.digest())
	assert.DeepEqual(t, a.Rewards(), b.Rewards())
	assert.Equal(t, len(a.pending), len(b.pending))
	for n, i := range a.pending {
		assert.Equal(t, ItemKey{i.job.job.ID, i.item().ID}, ItemKey{b.pending[n].job.job.ID, b.pending[n].item().ID})
	}
	for id, items := range a.placed {
		assert.Equal(t, len(items), len(b.placed[id]), "placed on %s", id)
	}
}

// Guards against a daemon that starts from a checkpoint and differs from those that read
// the whole journal: at any offset, the state of an image goes on as the state itself.
// The state that the image was taken from doesn't change the image.
func TestStateOfImageGoesOnAsTheState(t *testing.T) {
	const journals, records = 10_000, 80
	for seed := range uint64(journals) {
		rng := rand.New(rand.NewPCG(seed, 2))
		whole, begin := New(), rng.IntN(records)
		var img *Image
		var tail []Record
		for n := range records {
			if n == begin {
				img = whole.Image()
			}
			r := anyRecord(rng, n)
			whole.Apply(Offset(n+1), r)
			if n%7 == 0 {
				whole.forgetBefore(int64(n) - 40)
			}
			if n >= begin {
				tail = append(tail, r)
			}
		}
		started, err := FromImage(img)
		assert.NilError(t, err, "seed %d", seed)
		for i, r := range tail {
			n := begin + i
			started.Apply(Offset(n+1), r)
			if n%7 == 0 {
				started.forgetBefore(int64(n) - 40)
			}
		}
		assertSame(t, whole, started)
	}
}

func TestOddImagesAreRefused(t *testing.T) {
	job := &Job{ID: "j", Items: []Item{{ID: "a"}, {ID: "b", Scorer: &Scorer{}}}}
	jobs := func(items []ItemImage, results ...int) *Image {
		return &Image{Jobs: []JobImage{{Job: job, Items: items, Results: results}}}
	}
	for name, img := range map[string]*Image{
		"no job":               {Jobs: []JobImage{{}}},
		"job twice":            {Jobs: []JobImage{{Job: &Job{ID: "k"}}, {Job: &Job{ID: "k"}}}},
		"upstream twice":       {Upstreams: []Upstream{{ID: "u"}, {ID: "u"}}},
		"item missing":         jobs([]ItemImage{{}}),
		"item twice":           jobs([]ItemImage{{}, {}, {Index: 1}}),
		"item out of range":    jobs([]ItemImage{{}, {Index: 2}}),
		"negative item":        jobs([]ItemImage{{}, {Index: -1}}),
		"result out of range":  jobs([]ItemImage{{}, {Index: 1}}, 2),
		"open item listed":     jobs([]ItemImage{{}, {Index: 1}}, 0),
		"listed twice":         jobs([]ItemImage{{State: ItemErrored}, {Index: 1}}, 0, 0),
		"not listed":           jobs([]ItemImage{{State: ItemErrored}, {Index: 1}}),
		"no such state":        jobs([]ItemImage{{State: 9}, {Index: 1}}, 0),
		"placed nowhere known": jobs([]ItemImage{{Upstream: "u"}, {Index: 1}}),
		"score without scorer": jobs([]ItemImage{{TextDone: true}, {Index: 1}}),
	} {
		_, err := FromImage(img)
		var odd *ImageError
		assert.Assert(t, errors.As(err, &odd), "%s: %v", name, err)
	}
	_, err := FromImage(jobs([]ItemImage{{State: ItemErrored}, {Index: 1, TextDone: true}}, 0))
	assert.NilError(t, err)
}
