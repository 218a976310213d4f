package main

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
)

const (
	restartDelay = 300 * time.Millisecond
	startLimit   = 5 * time.Second
)

// exit tells how a run of a process ended.
type exit struct {
	Name     string
	Code     int
	Expected bool // a fault ended it
}

// supervised is a process that is started again whenever it ends.
type supervised struct {
	runner  *proc.Runner
	name    string
	program string
	args    []string
	address string                // ip:port of every run; empty: see current
	started func(context.Context) // called after each start; may be nil
	link    *link                 // refuses connections while the process does not run; may be nil
	up      func()                // ends the refusal; nil: the link is up

	mu       sync.Mutex
	current  *proc.Process // nil while it does not run
	expected bool
	closing  bool
	exits    []exit
	duty     *duty.Duty[struct{}]
}

// supervise starts a process on a duty of its own.
func supervise(sys *duty.System, s *supervised) *supervised {
	s.duty = duty.Start(sys, duty.Config{Name: "supervise-" + s.name, RingSize: 1}, duty.Handler[struct{}](s))
	// An empty ring of one entry takes the only message.
	_ = s.duty.Post(struct{}{})
	return s
}

// Handle runs the process again and again until the end.
func (s *supervised) Handle(ctx context.Context, _ struct{}) {
	for !s.isClosing() {
		s.runOnce(ctx)
		if !s.isClosing() {
			wait(ctx, restartDelay)
		}
	}
	s.linkUp()
}

func (s *supervised) runOnce(ctx context.Context) {
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	p, err := s.runner.Start(starting, s.name, s.program, s.args...)
	if err != nil {
		return // its port may still be taken; the output file tells
	}
	if s.started != nil {
		s.started(starting)
	}
	s.mu.Lock()
	s.current, s.expected = p, false
	s.mu.Unlock()
	s.linkUp()
	<-p.Exited()
	if s.link != nil {
		s.up = s.link.down()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	s.exits = append(s.exits, exit{Name: s.name, Code: p.ExitCode(), Expected: s.expected})
}

// linkUp ends the refusal of connections.
func (s *supervised) linkUp() {
	if s.up != nil {
		s.up()
		s.up = nil
	}
}

func (s *supervised) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// process returns the running process, or nil.
func (s *supervised) process() *proc.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// signal sends a signal that may end the process. It reports whether one was running.
func (s *supervised) signal(sig syscall.Signal, ends bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return false
	}
	s.expected = s.expected || ends
	return s.current.Signal(sig) == nil
}

// expectEnd says that a fault, not the system, is about to end the process.
func (s *supervised) expectEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected = true
}

// close ends the process for good and returns how its runs ended. Errors: as proc.Process.Stop.
func (s *supervised) close(ctx context.Context) ([]exit, error) {
	s.mu.Lock()
	s.closing, s.expected = true, true
	p := s.current
	s.mu.Unlock()
	var err error
	if p != nil {
		err = p.Stop(ctx)
	}
	if stopErr := s.duty.Stop(ctx); err == nil {
		err = stopErr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exits, err
}

func (s *supervised) journal() string { return filepath.Join(s.runner.OutDir(), s.name+".journal") }

// wait returns false when ctx ended before the time was over.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startTask runs f on a duty of its own.
func startTask(d *deployment, name string, f func()) {
	t := duty.Start(d.system, duty.Config{Name: name, RingSize: 1}, duty.Handler[func()](facet{}))
	// An empty ring of one entry takes the only message.
	_ = t.Post(f)
}
