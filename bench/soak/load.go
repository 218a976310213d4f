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
	memberThreads  = 8
	steadyThreads  = 2 * daemonCount // each asks one daemon for long answers, one after the other
	onceThreads    = 4
	thinkTime      = 15 * time.Millisecond
	memberDeadline = 5 * time.Second
	clientLimit    = memberDeadline + 2*time.Second
	shortTokens    = 20
	longTokens     = 300
	longOneIn      = 5
	twiceOneIn     = 4 // once-only calls made through two daemons at the same moment
	onceAttempts   = 5
	killerAttempts = 60 // at most; a refusal for good ends them
	killerTokens   = 5
	killerTime     = 25 * time.Second
	killerEvery    = 400 * time.Millisecond // engines start again meanwhile
)

// asked is one request of a caller with what came of it.
type asked struct {
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
	d      *deployment
	seed   uint64
	caller *check.Caller

	mu    sync.Mutex
	asked []asked
}

func newLoad(d *deployment, seed uint64) *load {
	client := &http.Client{Timeout: clientLimit, Transport: &http.Transport{MaxIdleConnsPerHost: memberThreads}}
	return &load{d: d, seed: seed, caller: &check.Caller{Customer: member, Client: client, Deadline: memberDeadline}}
}

// callers is one thread that asks until its context ends.
type callers struct {
	turn func(ctx context.Context, rng *rand.Rand, n int)
	rng  *rand.Rand
	done *sync.WaitGroup
}

// Handle asks until ctx, which comes as the message, ends.
func (c *callers) Handle(_ context.Context, ctx context.Context) {
	defer c.done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c.turn(ctx, c.rng, n)
		duty.Sleep(ctx, thinkTime)
	}
}

// run makes load until ctx ends and returns when every request has its end.
func (l *load) run(ctx context.Context) {
	var done sync.WaitGroup
	begin := func(i int, turn func(context.Context, *rand.Rand, int)) {
		done.Add(1)
		c := &callers{turn: turn, rng: rand.New(rand.NewPCG(l.seed, uint64(i))), done: &done}
		d := duty.Start(l.d.system, duty.Config{Name: fmt.Sprintf("caller-%d", i), RingSize: 1}, duty.Handler[context.Context](c))
		// An empty ring of one entry takes the only message.
		_ = d.Post(ctx)
	}
	for i := range memberThreads {
		begin(i, func(_ context.Context, rng *rand.Rand, n int) { l.chat(rng, fmt.Sprintf("check-in %d-%d", i, n)) })
	}
	for i := range onceThreads {
		twins := duty.Start(l.d.system, duty.Config{Name: fmt.Sprintf("twin-%d", i), RingSize: 1}, duty.Handler[func()](duty.Func{}))
		begin(memberThreads+i, func(_ context.Context, rng *rand.Rand, n int) { l.once(rng, twins, fmt.Sprintf("slip-%d-%d", i, n)) })
	}
	for i := range steadyThreads {
		begin(memberThreads+onceThreads+i, func(_ context.Context, rng *rand.Rand, n int) {
			l.ask(i%daemonCount, fmt.Sprintf("long %d-%d: len=%d", i, n, longTokens), longTokens, rng.IntN(2) == 0)
		})
	}
	done.Wait()
}

func (l *load) add(a asked) {
	a.End = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, a)
}

func (l *load) chat(rng *rand.Rand, text string) asked {
	length := 1 + rng.IntN(shortTokens)
	if rng.IntN(longOneIn) == 0 {
		length = longTokens
	}
	return l.ask(rng.IntN(daemonCount), fmt.Sprintf("%s: len=%d", text, length), length, rng.IntN(2) == 0)
}

func (l *load) ask(daemon int, text string, length int, stream bool) asked {
	return l.askAs(asked{Daemon: daemon}, text, length, stream)
}

// askAs asks with what is already known of a request.
func (l *load) askAs(a asked, text string, length int, stream bool) asked {
	a.Begin = time.Now()
	reply, err := l.caller.Ask(context.Background(), l.d.callers[a.Daemon], check.Chat{
		Model: model, MaxTokens: longTokens + 1, Stream: stream,
		Messages: []work.Message{{Role: "system", Content: "You coach bakers."}, {Role: "user", Content: text}},
	})
	a.RequestID, a.Outcome, a.Status, a.Versions = reply.RequestID, reply.Outcome, reply.Status, reply.Versions
	var wrong *check.WrongAnswerError
	switch {
	case errors.As(err, &wrong):
		a.Foreign = wrong.Error()
	case err != nil:
		a.fail(err)
	default:
		a.Tokens = length
	}
	l.add(a)
	return a
}

// fail keeps an error. An answer that broke off tells no outcome, whatever its
// header said before.
func (a *asked) fail(err error) {
	a.Error = err.Error()
	if a.Outcome == api.OutcomeComplete {
		a.Outcome = 0
	}
}

// once makes a call that must not be repeated, and makes it again with the same
// key through other daemons until it is known to have run.
func (l *load) once(rng *rand.Rand, twins *duty.Duty[func()], key string) {
	daemon := rng.IntN(daemonCount)
	var twin sync.WaitGroup
	if rng.IntN(twiceOneIn) == 0 {
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
	for i := range onceAttempts {
		if a := l.callOnce(daemon+i, key); a.Outcome == api.OutcomeComplete {
			break
		}
		duty.Sleep(context.Background(), retryEvery)
	}
	twin.Wait()
}

func (l *load) callOnce(daemon int, key string) asked {
	a := asked{Daemon: daemon % daemonCount, Begin: time.Now(), Plain: true, Body: sha(key)}
	reply, err := l.caller.CallOnce(context.Background(), l.d.callers[a.Daemon], check.Once{
		Service: string(plainService), Path: "slips", Body: []byte(key), Key: key,
	})
	a.RequestID, a.Outcome, a.Status = reply.RequestID, reply.Outcome, reply.Status
	if err != nil {
		a.fail(err)
	} else {
		var answer service.Answer
		if json.Unmarshal([]byte(reply.Text), &answer) != nil || answer.BodySHA256 != a.Body {
			a.Foreign = reply.Text
		}
	}
	l.add(a)
	return a
}

// killer sends a request that crashes each engine that runs it, again and again
// through other daemons, until each in turn refused it for good. It reports whether it was.
func (l *load) killer(ctx context.Context, number int) bool {
	limit, refusals := time.Now().Add(killerTime), 0
	text := fmt.Sprintf("%s %d: len=%d", killerText, number, killerTokens)
	for i := range killerAttempts {
		a := l.askAs(asked{Daemon: (number + i) % daemonCount, Killer: number}, text, killerTokens, false)
		refusals++
		if a.Status != http.StatusUnprocessableEntity {
			refusals = 0
		}
		if refusals == daemonCount {
			return true
		}
		if time.Now().After(limit) || !duty.Sleep(ctx, killerEvery) {
			break
		}
	}
	return false
}

// dump writes every request to a file of JSON lines, for looking into a run.
func (l *load) dump(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("requests: %w", err)
	}
	encoder := json.NewEncoder(f)
	for _, a := range l.asked {
		if err := encoder.Encode(a); err != nil {
			_ = f.Close()
			return fmt.Errorf("requests: %w", err)
		}
	}
	return f.Close()
}
