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

// The load.
const (
	memberThreads     = 8
	steadyThreads     = 2 * daemonCount // each asks one daemon for long answers, one after the other
	onceThreads       = 4
	thinkTime         = 15 * time.Millisecond
	memberDeadline    = 5 * time.Second
	clientTimeout     = memberDeadline + 2*time.Second
	shortTokens       = 20
	longTokens        = 300
	longRequestOneIn  = 5
	twinCallOneIn     = 4 // once-only calls made through two daemons at the same moment
	maxOnceAttempts   = 5
	maxKillerAttempts = 60 // at most; a refusal for good ends them
	killerTokens      = 5
	killerTimeout     = 25 * time.Second
	killerInterval    = 400 * time.Millisecond // engines start again meanwhile
)

// requestRecord is one request of a caller with what came of it.
type requestRecord struct {
	Daemon    int
	Begin     time.Time
	End       time.Time
	RequestID api.RequestID
	Outcome   api.Outcome // zero: no answer came
	Status    int
	Tokens    int // of a complete answer
	Versions  []api.WeightVersion
	Plain     bool
	Body      string // SHA-256 of a plain call's body
	Foreign   string // why a complete answer is not the answer to the request
	Killer    int    // number of a killer request; 0: not one
	Error     string
}

// load makes requests and keeps what came of them.
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

// callerThread is one thread that asks until its context ends.
type callerThread struct {
	send func(ctx context.Context, rng *rand.Rand, n int)
	rng  *rand.Rand
	done *sync.WaitGroup
}

// Handle asks until ctx, which comes as the message, ends.
func (c *callerThread) Handle(_ context.Context, ctx context.Context) {
	defer c.done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c.send(ctx, c.rng, n)
		duty.Sleep(ctx, thinkTime)
	}
}

// run makes load until ctx ends and returns when every request has its end.
func (l *load) run(ctx context.Context) {
	var done sync.WaitGroup
	begin := func(i int, turn func(context.Context, *rand.Rand, int)) {
		done.Add(1)
		c := &callerThread{send: turn, rng: rand.New(rand.NewPCG(l.seed, uint64(i))), done: &done}
		d := duty.Start(l.deployment.system, duty.Config{Name: fmt.Sprintf("caller-%d", i), RingSize: 1}, duty.Handler[context.Context](c))
		// An empty ring of one entry takes the only message.
		_ = d.Post(ctx)
	}
	for i := range memberThreads {
		begin(i, func(_ context.Context, rng *rand.Rand, n int) {
			l.sendRandomChat(rng, fmt.Sprintf("check-in %d-%d", i, n))
		})
	}
	for i := range onceThreads {
		twins := duty.Start(l.deployment.system, duty.Config{Name: fmt.Sprintf("twin-%d", i), RingSize: 1}, duty.Handler[func()](duty.Func{}))
		begin(memberThreads+i, func(_ context.Context, rng *rand.Rand, n int) {
			l.runOnceCall(rng, twins, fmt.Sprintf("slip-%d-%d", i, n))
		})
	}
	for i := range steadyThreads {
		begin(memberThreads+onceThreads+i, func(_ context.Context, rng *rand.Rand, n int) {
			l.sendChat(i%daemonCount, fmt.Sprintf("long %d-%d: len=%d", i, n, longTokens), longTokens, rng.IntN(2) == 0)
		})
	}
	done.Wait()
}

func (l *load) add(a requestRecord) {
	a.End = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, a)
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

// sendRecorded asks with what is already known of a request.
func (l *load) sendRecorded(a requestRecord, text string, length int, stream bool) requestRecord {
	a.Begin = time.Now()
	reply, err := l.caller.Chat(context.Background(), l.deployment.callerAddresses[a.Daemon], check.ChatRequest{
		Model: model, MaxTokens: longTokens + 1, Stream: stream,
		Messages: []work.Message{{Role: "system", Content: "You coach bakers."}, {Role: "user", Content: text}},
	})
	a.RequestID, a.Outcome, a.Status, a.Versions = reply.RequestID, reply.Outcome, reply.Status, reply.Versions
	var wrong *check.WrongResponseError
	switch {
	case errors.As(err, &wrong):
		a.Foreign = wrong.Error()
	case err != nil:
		a.setError(err)
	default:
		a.Tokens = length
	}
	l.add(a)
	return a
}

// setError keeps an error. An answer that broke off tells no outcome, whatever its
// header said before.
func (a *requestRecord) setError(err error) {
	a.Error = err.Error()
	if a.Outcome == api.OutcomeComplete {
		a.Outcome = 0
	}
}

// runOnceCall makes a call that must not be repeated, and makes it again with the same
// key through other daemons until it is known to have run.
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
		if a := l.callOnce(daemon+i, key); a.Outcome == api.OutcomeComplete {
			break
		}
		duty.Sleep(context.Background(), retryInterval)
	}
	twin.Wait()
}

func (l *load) callOnce(daemon int, key string) requestRecord {
	a := requestRecord{Daemon: daemon % daemonCount, Begin: time.Now(), Plain: true, Body: sha256Hex(key)}
	reply, err := l.caller.CallOnce(context.Background(), l.deployment.callerAddresses[a.Daemon], check.OnceRequest{
		Service: string(plainService), Path: "slips", Body: []byte(key), Key: key,
	})
	a.RequestID, a.Outcome, a.Status = reply.RequestID, reply.Outcome, reply.Status
	if err != nil {
		a.setError(err)
	} else {
		var answer service.Response
		if json.Unmarshal([]byte(reply.Text), &answer) != nil || answer.BodySHA256 != a.Body {
			a.Foreign = reply.Text
		}
	}
	l.add(a)
	return a
}

// runKiller sends a request that crashes each engine that runs it, again and again
// through other daemons, until each in turn refused it for good. It reports whether it was.
func (l *load) runKiller(ctx context.Context, number int) bool {
	limit, refusals := time.Now().Add(killerTimeout), 0
	text := fmt.Sprintf("%s %d: len=%d", killerText, number, killerTokens)
	for i := range maxKillerAttempts {
		a := l.sendRecorded(requestRecord{Daemon: (number + i) % daemonCount, Killer: number}, text, killerTokens, false)
		refusals++
		if a.Status != http.StatusUnprocessableEntity {
			refusals = 0
		}
		if refusals == daemonCount {
			return true
		}
		if time.Now().After(limit) || !duty.Sleep(ctx, killerInterval) {
			break
		}
	}
	return false
}

// writeRequests writes every request to a file of JSON lines, for looking into a run.
func (l *load) writeRequests(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("requests: %w", err)
	}
	encoder := json.NewEncoder(f)
	for _, a := range l.requests {
		if err := encoder.Encode(a); err != nil {
			_ = f.Close()
			return fmt.Errorf("requests: %w", err)
		}
	}
	return f.Close()
}
