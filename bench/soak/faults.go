package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/links"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/plain/service"
)

const (
	retryInterval  = 100 * time.Millisecond // between attempts to inject a fault
	retryTimeout   = 8 * time.Second
	crashCallDelay = time.Second // before a call is sent to a plain service that crashes on its next call
	termTimeout    = 15 * time.Second
	lostResponses  = 3                      // of the log, per fault
	logDelay       = 300 * time.Millisecond // of each response of the log
	slowFactor     = 10                     // of an engine in mode "slow"
	crashSeries    = 5                      // crashes of a series
	crashInterval  = 300 * time.Millisecond // between two of them
	faultRingSize  = 64                     // waiting faults of one queue
	controlTimeout = time.Second
)

// injector injects faults. Faults that exclude each other, such as those that end one
// process, share a queue and run one after another on its duty. Faults of different
// queues may overlap.
type injector struct {
	deployment *deployment
	operators  *operators
	runKiller  func(ctx context.Context, number int) bool
	queues     map[string]*duty.Duty[func()]

	mu          sync.Mutex
	killerCount int          // numbers given to killer requests so far
	counts      map[kind]int // injected faults
	injected    []injectedFault
	trainers    []*trainerProcess
	pending     sync.WaitGroup
}

func newInjector(d *deployment, o *operators) *injector {
	return &injector{deployment: d, operators: o, queues: make(map[string]*duty.Duty[func()]), counts: make(map[kind]int)}
}

// run injects the faults of a schedule and returns when all have ended. A fault that
// can't be injected within retryTimeout isn't counted.
func (j *injector) run(ctx context.Context, begin time.Time, faults []fault) {
	for _, f := range faults {
		queue, action := j.faultAction(f)
		_, subject, _ := strings.Cut(queue, ":")
		if j.queues[queue] == nil {
			cfg := duty.Config{Name: "fault-" + queue, RingSize: faultRingSize}
			j.queues[queue] = duty.Start(j.deployment.system, cfg, duty.Handler[func()](duty.Func{}))
		}
		if !duty.Sleep(ctx, time.Until(begin.Add(f.Start))) {
			break
		}
		j.pending.Add(1)
		run := func() {
			defer j.pending.Done()
			j.inject(ctx, f, subject, action)
		}
		if j.queues[queue].Post(run) != nil {
			j.pending.Done() // the queue is full; the fault isn't counted
		}
	}
	j.pending.Wait()
	for _, d := range j.queues {
		// The duties are idle and stop at once.
		_ = d.Stop(context.Background())
	}
	clear(j.queues)
}

// inject runs the action of a fault, retries it for at most retryTimeout until it
// succeeds, and records the fault.
func (j *injector) inject(ctx context.Context, f fault, subject string, action func(context.Context) bool) {
	begin := time.Now()
	deadline := time.Now().Add(retryTimeout)
	for !action(ctx) {
		if time.Now().After(deadline) || !duty.Sleep(ctx, retryInterval) {
			fmt.Fprintf(os.Stderr, "soak: fault %s of target %d was not injected\n", f.Kind, f.Target)
			return
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[f.Kind]++
	j.injected = append(j.injected, injectedFault{Kind: f.Kind, Subject: subject, Begin: begin, End: time.Now()})
}

// faultAction returns the queue of a fault and the function that injects it. The
// function blocks until the fault has ended and reports whether it was injected.
func (j *injector) faultAction(f fault) (string, func(context.Context) bool) {
	engine := j.deployment.engines[f.Target%engineCount]
	plain := j.deployment.plains[f.Target%plainCount]
	daemon := j.deployment.daemons[f.Target%daemonCount]
	link := j.deployment.network.Links[f.Target%len(j.deployment.network.Links)]
	switch f.Kind {
	case engineCrash:
		return "end:" + engine.Name, j.crash(engine)
	case engineCrashes:
		return "crashes", func(ctx context.Context) bool { return j.crashEngines(ctx, f.Target) }
	case plainCrash:
		return "end:" + plain.Name, j.crash(plain)
	case engineKill:
		return "end:" + engine.Name, func(context.Context) bool { return engine.Kill() }
	case daemonKill:
		return "end:" + daemon.Name, func(context.Context) bool { return daemon.Kill() }
	case daemonPause:
		return "end:" + daemon.Name, func(ctx context.Context) bool { return daemon.Pause(ctx, f.Duration) }
	case daemonTerm:
		return "end:" + daemon.Name, func(ctx context.Context) bool { return daemon.Terminate(ctx, termTimeout) }
	case engineHang, engineSlow, engineCut, engineTruncate:
		modes := map[kind]string{engineHang: "hang", engineSlow: "slow", engineCut: "cut", engineTruncate: "truncate"}
		return "mode:" + engine.Name, j.setMode(engine, modes[f.Kind], f.Duration)
	case plainHang:
		return "mode:" + plain.Name, j.setMode(plain, "hang", f.Duration)
	case linkCut:
		return "link:" + link.Name, func(ctx context.Context) bool { return links.Cut(ctx, f.Duration, link) }
	case linkSilent:
		return "link:" + link.Name, func(ctx context.Context) bool { return link.Silence(ctx, links.SilenceAll, f.Duration) }
	case linkSilentOld:
		return "link:" + link.Name, func(ctx context.Context) bool { return link.Silence(ctx, links.SilenceExisting, f.Duration) }
	case centreParted:
		return "centre", func(ctx context.Context) bool { return links.Cut(ctx, f.Duration, j.centreLinks(f.Target)...) }
	case logOutage, logSlow, logLostResponses:
		return "log", j.logFault(f)
	case listRace:
		return "lists", func(ctx context.Context) bool { return j.operators.raceLists(ctx, f.Target) }
	case drainRace:
		return j.operators.drainQueue(f), func(ctx context.Context) bool { return j.operators.drain(ctx, f, func(context.Context) {}) }
	case drainLogOutage:
		return j.operators.drainQueue(f), func(ctx context.Context) bool { return j.operators.drain(ctx, f, j.outageAfterDrain) }
	case hostLeaving:
		return j.operators.drainQueue(f), func(ctx context.Context) bool { return j.operators.reportHostLeaving(ctx, f) }
	case trainerKill:
		t := j.trainers[f.Target%len(j.trainers)]
		return "end:" + t.name, func(context.Context) bool { return t.killRun() }
	case trainerStale:
		t := j.trainers[f.Target%len(j.trainers)]
		return "weights", func(ctx context.Context) bool { return j.outdateSamples(ctx, t, f.Target) }
	case weightSwap:
		return "weights", func(ctx context.Context) bool { return j.operators.announce(ctx, f.Target) }
	case weightSwapPartway:
		return "weights", j.swapPartway(f, engine)
	default: // killerRequest
		number := j.nextKiller()
		return "killer", func(ctx context.Context) bool { return j.runKiller(ctx, number) }
	}
}

// nextKiller returns the number of a new killer request, from 1.
func (j *injector) nextKiller() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killerCount++
	return j.killerCount
}

// postControl sends a control request to the stand-in at address and reports success.
func postControl(ctx context.Context, address string, body map[string]any) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return fleet.PostJSON(ctx, address, "/control", body) == nil
}

