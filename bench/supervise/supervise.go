// Package supervise keeps a process running: it is started again whenever it
// ends, and signals may stop, pause or kill it meanwhile.
package supervise

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"dotterelmount.example/bench/links"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
)

const (
	// RestartDelay is how long an ended process stays down.
	RestartDelay = 300 * time.Millisecond
	startTimeout = 5 * time.Second
)

// Exit tells how a run of a process ended.
type Exit struct {
	Name     string
	Code     int
	Expected bool // a fault ended it
}

// Process is a process that is started again whenever it ends.
type Process struct {
	Runner      *proc.Runner
	Name        string
	Program     string
	Args        []string
	Address     string                // ip:port of every run; empty: see current
	OnStart     func(context.Context) // called after each start; may be nil
	Link        *links.Link           // refuses connections while the process does not run; may be nil
	restoreLink func()                // ends the refusal; nil: the link is up

	mu           sync.Mutex
	current      *proc.Process // nil while it does not run
	exitExpected bool
	closing      bool
	exits        []Exit
	duty         *duty.Duty[struct{}]
}

// Start starts a process on a duty of its own.
func Start(sys *duty.System, s *Process) *Process {
	s.duty = duty.Start(sys, duty.Config{Name: "supervise-" + s.Name, RingSize: 1}, duty.Handler[struct{}](s))
	// An empty ring of one entry takes the only message.
	_ = s.duty.Post(struct{}{})
	return s
}

// Handle runs the process again and again until the end.
func (s *Process) Handle(ctx context.Context, _ struct{}) {
	for !s.isClosing() {
		s.runOnce(ctx)
		if !s.isClosing() {
			duty.Sleep(ctx, RestartDelay)
		}
	}
	s.reopenLink()
}

func (s *Process) runOnce(ctx context.Context) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	p, err := s.Runner.Start(starting, s.Name, s.Program, s.Args...)
	if err != nil {
		return // its port may still be taken; the output file tells
	}
	if s.OnStart != nil {
		s.OnStart(starting)
	}
	s.mu.Lock()
	s.current, s.exitExpected = p, false
	s.mu.Unlock()
	s.reopenLink()
	<-p.Exited()
	if s.Link != nil {
		s.restoreLink = s.Link.Down()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	s.exits = append(s.exits, Exit{Name: s.Name, Code: p.ExitCode(), Expected: s.exitExpected})
}

// reopenLink ends the refusal of connections.
func (s *Process) reopenLink() {
	if s.restoreLink != nil {
		s.restoreLink()
		s.restoreLink = nil
	}
}

func (s *Process) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Current returns the running process, or nil.
func (s *Process) Current() *proc.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Signal sends a signal that may end the process. It reports whether one was running.
func (s *Process) Signal(sig syscall.Signal, ends bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return false
	}
	s.exitExpected = s.exitExpected || ends
	return s.current.Signal(sig) == nil
}

// ExpectExit says that a fault, not the system, is about to end the process.
func (s *Process) ExpectExit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exitExpected = true
}

// Close ends the process for good and returns how its runs ended. Errors: as proc.Process.Stop.
func (s *Process) Close(ctx context.Context) ([]Exit, error) {
	s.mu.Lock()
	s.closing, s.exitExpected = true, true
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

// Kill ends the process at once. It reports whether one was running.
func (s *Process) Kill() bool { return s.Signal(syscall.SIGKILL, true) }

// Pause freezes the process for a while. It reports whether one was frozen; it
// may have been killed meanwhile.
func (s *Process) Pause(ctx context.Context, lasts time.Duration) bool {
	p := s.Current()
	if p == nil || p.Pause() != nil {
		return false
	}
	duty.Sleep(ctx, lasts)
	// The signal fails when the process has ended already.
	_ = p.Resume()
	return true
}

// Terminate asks the process to stop and kills it after limit. It reports
// whether one was running.
func (s *Process) Terminate(ctx context.Context, limit time.Duration) bool {
	p := s.Current()
	if p == nil || !s.Signal(syscall.SIGTERM, true) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	select {
	case <-p.Exited():
	case <-ctx.Done():
		fmt.Fprintf(os.Stderr, "supervise: %s did not stop within %s\n", s.Name, limit)
		s.Kill()
		<-p.Exited()
	}
	return true
}
