// Package ring provides the bounded queue that joins two duties, and the
// one-shot slot in which a duty leaves a reply. Both block on a condition and
// never spin.
package ring

import (
	"context"
	"fmt"
	"sync"
)

// FullError reports a push that found no room.
type FullError struct{ Capacity int }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("ring is full at %d entries", e.Capacity) }

// ClosedError reports a push to, or a pop from, a closed ring.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "ring is closed" }

// Ring is a bounded first-in-first-out queue for any number of producers and
// consumers. After Close, pushes fail and pops return what is left.
type Ring[T any] struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	notFull  sync.Cond
	buf      []T
	head     int
	count    int
	closed   bool
}

// New returns a ring for capacity entries; a capacity below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{buf: make([]T, max(1, capacity))}
	r.notEmpty.L = &r.mu
	r.notFull.L = &r.mu
	return r
}

// TryPush appends v without waiting. Errors: *FullError, *ClosedError.
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

// Push appends v, waiting for room until ctx ends. Errors: *ClosedError, ctx.Err().
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

// Pop removes the oldest entry, waiting for one until ctx ends.
// Errors: *ClosedError once the ring is closed and empty, ctx.Err().
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

// TryPop removes the oldest entry if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	return r.take(), true
}

// Close wakes all waiters; entries already queued can still be popped.
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

// Cap returns the capacity.
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
