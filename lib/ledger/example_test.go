package ledger_test

import (
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Two operators publish a list with the same base revision. The first record in
// the log wins on every daemon; the other gets CodeConflict.
func ExampleConfigFSM() {
	fsm := ledger.NewConfigFSM()
	publish := func(at api.Offset, id api.RecordID, plan api.PlanName) {
		list := api.PlanList{Plans: []api.Plan{{Name: plan}}}
		v := fsm.Apply(at, 0, api.Record{ID: id, Body: api.PublishPlanList{Base: 0, List: list}})
		fmt.Printf("%s %q\n", id, api.CodeOf(v.Err))
	}
	publish(1, "hana", "member")
	publish(2, "ken", "trainer")
	state := fsm.Snapshot()
	fmt.Println(state.Plans.Plans[0].Name, state.PlansRevision, state.AppliedOffset)
	// Output:
	// hana ""
	// ken "conflict"
	// member 1 2
}

// The first claim of a key wins until it is settled as not run.
func ExampleClaimsFSM() {
	claims := ledger.NewClaimsFSM()
	claim := func(at api.Offset, id api.RecordID) {
		body := api.Claim{Customer: "library", Key: "slip-7", Holder: "entry-1"}
		v := claims.Apply(at, 0, api.Record{ID: id, Body: body})
		fmt.Printf("%s %q\n", id, api.CodeOf(v.Err))
	}
	claim(1, "first")
	claim(2, "second")
	released := api.Settle{Customer: "library", Key: "slip-7", Claim: "first", Outcome: api.OutcomeNotRun}
	claims.Apply(3, 0, api.Record{ID: "settle", Body: released})
	claim(4, "third")
	// Output:
	// first ""
	// second "duplicate-key"
	// third ""
}
