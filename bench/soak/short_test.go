package main

import (
	"context"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/bench/proc"
)

// Seed and duration of the short soak.
const (
	shortSeed     = "3"
	shortDuration = "20s"
)

// programs lists the programs of a deployment by their folders.
var programs = []string{
	"cmd/dotterelmountd", "standin/engine", "standin/hostlist", "standin/log",
	"standin/plain", "standin/trainer", "standin/weightstore", "bench/soak",
}

func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a whole deployment")
	}
	bin, out := t.TempDir(), t.TempDir()
	args := []string{"build", "-o", bin}
	for _, p := range programs {
		args = append(args, "dotterelmount.example/"+p)
	}
	built, err := exec.Command("go", args...).CombinedOutput()
	assert.NilError(t, err, "%s", built)
	runner, err := proc.NewRunner(bin, t.TempDir())
	assert.NilError(t, err)
	line, err := runner.Run(context.Background(), "soak", "soak", "--bin", bin, "--out", out, "--seed", shortSeed, "--duration", shortDuration)
	assert.NilError(t, err, "%s", line)
}
