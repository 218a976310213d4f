package supervise

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func startScript(t *testing.T) *Process {
	t.Helper()
	bin := t.TempDir()
	script := "#!/bin/sh\necho 'listening 127.0.0.1:1'\nwhile :; do sleep 0.01; done\n"
	assert.NilError(t, os.WriteFile(filepath.Join(bin, "prog"), []byte(script), 0o755))
	r, err := proc.NewRunner(bin, t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(r.KillAll)
	s := Start(duty.NewSystem(nil), &Process{Runner: r, Name: "p", Program: "prog"})
	awaitRunning(t, s)
	return s
}

func awaitRunning(t *testing.T, s *Process) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Current() != nil {
			return poll.Success()
		}
		return poll.Continue("not running")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against a pause that is not counted as injected because a kill ended it: a
// seed of the hosted soak had no other pauses.
func TestPauseCountsIfKillEndsIt(t *testing.T) {
	s := startScript(t)
	time.AfterFunc(50*time.Millisecond, func() { s.Kill() })
	assert.Assert(t, s.Pause(context.Background(), 300*time.Millisecond))
	awaitRunning(t, s)
	exits, _ := s.Close(context.Background()) // an error: the signal ends the script
	assert.Equal(t, len(exits), 2)
	assert.Assert(t, exits[0].Expected)
}
