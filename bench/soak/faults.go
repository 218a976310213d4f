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
	retryEvery   = 100 * time.Millisecond // of a fault that could not be brought about yet
	retryLimit   = 8 * time.Second
	callAfter    = time.Second // a plain service that waits for a call to crash under gets one
	termLimit    = 15 * time.Second
	lostAnswers  = 3
	slowLog      = 300 * time.Millisecond
	slowFactor   = 10
	faultRing    = 64 // faults that wait for one facet
	controlLimit = time.Second
)

// injector brings faults about. Each facet of a process has a duty, so that
// faults of one facet come one after the other and all others may overlap.
type injector struct {
	d         *deployment
	operators *operators
	killer    func(ctx context.Context, number int) bool
	facets    map[string]*duty.Duty[func()]

	mu       sync.Mutex
	killers  int // requests so far
	counts   map[kind]int
	past     []happened
	trainers []*trainee
	busy     sync.WaitGroup
}

func newInjector(d *deployment, o *operators) *injector {
	return &injector{d: d, operators: o, facets: make(map[string]*duty.Duty[func()]), counts: make(map[kind]int)}
}

// play brings a schedule about and returns when all of its faults are over.
// A fault that could not be brought about within its time isn't counted.
func (j *injector) play(ctx context.Context, begin time.Time, faults []fault) {
	for _, f := range faults {
		name, do := j.fault(f)
		_, subject, _ := strings.Cut(name, ":")
		if j.facets[name] == nil {
			cfg := duty.Config{Name: "fault-" + name, RingSize: faultRing}
			j.facets[name] = duty.Start(j.d.system, cfg, duty.Handler[func()](duty.Func{}))
		}
		if !duty.Sleep(ctx, time.Until(begin.Add(f.At))) {
			break
		}
		j.busy.Add(1)
		run := func() {
			defer j.busy.Done()
			j.try(ctx, f, subject, do)
		}
		if j.facets[name].Post(run) != nil {
			j.busy.Done() // too many of one facet; the count of the kind tells
		}
	}
	j.busy.Wait()
	for _, d := range j.facets {
		// The duties are idle, so that each ends at once.
		_ = d.Stop(context.Background())
	}
	clear(j.facets)
}

func (j *injector) try(ctx context.Context, f fault, subject string, do func(context.Context) bool) {
	begin := time.Now()
	limit := time.Now().Add(retryLimit)
	for !do(ctx) {
		if time.Now().After(limit) || !duty.Sleep(ctx, retryEvery) {
			fmt.Fprintf(os.Stderr, "soak: fault %s of target %d was not brought about\n", f.Kind, f.Target)
			return
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[f.Kind]++
	j.past = append(j.past, happened{Kind: f.Kind, Subject: subject, Begin: begin, End: time.Now()})
}

// fault returns the facet that a fault belongs to and what brings it about.
func (j *injector) fault(f fault) (string, func(context.Context) bool) {
	engine := j.d.engines[f.Target%engineCount]
	plain := j.d.plains[f.Target%plainCount]
	daemon := j.d.daemons[f.Target%daemonCount]
	link := j.d.net.Links[f.Target%len(j.d.net.Links)]
	switch f.Kind {
	case engineCrash:
		return "end:" + engine.Name, j.crash(engine)
	case plainCrash:
		return "end:" + plain.Name, j.crash(plain)
	case engineKill:
		return "end:" + engine.Name, func(context.Context) bool { return engine.Kill() }
	case daemonKill:
		return "end:" + daemon.Name, func(context.Context) bool { return daemon.Kill() }
	case daemonPause:
		return "end:" + daemon.Name, func(ctx context.Context) bool { return daemon.Pause(ctx, f.Lasts) }
	case daemonTerm:
		return "end:" + daemon.Name, func(ctx context.Context) bool { return daemon.Terminate(ctx, termLimit) }
	case engineHang, engineSlow, engineCut, engineTrunc:
		modes := map[kind]string{engineHang: "hang", engineSlow: "slow", engineCut: "cut", engineTrunc: "truncate"}
		return "mode:" + engine.Name, j.mode(engine, modes[f.Kind], f.Lasts)
	case plainHang:
		return "mode:" + plain.Name, j.mode(plain, "hang", f.Lasts)
	case linkCut:
		return "link:" + link.Name, func(ctx context.Context) bool { return links.Cut(ctx, f.Lasts, link) }
	case linkSilent:
		return "link:" + link.Name, func(ctx context.Context) bool { return link.Silence(ctx, links.SilentAll, f.Lasts) }
	case linkSilentOld:
		return "link:" + link.Name, func(ctx context.Context) bool { return link.Silence(ctx, links.SilentOld, f.Lasts) }
	case centreParted:
		return "centre", func(ctx context.Context) bool { return links.Cut(ctx, f.Lasts, j.centreLinks(f.Target)...) }
	case logOutage, logSlow, logLost:
		return "log", j.log(f)
	case listRace:
		return "lists", func(ctx context.Context) bool { return j.operators.raceLists(ctx, f.Target) }
	case drainRace:
		return j.operators.facet(f), func(ctx context.Context) bool { return j.operators.drain(ctx, f, func(context.Context) {}) }
	case drainOutage:
		return j.operators.facet(f), func(ctx context.Context) bool { return j.operators.drain(ctx, f, j.outage) }
	case hostLeaving:
		return j.operators.facet(f), func(ctx context.Context) bool { return j.operators.leave(ctx, f) }
	case trainerKill:
		t := j.trainers[f.Target%len(j.trainers)]
		return "end:" + t.name, func(context.Context) bool { return t.end() }
	case trainerStale:
		t := j.trainers[f.Target%len(j.trainers)]
		return "weights", func(ctx context.Context) bool { return j.outdate(ctx, t, f.Target) }
	case weightSwap:
		return "weights", func(ctx context.Context) bool { return j.operators.announce(ctx, f.Target) }
	case weightPartway:
		return "weights", j.swapPartway(f, engine)
	default: // killerRequest
		number := j.nextKiller()
		return "killer", func(ctx context.Context) bool { return j.killer(ctx, number) }
	}
}

// nextKiller numbers the killer requests from 1, so that each is a new one.
func (j *injector) nextKiller() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killers++
	return j.killers
}

func control(ctx context.Context, address string, body map[string]any) bool {
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	return fleet.PostJSON(ctx, address, "/control", body) == nil
}

// crash ends a stand-in from inside. A plain service crashes under its next call.
func (j *injector) crash(s *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		p := s.Current()
		if p == nil {
			return false
		}
		s.ExpectEnd()
		// The process ends before it answers.
		_ = control(ctx, s.Address, map[string]any{"mode": "crash"})
		ctx, cancel := context.WithTimeout(ctx, callAfter)
		defer cancel()
		select {
		case <-p.Exited():
		case <-ctx.Done():
			// Unanswered too.
			q := fleet.Question{Method: http.MethodPost, Address: s.Address, Path: "/", Header: http.Header{service.HeaderRequestID: {string(ownCall)}}}
			calling, stop := context.WithTimeout(context.WithoutCancel(ctx), callAfter)
			defer stop()
			_ = fleet.Ask(calling, q, nil)
			return p.ExitCode() >= 0 // another fault may have set its mode back
		}
		return true
	}
}

