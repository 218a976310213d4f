package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
)

// Two daemons find each other with one probe. The owner of a State carries out its
// actions; here a function call delivers the messages.
func Example() {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	member := func(id, peer string) membership.Member {
		return membership.Member{ID: api.DaemonID(id), PeerAddress: peer, Incarnation: 1}
	}
	a := membership.New(membership.DefaultConfig(), member("entry-1", "10.1.0.1:8081"), []string{"10.1.0.2:8081"}, now)
	b := membership.New(membership.DefaultConfig(), member("entry-2", "10.1.0.2:8081"), nil, now)
	now = now.Add(time.Second)
	for _, action := range a.Step(membership.Tick{}, now, random) {
		probe, ok := action.(membership.SendProbe)
		if !ok {
			continue
		}
		for _, result := range b.Step(membership.ProbeReceived{Message: probe.Message}, now, random) {
			if reply, ok := result.(membership.Reply); ok {
				a.Step(membership.ProbeAcked{Seq: probe.Seq, Message: reply.Message}, now, random)
			}
		}
	}
	for _, s := range []*membership.State{a, b} {
		for _, m := range s.Members() {
			fmt.Println(s.Self().ID, "knows", m.ID, m.Status)
		}
	}
	// Output:
	// entry-1 knows entry-1 alive
	// entry-1 knows entry-2 alive
	// entry-2 knows entry-1 alive
	// entry-2 knows entry-2 alive
}
