package duty

import "context"

// Func is a Handler of function messages, which it calls.
type Func struct{}

// Handle implements Handler.
func (Func) Handle(_ context.Context, f func()) { f() }

// Run calls f once on a new duty.
func Run(s *System, name string, f func()) *Duty[func()] {
	d := Start(s, Config{Name: name, RingSize: 1}, Handler[func()](Func{}))
	// Post cannot fail: the ring is empty and has one entry.
	_ = d.Post(f)
	return d
}
