package proc

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func newScriptRunner(t *testing.T, script string) *Runner {
	t.Helper()
	bin := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(bin, "prog"), []byte("#!/bin/sh\n"+script), 0o755))
	r, err := NewRunner(bin, filepath.Join(t.TempDir(), "out"))
	assert.NilError(t, err)
	t.Cleanup(r.KillAll)
	return r
}

func TestStartAwaitsAddressAndStopAllStops(t *testing.T) {
	r := newScriptRunner(t, "trap 'exit 0' TERM\necho hello\nprintf 'listen'\necho 'ing 127.0.0.1:1'\nwhile :; do sleep 0.01; done\n")
	p, err := r.Start(context.Background(), "a", "prog")
	assert.NilError(t, err)
	assert.Equal(t, p.Address, "127.0.0.1:1")
	assert.Equal(t, p.ExitCode(), -1)
	assert.NilError(t, p.Pause())
	assert.NilError(t, p.Resume())
	assert.NilError(t, r.StopAll(context.Background()))
	assert.Equal(t, p.ExitCode(), 0)
	out, err := os.ReadFile(p.LogFile)
	assert.NilError(t, err)
	assert.Equal(t, string(out), "hello\nlistening 127.0.0.1:1\n")
}

func TestStartReportsEarlyExit(t *testing.T) {
	r := newScriptRunner(t, "exit 3\n")
	_, err := r.Start(context.Background(), "a", "prog")
	var exit *ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.Code, 3)
	_, err = r.Start(context.Background(), "b", "no-such-program")
	var start *StartError
	assert.Assert(t, errors.As(err, &start))
}

func TestRunReturnsOutputAndExitCode(t *testing.T) {
	r := newScriptRunner(t, "echo \"$1\"\nexit \"$2\"\n")
	out, err := r.Run(context.Background(), "a", "prog", "x", "0")
	assert.NilError(t, err)
	assert.Equal(t, string(out), "x\n")
	_, err = r.Run(context.Background(), "a", "prog", "x", "4")
	var exit *ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.Code, 4)
}

func TestStopAllReportsKilledProcess(t *testing.T) {
	r := newScriptRunner(t, "echo 'listening 127.0.0.1:1'\nexec sleep 60\n")
	p, err := r.Start(context.Background(), "a", "prog")
	assert.NilError(t, err)
	p.Kill()
	assert.Assert(t, r.StopAll(context.Background()) != nil)
}

func TestFreeAddressesAreDistinct(t *testing.T) {
	a, err := FreeAddresses(3)
	assert.NilError(t, err)
	b, err := FreeAddresses(1)
	assert.NilError(t, err)
	a = append(a, b...)
	slices.Sort(a)
	assert.Equal(t, len(slices.Compact(a)), 4)
}

func TestStopAllSkipsProcessKilledByRunner(t *testing.T) {
	r := newScriptRunner(t, "echo 'listening 127.0.0.1:1'\nexec sleep 60\n")
	p, err := r.Start(context.Background(), "a", "prog")
	assert.NilError(t, err)
	r.Kill(p)
	assert.NilError(t, r.StopAll(context.Background()))
	assert.Equal(t, p.ExitCode(), -1)
}