// crash makes a stand-in crash. A plain service crashes on its next call.
func (j *injector) crash(s *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		p := s.Current()
		if p == nil {
			return false
		}
		s.ExpectExit()
		// Fails: the process exits before it responds.
		_ = postControl(ctx, s.Address, map[string]any{"mode": "crash"})
		ctx, cancel := context.WithTimeout(ctx, crashCallDelay)
		defer cancel()
		select {
		case <-p.Exited():
		case <-ctx.Done():
			// This call fails too.
			call := fleet.Request{Method: http.MethodPost, Address: s.Address, Path: "/", Header: http.Header{service.HeaderRequestID: {string(soakRequestID)}}}
			callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), crashCallDelay)
			defer stop()
			_ = fleet.Do(callCtx, call, nil)
			return p.ExitCode() >= 0 // false if another fault has reset the mode
		}
		return true
	}
}

// crashEngines crashes crashSeries engines, one after another. It reports whether one of
// them was running.
func (j *injector) crashEngines(ctx context.Context, first int) bool {
	crashed := false
	for n := range crashSeries {
		crashed = j.crash(j.deployment.engines[(first+n)%engineCount])(ctx) || crashed
		duty.Sleep(ctx, crashInterval)
	}
	return crashed
}

// setMode sets the mode of a stand-in for a duration.
func (j *injector) setMode(s *supervise.Process, mode string, duration time.Duration) func(context.Context) bool {
	return func(ctx context.Context) bool {
		if !postControl(ctx, s.Address, map[string]any{"mode": mode, "factor": slowFactor}) {
			return false
		}
		duty.Sleep(ctx, duration)
		// Fails if the process does not run; a restart resets the mode.
		_ = postControl(ctx, s.Address, map[string]any{"mode": "normal"})
		return true
	}
}

// centreLinks returns the links to cut to separate a data centre from the log and, for
// half of the targets, also all daemons from each other.
func (j *injector) centreLinks(target int) []*links.Link {
	var cut []*links.Link
	for i := range daemonCount {
		if target/centreCount%2 == 0 {
			cut = append(cut, j.deployment.network.ByName[peerLink(i)])
		}
		if i%centreCount == target%centreCount {
			cut = append(cut, j.deployment.network.ByName[logLink(i)])
		}
	}
	return cut
}

// logFault injects a fault into the platform's log, whose process keeps running.
func (j *injector) logFault(f fault) func(context.Context) bool {
	return func(ctx context.Context) bool {
		address := j.deployment.log.Address
		switch f.Kind {
		case logOutage:
			return j.runLogOutage(ctx, f.Duration)
		case logSlow:
			ok := postControl(ctx, address, map[string]any{"delay_ms": logDelay.Milliseconds()})
			duty.Sleep(ctx, f.Duration)
			return postControl(context.WithoutCancel(ctx), address, map[string]any{"delay_ms": 0}) && ok
		default:
			return postControl(ctx, address, map[string]any{"lose_answers": lostResponses})
		}
	}
}

func (j *injector) runLogOutage(ctx context.Context, duration time.Duration) bool {
	ok := postControl(ctx, j.deployment.log.Address, map[string]any{"outage": true})
	duty.Sleep(ctx, duration)
	return postControl(context.WithoutCancel(ctx), j.deployment.log.Address, map[string]any{"outage": false}) && ok
}

// drainOutageTime is the duration of a log outage after a drain: longer than a drained
// upstream may still get new work.
const drainOutageTime = maxDrainDelay + time.Second

func (j *injector) outageAfterDrain(ctx context.Context) { j.runLogOutage(ctx, drainOutageTime) }

// swapPartway announces a new version that an engine fails to load once.
func (j *injector) swapPartway(f fault, engine *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		return postControl(ctx, engine.Address, map[string]any{"fail_loads": 1}) && j.operators.announce(ctx, f.Target)
	}
}
