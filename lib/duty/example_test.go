package duty_test

import (
	"context"
	"fmt"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ring"
)

// add requests the duty to add n and to put the sum into reply.
type add struct {
	n     int
	reply *ring.Slot[int]
}

// adder owns sum: no other thread accesses it.
type adder struct{ sum int }

func (a *adder) Handle(_ context.Context, m add) {
	a.sum += m.n
	m.reply.Put(a.sum)
}

// A duty is a thread with a bounded ring. Callers post a message with a slot for
// the reply and wait on the slot.
func ExampleStart() {
	ctx := context.Background()
	system := duty.NewSystem(nil)
	d := duty.Start(system, duty.Config{Name: "adder", RingSize: 8}, duty.Handler[add](&adder{}))
	for _, n := range []int{2, 3} {
		reply := ring.NewSlot[int]()
		if err := d.Post(add{n, reply}); err != nil {
			fmt.Println(err) // *duty.FullError: the caller decides how to handle the overload
			return
		}
		sum, err := reply.Wait(ctx)
		fmt.Println(sum, err)
	}
	fmt.Println(d.Stop(ctx))
	// Output:
	// 2 <nil>
	// 5 <nil>
	// <nil>
}
