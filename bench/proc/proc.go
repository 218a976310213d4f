// Package proc starts and stops the processes of a test deployment. It waits until
// a program prints its listen address, sends signals and keeps each program's
// output in a file.
package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dotterelmount.example/lib/duty"
)

// outputDelay is how long Wait continues to read output after a program has exited
// while its children still hold the pipe open.
const outputDelay = time.Second

// StartError reports a program that could not be started.
type StartError struct {
	Name    string
	LogFile string // path of the file with its output
	Cause   error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("start %s (output in %s): %v", e.Name, e.LogFile, e.Cause)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// ExitError reports a program that exited with an error or did not exit in time.
type ExitError struct {
	Name    string
	LogFile string // path of the file with its output
	Code    int    // exit status; -1 if a signal ended it or it still runs
	Cause   error
}

// Error implements error.
func (e *ExitError) Error() string {
	return fmt.Sprintf("%s ended with status %d (output in %s): %v", e.Name, e.Code, e.LogFile, e.Cause)
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Runner starts the programs in a directory. Its methods may be called from several
// threads.
type Runner struct {
	binDir string
	outDir string
	duties *duty.System

	mu      sync.Mutex
	started []*Process
}

// NewRunner returns a runner of the programs in binDir that writes their output to
// outDir. It creates outDir. Errors: those of os.MkdirAll.
func NewRunner(binDir, outDir string) (*Runner, error) {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return nil, fmt.Errorf("output directory: %w", err)
	}
	return &Runner{binDir: binDir, outDir: outDir, duties: duty.NewSystem(nil)}, nil
}

// OutDir returns the directory with the output files.
func (r *Runner) OutDir() string { return r.outDir }

// path returns the path of a program: a name in the runner's directory, or an absolute path.
func (r *Runner) path(program string) string {
	if filepath.IsAbs(program) {
		return program
	}
	return filepath.Join(r.binDir, program)
}

// Process is a started program.
type Process struct {
	Name    string
	Address string // listen address, ip:port
	LogFile string // path of the file with its output

	cmd     *exec.Cmd
	exited  chan struct{} // closed after Wait
	waitErr error         // of Wait; valid once exited is closed
}

// Start starts a program and waits until it announces its listen address.
// Errors: *StartError if ctx ends or the program exits first; the program does not
// run then.
func (r *Runner) Start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(r.outDir, name+".log"), exited: make(chan struct{})}
	file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, &StartError{Name: name, LogFile: p.LogFile, Cause: err}
	}
	stdout := newListenWriter(file)
	p.cmd = exec.Command(r.path(program), args...)
	p.cmd.Stdout = stdout
	p.cmd.Stderr = file
	p.cmd.WaitDelay = outputDelay
	if err := p.cmd.Start(); err != nil {
		_ = file.Close()
		return nil, &StartError{Name: name, LogFile: p.LogFile, Cause: err}
	}
	r.watchExit(p, file)
	if err := p.awaitListening(ctx, stdout); err != nil {
		p.Kill()
		return nil, &StartError{Name: name, LogFile: p.LogFile, Cause: err}
	}
	r.mu.Lock()
	r.started = append(r.started, p)
	r.mu.Unlock()
	return p, nil
}

func (p *Process) awaitListening(ctx context.Context, stdout *listenWriter) error {
	select {
	case p.Address = <-stdout.address:
		return nil
	case <-p.exited:
		return &ExitError{Name: p.Name, LogFile: p.LogFile, Code: p.ExitCode(), Cause: p.waitErr}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchExit waits for the exit of a process on a separate duty.
func (r *Runner) watchExit(p *Process, file *os.File) {
	duty.Run(r.duties, "exit-"+p.Name, func() {
		p.waitErr = p.cmd.Wait()
		_ = file.Close()
		close(p.exited)
	})
}

// Run runs a program until it exits and returns its stdout. Both stdout and stderr
// go to the output file. Errors: *StartError, *ExitError.
func (r *Runner) Run(ctx context.Context, name, program string, args ...string) ([]byte, error) {
	logFile := filepath.Join(r.outDir, name+".log")
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, &StartError{Name: name, LogFile: logFile, Cause: err}
	}
	defer func() { _ = file.Close() }()
	cmd := exec.CommandContext(ctx, r.path(program), args...)
	cmd.Stderr = file
	out, err := cmd.Output()
	_, _ = file.Write(out)
	if err == nil {
		return out, nil
	}
	if cmd.ProcessState == nil {
		return nil, &StartError{Name: name, LogFile: logFile, Cause: err}
	}
	return out, &ExitError{Name: name, LogFile: logFile, Code: cmd.ProcessState.ExitCode(), Cause: err}
}

// StopAll stops the processes with SIGTERM one by one, in reverse order of their
// start. Errors: the first *ExitError; all processes are stopped nevertheless.
func (r *Runner) StopAll(ctx context.Context) error {
	r.mu.Lock()
	started := r.started
	r.started = nil
	r.mu.Unlock()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		if err := started[i].Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Kill kills a process and removes it from those that StopAll stops.
func (r *Runner) Kill(p *Process) {
	r.mu.Lock()
	r.started = slices.DeleteFunc(r.started, func(other *Process) bool { return other == p })
	r.mu.Unlock()
	p.Kill()
}

// KillAll kills the processes that were started and not yet stopped.
func (r *Runner) KillAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.started {
		p.Kill()
	}
	r.started = nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed after the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit status, or -1 if a signal ended the process or it
// still runs.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Signal sends a signal. Errors: those of os.Process.Signal.
func (p *Process) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Pause freezes the process with SIGSTOP. Errors: as Signal.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT. Errors: as Signal.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the exit; if ctx ends first, it kills the
// process. Errors: *ExitError unless the process exited with status 0.
func (p *Process) Stop(ctx context.Context) error {
	// The signal fails if the process has already exited.
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-ctx.Done():
		p.Kill()
		return &ExitError{Name: p.Name, LogFile: p.LogFile, Code: -1, Cause: ctx.Err()}
	}
	if p.waitErr != nil {
		return &ExitError{Name: p.Name, LogFile: p.LogFile, Code: p.ExitCode(), Cause: p.waitErr}
	}
	return nil
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	// The signal fails if the process has already exited.
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}
