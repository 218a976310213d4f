package ring

import "context"

// Slot passes a single reply from a duty to a waiting caller. Only the first Put
// has an effect.
type Slot[T any] struct{ c chan T }

// NewSlot returns an empty slot.
func NewSlot[T any]() *Slot[T] { return &Slot[T]{c: make(chan T, 1)} }

// Put puts v into the slot without blocking, and reports whether the slot was
// empty.
func (s *Slot[T]) Put(v T) bool {
	select {
	case s.c <- v:
		return true
	default:
		return false
	}
}

// Wait returns the reply, or ctx.Err() if ctx ends first. It may be called only
// once.
func (s *Slot[T]) Wait(ctx context.Context) (T, error) {
	select {
	case v := <-s.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}
