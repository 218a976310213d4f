package quota_test

import (
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

// Two daemons share an upstream's window of eight calls. A new keeper waits
// for a lease, so that slots which its predecessor gave out have lapsed.
func Example() {
	now := time.Unix(1000, 0)
	keeper := quota.NewAllocator(8, quota.DefaultLease, now)
	holdings := map[api.DaemonID]*quota.SlotLease{"a": quota.NewSlotLease("a", 0), "b": quota.NewSlotLease("b", 0)}
	ask := func(id api.DaemonID, want int) {
		h := holdings[id]
		h.Apply(keeper.Handle(h.NextRequest(want, now), now), now, now)
		fmt.Println(id, "wants", want, "may use", h.Slots(now))
	}
	ask("a", 6)
	for range quota.RequestsPerLease * 2 {
		now = now.Add(quota.DefaultLease / quota.RequestsPerLease)
		keeper.Heartbeat(now)
	}
	ask("a", 6)
	ask("b", 6) // what a holds is not free before a gives it back
	ask("a", 6) // two slots are taken back,
	ask("a", 6) // and are free once a tells that it no longer uses them
	ask("b", 6)
	now = now.Add(quota.DefaultLease)
	fmt.Println("without renewal:", holdings["a"].Slots(now), holdings["b"].Slots(now))
	// Output:
	// a wants 6 may use 0
	// a wants 6 may use 6
	// b wants 6 may use 2
	// a wants 6 may use 4
	// a wants 6 may use 4
	// b wants 6 may use 4
	// without renewal: 0 0
}

// A bucket lets a burst through, and then its rate.
func ExampleBucket() {
	now := time.Unix(1000, 0)
	b := quota.NewBucket(10, 2) // tokens a second, tokens
	fmt.Println(b.Allow(now), b.Allow(now), b.Allow(now))
	fmt.Println(b.Allow(now.Add(100 * time.Millisecond)))
	// Output:
	// true true false
	// true
}
