package main

import (
	"context"
	"os/exec"
	"testing"

	"dotterelmount.example/bench/proc"
	"gotest.tools/v3/assert"
)

// Fixed schedule of the short soak.
const (
	shortSeed     = "1" // has failed before; see the table of seeds under "Soak of hosted daemons" in docs/PROOF.md
	shortDuration = "15s"
)

func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a whole deployment")
	}
	bin, out := t.TempDir(), t.TempDir()
	built, err := exec.Command("go", "build", "-o", bin, "dotterelmount.example/cmd/dotterelmountd", "dotterelmount.example/bench/hostedsoak").CombinedOutput()
	assert.NilError(t, err, "%s", built)
	runner, err := proc.NewRunner(bin, t.TempDir())
	assert.NilError(t, err)
	line, err := runner.Run(context.Background(), "soak", "hostedsoak", "--bin", bin, "--out", out, "--seed", shortSeed, "--duration", shortDuration, "--same-build")
	assert.NilError(t, err, "%s", line)
}
