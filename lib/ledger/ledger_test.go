package ledger_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func usage(ids ...api.UpstreamID) api.UsageList {
	l := api.UsageList{Usages: []api.Usage{{Plan: "p", Models: []api.ModelName{"m"}}}}
	for _, id := range ids {
		l.Upstreams = append(l.Upstreams, api.Upstream{
			ID: id, Kind: api.KindEngine, Address: "127.0.0.1:1", Models: []api.ModelName{"m"}, Window: 1,
		})
	}
	return l
}

func genBody(t *rapid.T) api.RecordBody {
	base := api.Revision(rapid.IntRange(0, 12).Draw(t, "base"))
	ids := []api.UpstreamID{"a", "b", "c"}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return api.PublishPlanList{Base: base, List: api.PlanList{Plans: []api.Plan{{Name: "p"}}}}
	case 1:
		return api.PublishUsageList{Base: base, List: usage(ids[:rapid.IntRange(1, 3).Draw(t, "n")]...)}
	case 2:
		m := rapid.SampledFrom([]api.Mark{api.MarkActive, api.MarkDraining}).Draw(t, "mark")
		return api.MarkUpstream{Base: base, Upstream: rapid.SampledFrom(ids).Draw(t, "upstream"), Mark: m}
	case 3:
		return api.AnnounceWeights{Model: "m", Version: api.WeightVersion(rapid.IntRange(0, 9).Draw(t, "version"))}
	case 4:
		return api.Strike{Fingerprint: 1, Upstream: rapid.SampledFrom(ids).Draw(t, "upstream"), Alone: rapid.Bool().Draw(t, "alone")}
	default:
		return api.LiftQuarantine{Fingerprint: 1}
	}
}

// A daemon reaches the same state from any checkpoint as from the first record.
// Revisions and versions never decrease, and repeated records have no effect.
func TestApplyIsDeterministicFromAnyCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := ledger.NewConfigFSM()
		resumed := ledger.NewConfigFSM()
		n := rapid.IntRange(1, 40).Draw(t, "records")
		for i := 1; i <= n; i++ {
			id := api.RecordID(fmt.Sprint(rapid.IntRange(1, 30).Draw(t, "id")))
			r := api.Record{ID: id, Body: genBody(t)}
			before := full.Snapshot()
			a := full.Apply(api.Offset(i), int64(i), r)
			b := resumed.Apply(api.Offset(i), int64(i), r)
			assert.Equal(t, a.Offset, b.Offset)
			assert.Equal(t, api.CodeOf(a.Err), api.CodeOf(b.Err))
			after := full.Snapshot()
			assert.Assert(t, after.PlansRevision >= before.PlansRevision)
			assert.Assert(t, after.UsageRevision >= before.UsageRevision)
			assert.Assert(t, after.Weights["m"].Version >= before.Weights["m"].Version)
			if rapid.Bool().Draw(t, "checkpoint") {
				resumed = reload(t, resumed)
			}
		}
		x, _ := json.Marshal(full.Image())
		y, _ := json.Marshal(resumed.Image())
		assert.Equal(t, string(x), string(y))
	})
}

func reload(t *rapid.T, c *ledger.ConfigFSM) *ledger.ConfigFSM {
	raw, err := json.Marshal(c.Image())
	assert.NilError(t, err)
	var img ledger.Image
	assert.NilError(t, json.Unmarshal(raw, &img))
	return ledger.ConfigFSMFromImage(img)
}

func TestFirstConflictingListWins(t *testing.T) {
	c := ledger.NewConfigFSM()
	one := api.PublishPlanList{List: api.PlanList{Plans: []api.Plan{{Name: "one"}}}}
	two := api.PublishPlanList{List: api.PlanList{Plans: []api.Plan{{Name: "two"}}}}
	assert.NilError(t, c.Apply(1, 0, api.Record{ID: "1", Body: one}).Err)
	err := c.Apply(2, 0, api.Record{ID: "2", Body: two}).Err
	assert.Equal(t, api.CodeOf(err), api.CodeConflict)
	assert.Equal(t, c.Snapshot().Plans.Plans[0].Name, api.PlanName("one"))
}

func TestUsageListRemovesOnlyDrainingUpstreams(t *testing.T) {
	c := ledger.NewConfigFSM()
	assert.NilError(t, c.Apply(1, 0, api.Record{ID: "1", Body: api.PublishUsageList{List: usage("a", "b")}}).Err)
	err := c.Apply(2, 0, api.Record{ID: "2", Body: api.PublishUsageList{Base: 1, List: usage("a")}}).Err
	assert.Equal(t, api.CodeOf(err), api.CodeStillInUse)
	mark := api.MarkUpstream{Upstream: "b", Mark: api.MarkDraining}
	assert.NilError(t, c.Apply(3, 0, api.Record{ID: "3", Body: mark}).Err)
	assert.NilError(t, c.Apply(4, 0, api.Record{ID: "4", Body: api.PublishUsageList{Base: 1, List: usage("a")}}).Err)
	assert.Equal(t, len(c.Snapshot().Marks), 0)
}

