package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

// Parameters of the members' load.
const (
	memberThreads     = 6                     // thread i sends check-ins, slips or voices, by i modulo 3
	thinkTime         = 20 * time.Millisecond // between two requests of a thread
	memberDeadline    = 2 * time.Second
	streamDeadline    = 5 * time.Second
	killerText        = "soak-killer" // a request that contains it crashes the server that runs it
	killerOneIn       = 600           // check-in turns per killer request, on average
	maxKillerAttempts = 12            // sent at intervals of 1 s
)

// requestRecord is one request of a caller with its response.
type requestRecord struct {
	platform.Response
	SentID   string
	Path     string
	Daemon   int
	Begin    time.Time
	End      time.Time
	Mismatch string // why a successful response is wrong; empty: it isn't
	Killer   string // the killer request that this is an attempt of; empty: none
}

// load sends members' requests and records their responses.
type load struct {
	deployment *deployment
	seed       uint64

	mu           sync.Mutex
	requests     []requestRecord
	killerCount  int
	sent         atomic.Int64 // streams
	noKillers    atomic.Bool  // killer requests are held back: they stop servers for all daemons
	notContinued []time.Time  // ends of streams that were resumed and not completed
	resumptions  map[int]int  // attempts to resume a stream, by status; 0: no complete response
}

// run sends requests until ctx ends and returns when the last one has ended.
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

// sendNext sends request n of thread i, sometimes after a killer request.
func (l *load) sendNext(ctx context.Context, rng *rand.Rand, i, n int) {
	id := fmt.Sprintf("%d-%d", i, n)
	if i%3 == 0 && rng.IntN(killerOneIn) == 0 && !l.noKillers.Load() {
		l.runKiller(ctx, rng)
	}
	l.send(ctx, []string{safePath, oncePath, streamPath}[i%3], id, rng.IntN(daemonCount), "")
}

// send sends one request and records its response.
func (l *load) send(ctx context.Context, path, id string, daemon int, killer string) requestRecord {
	call := platform.Call{Method: http.MethodPost, Path: path + "x?of=" + id, RequestID: id, Body: []byte("body of " + id), Deadline: memberDeadline}
	if killer != "" {
		call.Path, call.Body = path+"x", []byte(killer)
	}
	if path == streamPath {
		call.Model, call.Deadline = models[0], streamDeadline
		if l.sent.Add(1)%leaveEvery == 0 {
			call.LeaveAfter = eventsPerItem / 2
		}
	}
	record := requestRecord{SentID: id, Path: path, Daemon: daemon, Begin: time.Now(), Killer: killer}
	record.Response = l.deployment.client.Send(context.WithoutCancel(ctx), l.deployment.callerAddresses[daemon], call)
	record.End = time.Now()
	if path == streamPath && record.Err != nil {
		l.resume(ctx, &record, call)
	}
	record.Mismatch = responseMismatch(record, call)
	record.Body = nil // already checked; keeping the bodies of a long soak would use too much memory
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, record)
	return record
}

const (
	leaveEvery     = 4                      // callers leave every fourth stream midway and resume it
	maxResumptions = 6                      // of one stream
	resumeInterval = 200 * time.Millisecond // after one that failed
)

// resume resumes a stream that broke off after some events, at the daemons in turn. If it
// ends complete, the record has the whole stream.
func (l *load) resume(ctx context.Context, record *requestRecord, call platform.Call) {
	for n := range maxResumptions {
		whole := record.Body[:strings.LastIndex("\n\n"+string(record.Body), "\n\n")]
		call.LastEventID = strings.Count(string(whole), "\n\n")
		if record.Err == nil || call.LastEventID == 0 {
			return
		}
		if n > 0 && !duty.Sleep(ctx, resumeInterval) {
			return
		}
		call.LeaveAfter = 0
		call.RequestID, call.Resumes = fmt.Sprintf("%s-again-%d", record.SentID, n), record.SentID
		resp := l.deployment.client.Send(context.WithoutCancel(ctx), l.deployment.callerAddresses[(record.Daemon+1+n)%daemonCount], call)
		l.mu.Lock()
		status := resp.Status
		if resp.Err != nil {
			status = 0
		}
		l.resumptions[status]++
		l.mu.Unlock()
		if resp.Status != http.StatusOK {
			continue
		}
		rest := strings.ReplaceAll(string(resp.Body), call.RequestID+"-", record.SentID+"-")
		record.Body, record.Err = append(whole, rest...), resp.Err
	}
	if record.Err != nil {
		l.mu.Lock()
		l.notContinued = append(l.notContinued, record.End)
		l.mu.Unlock()
	}
}

// responseMismatch returns why a successful response doesn't belong to its
// request, or "" if it does.
func responseMismatch(record requestRecord, call platform.Call) string {
	switch {
	case record.Err != nil || record.Status != http.StatusOK:
		return ""
	case record.RequestID != record.SentID || record.Signature != "signed-"+record.SentID:
		return fmt.Sprintf("response is to %q, signed %q", record.RequestID, record.Signature)
	case call.Model != "":
		if err := platform.CheckStream(record.SentID, eventsPerItem, record.Body); err != nil {
			return err.Error()
		}
	case string(record.Body) != fmt.Sprintf("%s %s %s", call.Method, call.Path, call.Body):
		return "wrong body"
	}
	return ""
}

// runKiller sends a request that crashes its servers repeatedly, to random
// daemons, like a caller that is unaware of the cause.
func (l *load) runKiller(ctx context.Context, rng *rand.Rand) {
	l.mu.Lock()
	l.killerCount++
	killer := fmt.Sprintf("%s %d", killerText, l.killerCount)
	l.mu.Unlock()
	for attempt := range maxKillerAttempts {
		if l.noKillers.Load() {
			return
		}
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(killer, " ", "-"), attempt)
		l.send(ctx, safePath, id, rng.IntN(daemonCount), killer)
		if !duty.Sleep(ctx, time.Second) {
			return
		}
	}
}
