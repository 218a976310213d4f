// Package ring provides the bounded queue that connects duties, and a slot for the
// single reply of a duty. Both block without spinning.
package ring

import (
	"context"
	"fmt"
	"sync"
)

// FullError is returned by a push to a full ring.
type FullError struct{ Capacity int }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("ring is full at %d entries", e.Capacity) }

// ClosedError is returned by a push to a closed ring, or by a pop from a closed
// and empty ring.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "ring is closed" }

// Ring is a bounded FIFO queue for any number of producers and consumers. After
// Close, pushes fail and pops return the remaining entries.
type Ring[T any] struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	notFull  sync.Cond
	buf      []T
	head     int
	count    int
	closed   bool
}

// New returns a ring with the given capacity in entries; below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{buf: make([]T, max(1, capacity))}
	r.notEmpty.L = &r.mu
	r.notFull.L = &r.mu
	return r
}

// TryPush appends v without blocking. Errors: *FullError, *ClosedError.
func (r *Ring[T]) TryPush(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &ClosedError{}
	}
	if r.count == len(r.buf) {
		return &FullError{Capacity: len(r.buf)}
	}
	r.put(v)
	return nil
}

// Push appends v, and blocks until there is space or ctx ends. Errors:
// *ClosedError, ctx.Err().
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	stop := context.AfterFunc(ctx, func() { r.wake(&r.notFull) })
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == len(r.buf) && !r.closed && ctx.Err() == nil {
		r.notFull.Wait()
	}
	if r.closed {
		return &ClosedError{}
	}
	if r.count == len(r.buf) {
		return ctx.Err()
	}
	r.put(v)
	return nil
}

// Pop removes the oldest entry, and blocks until there is one or ctx ends.
// Errors: *ClosedError if the ring is closed and empty, ctx.Err().
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	stop := context.AfterFunc(ctx, func() { r.wake(&r.notEmpty) })
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed && ctx.Err() == nil {
		r.notEmpty.Wait()
	}
	if r.count > 0 {
		return r.take(), nil
	}
	if r.closed {
		return zero, &ClosedError{}
	}
	return zero, ctx.Err()
}

// TryPop removes the oldest entry, and returns false if there is none.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	return r.take(), true
}

// Close closes the ring and wakes all waiters. Queued entries can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notEmpty.Broadcast()
	r.notFull.Broadcast()
}

// Len returns the number of queued entries.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the capacity in entries.
func (r *Ring[T]) Cap() int { return len(r.buf) }

func (r *Ring[T]) wake(c *sync.Cond) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Broadcast()
}

func (r *Ring[T]) put(v T) {
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
	r.notEmpty.Signal()
}

func (r *Ring[T]) take() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.count--
	r.notFull.Signal()
	return v
}
