package ring

import "context"

// Slot carries one reply from a duty to whoever waits for it. The first Put
// wins; later ones are dropped.
type Slot[T any] struct{ c chan T }

// NewSlot returns an empty slot.
func NewSlot[T any]() *Slot[T] { return &Slot[T]{c: make(chan T, 1)} }

// Put leaves v in the slot without waiting and reports whether it was the first.
func (s *Slot[T]) Put(v T) bool {
	select {
	case s.c <- v:
		return true
	default:
		return false
	}
}

// Wait takes the reply, or returns ctx.Err() if ctx ends first. Only one
// caller may wait, and only once.
func (s *Slot[T]) Wait(ctx context.Context) (T, error) {
	select {
	case v := <-s.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}
