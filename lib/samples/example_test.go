package samples_test

import (
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
)

// A step with one sample: two daemons finish the same slot, and the first record
// in the log fills it. A pull whose response was lost is repeated without
// delivering the sample twice.
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
		sample := samples.Sample{Text: text, Tokens: 1, Versions: []api.WeightVersion{7}}
		v := apply(samples.SampleDone{Slot: samples.SlotRef{Step: "s1", Group: "g"}, Model: "coach", Sample: sample})
		fmt.Println(text, "is a duplicate:", v.Duplicate)
	}
	limit := func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return 8, 1, true }
	pull := func(number uint64, cursor api.Offset) samples.Verdict {
		return apply(s.ComposeHandOver(number, cursor, limit, 16))
	}
	pull(1, 0) // the response is lost
	again := pull(2, 0)
	fmt.Println("handed over:", again.Groups[0].Samples[0].Text, again.Groups[0].Samples[0].Versions)
	fmt.Println("completed:", pull(3, again.Offset).CompletedSteps)
	fmt.Println("repeated pull number:", api.CodeOf(pull(1, 0).Err))
	// Output:
	// first is a duplicate: false
	// second is a duplicate: true
	// handed over: first [7]
	// completed: [s1]
	// repeated pull number: superseded
}
