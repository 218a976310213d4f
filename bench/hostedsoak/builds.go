package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
)

const daemonProgram = "dotterelmountd"

// builds are the builds of the daemons.
type builds struct {
	same     bool   // all daemons are of this build
	previous string // path of an earlier build's daemon; empty: none
	back     bool   // from this build to the earlier one
}

// newBuilds checks the options. Errors: CodeInvalid, those of filepath.Abs.
func newBuilds(same bool, previous string, back bool) (builds, error) {
	if previous == "" {
		return builds{same: same}, nil
	}
	if same {
		return builds{}, api.Errorf(api.CodeInvalid, "--same-build excludes --previous")
	}
	path, err := filepath.Abs(filepath.Join(previous, daemonProgram))
	if err != nil {
		return builds{}, fmt.Errorf("earlier build: %w", err)
	}
	return builds{previous: path, back: back}, nil
}

// first returns the program with which daemons begin.
func (b builds) first() string {
	if b.previous == "" || b.back {
		return daemonProgram
	}
	return b.previous
}

// last returns the program with which daemons end.
func (b builds) last() string {
	if b.back {
		return b.previous
	}
	return daemonProgram
}

// replaceBuilds replaces the daemons one after the other within a duration, each by a
// graceful stop. It returns at once; the result waits until all are replaced.
func (j *injector) replaceBuilds(ctx context.Context, during time.Duration) *sync.WaitGroup {
	var replaced sync.WaitGroup
	b, daemons := j.deployment.builds, j.deployment.daemons
	if b.previous == "" {
		return &replaced
	}
	replaced.Add(1)
	duty.Run(j.deployment.system, "builds", func() {
		defer replaced.Done()
		for n, daemon := range daemons {
			duty.Sleep(ctx, during/time.Duration(len(daemons)))
			daemon.SetProgram(b.last())
			j.pending.Add(1)
			j.inject(ctx, fault{Kind: daemonTerm, Target: n}, daemon.Name, daemonAction(fault{Kind: daemonTerm}, daemon))
		}
	})
	return &replaced
}