func (j *injector) mode(s *supervise.Process, mode string, lasts time.Duration) func(context.Context) bool {
	return func(ctx context.Context) bool {
		if !control(ctx, s.Address, map[string]any{"mode": mode, "factor": slowFactor}) {
			return false
		}
		duty.Sleep(ctx, lasts)
		// A process that was restarted meanwhile is in its normal mode.
		_ = control(ctx, s.Address, map[string]any{"mode": "normal"})
		return true
	}
}

// centreLinks returns the links whose cut parts a data centre from the log and,
// every other time, all daemons from each other too.
func (j *injector) centreLinks(target int) []*links.Link {
	var cut []*links.Link
	for i := range daemonCount {
		if target/centreCount%2 == 0 {
			cut = append(cut, j.d.net.ByName[peerLink(i)])
		}
		if i%centreCount == target%centreCount {
			cut = append(cut, j.d.net.ByName[logLink(i)])
		}
	}
	return cut
}

// log misleads the platform's log. Its process serves as long as the soak runs.
func (j *injector) log(f fault) func(context.Context) bool {
	return func(ctx context.Context) bool {
		address := j.d.log.Address
		switch f.Kind {
		case logOutage:
			return j.outageFor(ctx, f.Lasts)
		case logSlow:
			ok := control(ctx, address, map[string]any{"delay_ms": slowLog.Milliseconds()})
			duty.Sleep(ctx, f.Lasts)
			return control(context.WithoutCancel(ctx), address, map[string]any{"delay_ms": 0}) && ok
		default:
			return control(ctx, address, map[string]any{"lose_answers": lostAnswers})
		}
	}
}

func (j *injector) outageFor(ctx context.Context, lasts time.Duration) bool {
	ok := control(ctx, j.d.log.Address, map[string]any{"outage": true})
	duty.Sleep(ctx, lasts)
	return control(context.WithoutCancel(ctx), j.d.log.Address, map[string]any{"outage": false}) && ok
}

// outageAfterMark is longer than a drained upstream may get new work.
const outageAfterMark = drainBound + time.Second

func (j *injector) outage(ctx context.Context) { j.outageFor(ctx, outageAfterMark) }

func (j *injector) swapPartway(f fault, engine *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		return control(ctx, engine.Address, map[string]any{"fail_loads": 1}) && j.operators.announce(ctx, f.Target)
	}
}
