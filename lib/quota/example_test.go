package quota_test

import (
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

// Two daemons share an upstream's window of eight calls. A new allocator waits
// for one lease duration, until grants of its predecessor have expired.
func Example() {
	now := time.Unix(1000, 0)
	allocator := quota.NewAllocator(8, quota.DefaultLease, now)
	leases := map[api.DaemonID]*quota.SlotLease{"a": quota.NewSlotLease("a", 0), "b": quota.NewSlotLease("b", 0)}
	request := func(id api.DaemonID, wanted int) {
		l := leases[id]
		l.Apply(allocator.Handle(l.NextRequest(wanted, now), now), now, now)
		fmt.Println(id, "wants", wanted, "may use", l.Slots(now))
	}
	request("a", 6)
	for range quota.RequestsPerLease * 2 {
		now = now.Add(quota.DefaultLease / quota.RequestsPerLease)
		allocator.Heartbeat(now)
	}
	request("a", 6)
	request("b", 6) // gets the two slots that a does not hold
	request("a", 6) // gets a smaller grant, so that two slots are taken back
	request("a", 6) // reports that it no longer uses the two slots
	request("b", 6)
	now = now.Add(quota.DefaultLease)
	fmt.Println("without renewal:", leases["a"].Slots(now), leases["b"].Slots(now))
	// Output:
	// a wants 6 may use 0
	// a wants 6 may use 6
	// b wants 6 may use 2
	// a wants 6 may use 4
	// a wants 6 may use 4
	// b wants 6 may use 4
	// without renewal: 0 0
}

// A bucket allows a burst, and after that its rate.
func ExampleBucket() {
	now := time.Unix(1000, 0)
	b := quota.NewBucket(10, 2) // rate in tokens per second, burst in tokens
	fmt.Println(b.Allow(now), b.Allow(now), b.Allow(now))
	fmt.Println(b.Allow(now.Add(100 * time.Millisecond)))
	// Output:
	// true true false
	// true
}
