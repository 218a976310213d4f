package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

// The load.
const (
	memberThreads     = 6 // in turn: check-ins, slips and voices
	thinkTime         = 20 * time.Millisecond
	memberDeadline    = 2 * time.Second
	streamDeadline    = 5 * time.Second
	killerText        = "soak-killer" // crashes each server that runs a request with it
	killerOneIn       = 600
	maxKillerAttempts = 12 // attempts of a caller that does not give up
)

// requestRecord is one attempt of a caller with what came of it.
type requestRecord struct {
	platform.Response
	SentID   string
	Path     string
	Daemon   int
	Begin    time.Time
	End      time.Time
	Mismatch string // why a success is not the answer to the request
	Killer   string // the killer request that this is an attempt of
}

// load makes requests and keeps what came of them.
type load struct {
	deployment *deployment
	seed       uint64

	mu          sync.Mutex
	requests    []requestRecord
	killerCount int
}

// run makes load until ctx ends and returns when every request has its end.
func (l *load) run(ctx context.Context) {
	var done sync.WaitGroup
	for i := range memberThreads {
		done.Add(1)
		rng := rand.New(rand.NewPCG(l.seed, uint64(i)))
		duty.Run(l.deployment.system, fmt.Sprintf("member-%d", i), func() {
			defer done.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.sendNext(ctx, rng, i, n)
				duty.Sleep(ctx, thinkTime)
			}
		})
	}
	done.Wait()
}

func (l *load) sendNext(ctx context.Context, rng *rand.Rand, i, n int) {
	id := fmt.Sprintf("%d-%d", i, n)
	if i%3 == 0 && rng.IntN(killerOneIn) == 0 {
		l.runKiller(ctx, rng)
	}
	l.send(ctx, []string{safePath, oncePath, streamPath}[i%3], id, rng.IntN(daemonCount), "")
}

// send makes one attempt and keeps what came of it.
func (l *load) send(ctx context.Context, path, id string, daemon int, killer string) requestRecord {
	call := platform.Call{Method: http.MethodPost, Path: path + "x?of=" + id, RequestID: id, Body: []byte("body of " + id), Deadline: memberDeadline}
	if killer != "" {
		call.Path, call.Body = path+"x", []byte(killer)
	}
	if path == streamPath {
		call.Model, call.Deadline = models[0], streamDeadline
	}
	a := requestRecord{SentID: id, Path: path, Daemon: daemon, Begin: time.Now(), Killer: killer}
	a.Response = l.deployment.client.Send(context.WithoutCancel(ctx), l.deployment.callerAddresses[daemon], call)
	a.End = time.Now()
	a.Mismatch = responseMismatch(a, call)
	a.Body = nil // compared; a long soak would keep too much
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, a)
	return a
}

// responseMismatch says why a success is not the answer to its request.
func responseMismatch(a requestRecord, call platform.Call) string {
	switch {
	case a.Err != nil || a.Status != http.StatusOK:
		return ""
	case a.RequestID != a.SentID || a.Signature != "signed-"+a.SentID:
		return fmt.Sprintf("the answer is to %q, signed %q", a.RequestID, a.Signature)
	case call.Model != "":
		if err := platform.CheckStream(a.SentID, eventsPerItem, a.Body); err != nil {
			return err.Error()
		}
	case string(a.Body) != fmt.Sprintf("%s %s %s", call.Method, call.Path, call.Body):
		return "another body"
	}
	return ""
}

// runKiller asks for what crashes its servers, again and again at any daemon, as a
// caller does that doesn't know.
func (l *load) runKiller(ctx context.Context, rng *rand.Rand) {
	l.mu.Lock()
	l.killerCount++
	killer := fmt.Sprintf("%s %d", killerText, l.killerCount)
	l.mu.Unlock()
	for try := range maxKillerAttempts {
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(killer, " ", "-"), try)
		l.send(ctx, safePath, id, rng.IntN(daemonCount), killer)
		if !duty.Sleep(ctx, time.Second) {
			return
		}
	}
}
