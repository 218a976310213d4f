package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/check"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/plain/service"
)

// Sizes and times of the load.
const (
	memberThreads     = 8
	steadyThreads     = 2 * daemonCount // each sends long chats to one daemon, one at a time
	onceThreads       = 4
	thinkTime         = 15 * time.Millisecond // between two requests of a thread
	memberDeadline    = 5 * time.Second
	clientTimeout     = memberDeadline + 2*time.Second
	shortTokens       = 20
	longTokens        = 300
	longRequestOneIn  = 5 // one random chat in this many is long
	twinCallOneIn     = 4 // one once-only call in this many is made through two daemons at the same time
	maxOnceAttempts   = 5
	maxKillerAttempts = 60 // fewer if every daemon refuses the request
	killerTokens      = 5
	killerTimeout     = 25 * time.Second
	killerInterval    = 400 * time.Millisecond // time for engines to restart
)

// requestRecord is a request of a caller and its response.
type requestRecord struct {
	Daemon    int // index
	Begin     time.Time
	End       time.Time
	RequestID api.RequestID
	Outcome   api.Outcome // zero if no response arrived
	Status    int
	Tokens    int // of a complete response
	Versions  []api.WeightVersion
	Plain     bool   // a plain call, not a chat
	Body      string // SHA-256 of a plain call's body
	Foreign   string // why a complete response is not the response to the request
	Killer    int    // number of the killer request, from 1; 0 for other requests
	Error     string
}

// load sends requests and records their responses.
type load struct {
	deployment *deployment
	seed       uint64
	caller     *check.Caller

	mu       sync.Mutex
	requests []requestRecord
}

func newLoad(d *deployment, seed uint64) *load {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: memberThreads}}
	return &load{deployment: d, seed: seed, caller: &check.Caller{Customer: member, Client: client, Deadline: memberDeadline}}
}

// callerThread sends requests one after another until its context ends.
type callerThread struct {
	send func(ctx context.Context, rng *rand.Rand, n int) // sends the n-th request
	rng  *rand.Rand
	done *sync.WaitGroup
}

// Handle sends requests until ctx, the message, ends.
func (c *callerThread) Handle(_ context.Context, ctx context.Context) {
	defer c.done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c.send(ctx, c.rng, n)
		duty.Sleep(ctx, thinkTime)
	}
}

// run generates load until ctx ends and returns after all requests have ended.
func (l *load) run(ctx context.Context) {
	var done sync.WaitGroup
	startThread := func(i int, send func(context.Context, *rand.Rand, int)) {
		done.Add(1)
		c := &callerThread{send: send, rng: rand.New(rand.NewPCG(l.seed, uint64(i))), done: &done}
		d := duty.Start(l.deployment.system, duty.Config{Name: fmt.Sprintf("caller-%d", i), RingSize: 1}, duty.Handler[context.Context](c))
		// Can't fail: the ring has room for the only message.
		_ = d.Post(ctx)
	}
	for i := range memberThreads {
		startThread(i, func(_ context.Context, rng *rand.Rand, n int) {
			l.sendRandomChat(rng, fmt.Sprintf("check-in %d-%d", i, n))
		})
	}
	for i := range onceThreads {
		twins := duty.Start(l.deployment.system, duty.Config{Name: fmt.Sprintf("twin-%d", i), RingSize: 1}, duty.Handler[func()](duty.Func{}))
		startThread(memberThreads+i, func(_ context.Context, rng *rand.Rand, n int) {
			l.runOnceCall(rng, twins, fmt.Sprintf("slip-%d-%d", i, n))
		})
	}
	for i := range steadyThreads {
		startThread(memberThreads+onceThreads+i, func(_ context.Context, rng *rand.Rand, n int) {
			l.sendChat(i%daemonCount, fmt.Sprintf("long %d-%d: len=%d", i, n, longTokens), longTokens, rng.IntN(2) == 0)
		})
	}
	done.Wait()
}

// add stores the record of a request that has just ended.
func (l *load) add(req requestRecord) {
	req.End = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, req)
}

func (l *load) sendRandomChat(rng *rand.Rand, text string) requestRecord {
	length := 1 + rng.IntN(shortTokens)
	if rng.IntN(longRequestOneIn) == 0 {
		length = longTokens
	}
	return l.sendChat(rng.IntN(daemonCount), fmt.Sprintf("%s: len=%d", text, length), length, rng.IntN(2) == 0)
}

