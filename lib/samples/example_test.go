package samples_test

import (
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
)

// A step of one sample: two daemons finish the same slot, the first in the log
// fills it, and a pull whose answer was lost is repeated without using the
// sample twice.
func Example() {
	s := samples.NewStream()
	at := api.Offset(0)
	apply := func(b samples.RecordBody) samples.Verdict {
		at++
		return s.Apply(at, samples.Record{ID: api.RecordID(fmt.Sprint("r", at)), Body: b})
	}
	group := samples.GroupSpec{ID: "g", N: 1, MaxTokens: 8, Messages: []work.Message{{Role: "user", Content: "hi"}}}
	apply(samples.StepOpened{Step: "s1", Model: "coach", Customer: "c", Groups: []samples.GroupSpec{group}})
	for _, text := range []string{"first", "second"} {
		answer := samples.Sample{Text: text, Tokens: 1, Versions: []api.WeightVersion{7}}
		v := apply(samples.SampleDone{Slot: samples.SlotRef{Step: "s1", Group: "g"}, Model: "coach", Sample: answer})
		fmt.Println(text, "is a duplicate:", v.Duplicate)
	}
	limit := func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return 8, 1, true }
	pull := func(number uint64, cursor api.Offset) samples.Verdict {
		return apply(s.ComposeHandOver(number, cursor, limit, 16))
	}
	pull(1, 0) // the answer is lost
	again := pull(2, 0)
	fmt.Println("handed:", again.Groups[0].Samples[0].Text, again.Groups[0].Samples[0].Versions)
	fmt.Println("whole:", pull(3, again.Offset).Whole)
	fmt.Println("an old pull:", api.CodeOf(pull(1, 0).Err))
	// Output:
	// first is a duplicate: false
	// second is a duplicate: true
	// handed: first [7]
	// whole: [s1]
	// an old pull: superseded
}
