package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

func scoredJob(id JobID, scorer string, items ...ItemID) Job {
	j := job(id, items...)
	for n := range j.Items {
		j.Items[n].Scorer = &Scorer{ID: scorer + string(j.Items[n].ID), Host: "h", Path: "/p", MaxAttempts: 4}
	}
	return j
}

func (f *fixture) finishText(id JobID, item ItemID) bool {
	return f.add(&TextAdded{Job: id, Item: item, RunID: "r" + string(id) + string(item), EventCount: 2, Versions: []api.WeightVersion{1}, Done: true})
}

func (f *fixture) results(t *testing.T, id JobID) []Result {
	t.Helper()
	r, err := f.Results(id, 0, 1<<20)
	assert.NilError(t, err)
	return r.Results
}

// An item with a scorer is listed once both its text and its score are known. Its slot
// is free in between.
func TestItemIsListedWithItsScore(t *testing.T) {
	f := newFixture(1, 1)
	f.add(&JobAccepted{Job: scoredJob("j", "r", "a", "b")})
	assert.Assert(t, !f.add(&ItemScored{Job: "j", Item: "a", Score: "early"}), "the text is not complete")
	assert.Assert(t, f.finishText("j", "a"))
	assert.Equal(t, len(f.results(t, "j")), 0)
	_, placed := f.Runs("d1")[ItemKey{"j", "b"}]
	assert.Assert(t, placed, "the other item takes the slot")
	assert.DeepEqual(t, f.Rewards(), []Reward{{ItemKey: ItemKey{"j", "a"}, Scorer: &Scorer{ID: "ra", Host: "h", Path: "/p", MaxAttempts: 4}, Daemon: "d1"}})
	assert.Assert(t, !f.finishText("j", "a"), "a second run must not extend the text")
	assert.Assert(t, !f.add(&ItemFailed{Job: "j", Item: "a", Status: 500}), "a late failure of a run")
	assert.Assert(t, f.add(&ItemScored{Job: "j", Item: "a", Score: "s"}))
	assert.Assert(t, !f.add(&ItemScored{Job: "j", Item: "a", Score: "other"}))
	got := f.results(t, "j")
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, ItemCompleted)
	assert.Equal(t, got[0].Score, "s")
	assert.Equal(t, len(f.Rewards()), 0)
}

func TestItemIsErroredAfterFailedRewards(t *testing.T) {
	f := newFixture(1, 4)
	f.add(&JobAccepted{Job: scoredJob("j", "r", "a")})
	assert.Assert(t, !f.add(&RewardFailed{Job: "j", Item: "a", Status: 500}))
	f.finishText("j", "a")
	for n := range 4 {
		assert.Equal(t, len(f.results(t, "j")), 0)
		assert.Equal(t, f.Rewards()[0].Failures, n)
		assert.Assert(t, f.add(&RewardFailed{Job: "j", Item: "a", Status: 500}))
	}
	assert.Equal(t, f.results(t, "j")[0].State, ItemErrored)
	assert.Equal(t, len(f.Rewards()), 0)
}

func TestEndedAndExpiredItemsNeedNoReward(t *testing.T) {
	f := newFixture(1, 4)
	f.add(&JobAccepted{Job: scoredJob("j", "r", "a", "b")})
	f.finishText("j", "a")
	f.finishText("j", "b")
	assert.Assert(t, f.add(&ItemExpired{Job: "j", Item: "a"}))
	assert.Equal(t, len(f.Rewards()), 1)
	assert.Assert(t, f.add(&JobEnded{ID: "j"}))
	assert.Equal(t, len(f.Rewards()), 0)
	assert.Assert(t, !f.add(&ItemScored{Job: "j", Item: "b", Score: "s"}))
}

// An item that comes again in a later job keeps its text; its score too if the reward
// call is the same.
func TestScoreOfEarlierJobIsReused(t *testing.T) {
	f := newFixture(1, 4)
	f.add(&JobAccepted{Job: scoredJob("j1", "r", "a", "b")})
	f.finishText("j1", "a")
	f.finishText("j1", "b")
	f.add(&ItemScored{Job: "j1", Item: "a", Score: "s"})
	f.add(&JobEnded{ID: "j1"})
	f.add(&JobAccepted{Job: scoredJob("j2", "r", "a", "b")})
	got := f.results(t, "j2")
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Score, "s")
	assert.Equal(t, len(f.Rewards()), 1)
	assert.Equal(t, f.Rewards()[0].Item, ItemID("b"))
	f.add(&JobAccepted{Job: scoredJob("j3", "other", "a")})
	assert.Equal(t, len(f.results(t, "j3")), 0)
	assert.Equal(t, f.Rewards()[1].Scorer.ID, "othera")
	assert.Equal(t, len(f.Runs("d1")), 0, "no text is generated again")
}

// Guards against a customer that reads another one's text by submitting an item with its ID.
func TestTextOfAnotherCustomerIsNotReused(t *testing.T) {
	for customer, reused := range map[string]bool{"c1": true, "c2": false, "": false} {
		f := newFixture(1, 4)
		first, second := scoredJob("j1", "r", "a"), scoredJob("j2", "r", "a")
		first.Customer, second.Customer = "c1", customer
		f.add(&JobAccepted{Job: first})
		f.finishText("j1", "a")
		assert.Equal(t, f.Rewards()[0].Customer, "c1")
		f.add(&ItemScored{Job: "j1", Item: "a", Score: "s"})
		f.add(&JobAccepted{Job: second})
		assert.Equal(t, len(f.results(t, "j2")) == 1, reused, customer)
		owner, err := f.Customer("j2")
		assert.NilError(t, err)
		assert.Equal(t, owner, customer)
	}
}