func (l *load) sendChat(daemon int, text string, length int, stream bool) requestRecord {
	return l.sendRecorded(requestRecord{Daemon: daemon}, text, length, stream)
}

// sendRecorded sends a chat and completes and stores its record.
func (l *load) sendRecorded(req requestRecord, text string, length int, stream bool) requestRecord {
	req.Begin = time.Now()
	response, err := l.caller.Chat(context.Background(), l.deployment.callerAddresses[req.Daemon], check.ChatRequest{
		Model: model, MaxTokens: longTokens + 1, Stream: stream,
		Messages: []work.Message{{Role: "system", Content: "You coach bakers."}, {Role: "user", Content: text}},
	})
	req.RequestID, req.Outcome, req.Status, req.Versions = response.RequestID, response.Outcome, response.Status, response.Versions
	var wrong *check.WrongResponseError
	switch {
	case errors.As(err, &wrong):
		req.Foreign = wrong.Error()
	case err != nil:
		req.setError(err)
	default:
		req.Tokens = length
	}
	l.add(req)
	return req
}

// setError stores an error. It discards the outcome complete: a response header may
// have announced it before the response was interrupted.
func (req *requestRecord) setError(err error) {
	req.Error = err.Error()
	if req.Outcome == api.OutcomeComplete {
		req.Outcome = 0
	}
}

// runOnceCall makes a call that must run at most once. It repeats the call with the
// same key through other daemons until one reports it complete. Some calls are made
// through two daemons at the same time.
func (l *load) runOnceCall(rng *rand.Rand, twins *duty.Duty[func()], key string) {
	daemon := rng.IntN(daemonCount)
	var twin sync.WaitGroup
	if rng.IntN(twinCallOneIn) == 0 {
		other := daemon + 1
		twin.Add(1)
		call := func() {
			defer twin.Done()
			l.callOnce(other, key)
		}
		if twins.Post(call) != nil {
			twin.Done()
		}
	}
	for i := range maxOnceAttempts {
		if req := l.callOnce(daemon+i, key); req.Outcome == api.OutcomeComplete {
			break
		}
		duty.Sleep(context.Background(), retryInterval)
	}
	twin.Wait()
}

func (l *load) callOnce(daemon int, key string) requestRecord {
	req := requestRecord{Daemon: daemon % daemonCount, Begin: time.Now(), Plain: true, Body: sha256Hex(key)}
	response, err := l.caller.CallOnce(context.Background(), l.deployment.callerAddresses[req.Daemon], check.OnceRequest{
		Service: string(plainService), Path: "slips", Body: []byte(key), Key: key,
	})
	req.RequestID, req.Outcome, req.Status = response.RequestID, response.Outcome, response.Status
	if err != nil {
		req.setError(err)
	} else {
		var result service.Response
		if json.Unmarshal([]byte(response.Text), &result) != nil || result.BodySHA256 != req.Body {
			req.Foreign = response.Text
		}
	}
	l.add(req)
	return req
}

// runKiller sends a killer request, which crashes each engine that runs it, through
// all daemons in turn until each has refused it with status 422 (quarantined). It
// reports whether all did.
func (l *load) runKiller(ctx context.Context, number int) bool {
	deadline, refusals := time.Now().Add(killerTimeout), 0
	text := fmt.Sprintf("%s %d: len=%d", killerText, number, killerTokens)
	for i := range maxKillerAttempts {
		req := l.sendRecorded(requestRecord{Daemon: (number + i) % daemonCount, Killer: number}, text, killerTokens, false)
		refusals++
		if req.Status != http.StatusUnprocessableEntity {
			refusals = 0
		}
		if refusals == daemonCount {
			return true
		}
		if time.Now().After(deadline) || !duty.Sleep(ctx, killerInterval) {
			break
		}
	}
	return false
}

// writeRequests writes the records of all requests to a file, one JSON object per
// line, for the analysis of a run.
func (l *load) writeRequests(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write requests: %w", err)
	}
	encoder := json.NewEncoder(f)
	for _, req := range l.requests {
		if err := encoder.Encode(req); err != nil {
			_ = f.Close()
			return fmt.Errorf("write requests: %w", err)
		}
	}
	return f.Close()
}
