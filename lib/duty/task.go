package duty

import "context"

// Func handles messages that are functions by calling them.
type Func struct{}

// Handle implements Handler.
func (Func) Handle(_ context.Context, f func()) { f() }

// Run calls f once on a duty of its own.
func Run(s *System, name string, f func()) *Duty[func()] {
	d := Start(s, Config{Name: name, RingSize: 1}, Handler[func()](Func{}))
	// An empty ring of one entry takes the only message.
	_ = d.Post(f)
	return d
}
