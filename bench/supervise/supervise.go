// Package supervise keeps a process running: it restarts the process whenever it
// exits, and can pause, stop or kill it as a fault.
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
	// RestartDelay is the time from the exit of a process to its restart.
	RestartDelay = 300 * time.Millisecond
	startTimeout = 5 * time.Second
)

// Exit describes how a run of a process ended.
type Exit struct {
	Name     string
	Code     int  // exit status; -1 if a signal ended it
	Expected bool // an injected fault or Close ended it
}

// Process is a supervised process, restarted whenever it exits.
type Process struct {
	Runner      *proc.Runner
	Name        string
	Program     string // of the next run; changed by SetProgram
	Args        []string
	Address     string                // ip:port of every run; if empty, see Current
	OnStart     func(context.Context) // called after each start; may be nil
	Link        *links.Link           // refuses connections while the process does not run; may be nil
	restoreLink func()                // makes Link accept connections again; nil while it does

	mu           sync.Mutex
	current      *proc.Process // nil while the process does not run
	exitExpected bool
	closing      bool
	exits        []Exit
	duty         *duty.Duty[struct{}]
}

// Start starts supervising a process on a separate duty.
func Start(sys *duty.System, s *Process) *Process {
	s.duty = duty.Start(sys, duty.Config{Name: "supervise-" + s.Name, RingSize: 1}, duty.Handler[struct{}](s))
	// Can't fail: the ring has room for the only message.
	_ = s.duty.Post(struct{}{})
	return s
}

// Handle runs and restarts the process until Close.
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s.mu.Lock()
	program := s.Program
	s.mu.Unlock()
	p, err := s.Runner.Start(startCtx, s.Name, program, s.Args...)
	if err != nil {
		return // for example a port still in use; the output file has the reason
	}
	if s.OnStart != nil {
		s.OnStart(startCtx)
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

// reopenLink makes the link accept connections again.
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

// Current returns the running process, or nil if none runs.
func (s *Process) Current() *proc.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// SetProgram changes the program of the runs after the current one.
func (s *Process) SetProgram(program string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Program = program
}

// Signal sends a signal; endsProcess says whether the process is expected to exit
// from it. It reports whether the signal was sent.
func (s *Process) Signal(sig syscall.Signal, endsProcess bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return false
	}
	s.exitExpected = s.exitExpected || endsProcess
	return s.current.Signal(sig) == nil
}

// ExpectExit records that an injected fault is about to end the process.
func (s *Process) ExpectExit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exitExpected = true
}

// Close stops the process without a restart and returns the exits of all its runs.
// Errors: as proc.Process.Stop.
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

// Kill sends SIGKILL. It reports whether the signal was sent.
func (s *Process) Kill() bool { return s.Signal(syscall.SIGKILL, true) }

// Pause suspends the process for a duration. It reports whether a process was
// suspended, even if it was killed meanwhile.
func (s *Process) Pause(ctx context.Context, duration time.Duration) bool {
	p := s.Current()
	if p == nil || p.Pause() != nil {
		return false
	}
	duty.Sleep(ctx, duration)
	// The signal fails if the process has already exited.
	_ = p.Resume()
	return true
}

// Terminate sends SIGTERM and waits for the exit; it kills the process after
// timeout. It reports whether SIGTERM was sent.
func (s *Process) Terminate(ctx context.Context, timeout time.Duration) bool {
	p := s.Current()
	if p == nil || !s.Signal(syscall.SIGTERM, true) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	select {
	case <-p.Exited():
	case <-ctx.Done():
		fmt.Fprintf(os.Stderr, "supervise: %s did not stop within %s\n", s.Name, timeout)
		s.Kill()
		<-p.Exited()
	}
	return true
}