// A crash that was shared from the start must not turn an earlier crash, in which the
// request was alone, into a shared one.
func TestSharedCrashKeepsEarlierAloneStrike(t *testing.T) {
	c := ledger.NewConfigFSM()
	strike := func(offset api.Offset, millis int64, f api.Fingerprint, u api.UpstreamID, alone bool) {
		body := api.Strike{Fingerprint: f, Upstream: u, Alone: alone}
		c.Apply(offset, millis, api.Record{ID: api.RecordID(fmt.Sprint(offset)), Body: body})
	}
	strike(1, 1000, 7, "a", true)
	strike(2, 60_000, 7, "b", false)
	strike(3, 60_100, 8, "b", false)
	got := c.Snapshot().Strikes[7]
	assert.Equal(t, got.Alone, 1)
	assert.Equal(t, got.Shared, 1)
}

// After an outage of the log, the strikes of all daemons are appended within moments.
// The crashes of one upstream that were seconds apart must count one by one, and the
// strikes of one crash once, in any order.
func TestStrikesOfAnOutageAreGroupedByTheirTimes(t *testing.T) {
	c := ledger.NewConfigFSM()
	const back = 1_000_000
	for n, s := range []api.Strike{
		{Fingerprint: 7, Upstream: "a", AtMillis: back - 11_000, Alone: true},
		{Fingerprint: 7, Upstream: "a", AtMillis: back - 9_000, Alone: true},
		{Fingerprint: 7, Upstream: "a", AtMillis: back - 7_000, Alone: true},
		{Fingerprint: 8, Upstream: "a", AtMillis: back - 10_900, Alone: true}, // shared with the first
		{Fingerprint: 7, Upstream: "a", AtMillis: back - 8_900, Alone: true},  // the second, by another daemon
	} {
		c.Apply(api.Offset(n+1), back+int64(n), api.Record{ID: api.RecordID(fmt.Sprint(n)), Body: s})
	}
	got := c.Snapshot().Strikes[7]
	assert.Equal(t, got.Alone, 2)
	assert.Equal(t, got.Shared, 1)
	assert.Equal(t, c.Snapshot().Strikes[8].Shared, 1)
	assert.Assert(t, got.HasCrash(api.Strike{Upstream: "a", AtMillis: back - 8_900}))
	assert.Assert(t, !got.HasCrash(api.Strike{Upstream: "a", AtMillis: back - 3_000}))
}

func TestClaimHasOneWinnerUntilReleased(t *testing.T) {
	c := ledger.NewClaimsFSM()
	claim := func(offset api.Offset, id api.RecordID) error {
		return c.Apply(offset, 0, api.Record{ID: id, Body: api.Claim{Customer: "c", Key: "k", Holder: "d"}}).Err
	}
	assert.NilError(t, claim(1, "x"))
	assert.NilError(t, claim(2, "x"))
	assert.Equal(t, api.CodeOf(claim(3, "y")), api.CodeDuplicateKey)
	foreign := api.Settle{Customer: "c", Key: "k", Claim: "y", Outcome: api.OutcomeNotRun}
	assert.Equal(t, api.CodeOf(c.Apply(4, 0, api.Record{ID: "s", Body: foreign}).Err), api.CodeInvalid)
	free := api.Settle{Customer: "c", Key: "k", Claim: "x", Outcome: api.OutcomeNotRun}
	assert.NilError(t, c.Apply(5, 0, api.Record{ID: "t", Body: free}).Err)
	assert.Equal(t, api.CodeOf(claim(6, "x")), api.CodeDuplicateKey) // a late repetition does not win the key again
	assert.NilError(t, claim(7, "y"))
}

// Guards against an innocent request that is quarantined: two daemons whose
// requests were part of one crash each report their own as alone, and neither may
// count as alone.
func TestStrikesOfOneCrashAreShared(t *testing.T) {
	c := ledger.NewConfigFSM()
	strike := func(offset api.Offset, millis int64, f api.Fingerprint, u api.UpstreamID) {
		body := api.Strike{Fingerprint: f, Upstream: u, Alone: true}
		c.Apply(offset, millis, api.Record{ID: api.RecordID(fmt.Sprint(offset)), Body: body})
	}
	strike(1, 1000, 7, "a")
	strike(2, 1200, 8, "a")
	strike(3, 1300, 7, "a") // a second report of the same crash
	assert.Equal(t, c.Snapshot().Strikes[7].Alone, 0)
	assert.Equal(t, c.Snapshot().Strikes[7].Shared, 1)
	assert.Equal(t, c.Snapshot().Strikes[8].Alone, 0)
	strike(4, 60_000, 7, "b")
	assert.Equal(t, c.Snapshot().Strikes[7].Alone, 1)
}
