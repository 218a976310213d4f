package ring_test

import (
	"context"
	"errors"
	"fmt"

	"dotterelmount.example/lib/ring"
)

// A full ring rejects pushes; a closed ring still returns its entries.
func ExampleRing() {
	r := ring.New[string](2)
	for _, v := range []string{"a", "b", "c"} {
		if err := r.TryPush(v); err != nil {
			fmt.Println(v, "rejected:", err)
		}
	}
	r.Close()
	for {
		v, err := r.Pop(context.Background())
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(v)
	}
	// Output:
	// c rejected: ring is full at 2 entries
	// a
	// b
	// ring is closed
}

// Only the first reply is stored, and Wait ends with the context.
func ExampleSlot() {
	s := ring.NewSlot[int]()
	fmt.Println(s.Put(1), s.Put(2))
	v, err := s.Wait(context.Background())
	fmt.Println(v, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = s.Wait(ctx)
	fmt.Println(errors.Is(err, context.Canceled))
	// Output:
	// true false
	// 1 <nil>
	// true
}
