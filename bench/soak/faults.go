package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"dotterelmount.example/bench/fleet"
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

type facet struct{}

// Handle brings one fault about.
func (facet) Handle(_ context.Context, f func()) { f() }

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
			j.facets[name] = duty.Start(j.d.system, cfg, duty.Handler[func()](facet{}))
		}
		if !wait(ctx, time.Until(begin.Add(f.At))) {
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
		if time.Now().After(limit) || !wait(ctx, retryEvery) {
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
	link := j.d.net.links[f.Target%len(j.d.net.links)]
	switch f.Kind {
	case engineCrash:
		return "end:" + engine.name, j.crash(engine)
	case plainCrash:
		return "end:" + plain.name, j.crash(plain)
	case engineKill:
		return "end:" + engine.name, j.kill(engine)
	case daemonKill:
		return "end:" + daemon.name, j.kill(daemon)
	case daemonPause:
		return "end:" + daemon.name, j.pause(daemon, f.Lasts)
	case daemonTerm:
		return "end:" + daemon.name, j.terminate(daemon)
	case engineHang, engineSlow, engineCut, engineTrunc:
		modes := map[kind]string{engineHang: "hang", engineSlow: "slow", engineCut: "cut", engineTrunc: "truncate"}
		return "mode:" + engine.name, j.mode(engine, modes[f.Kind], f.Lasts)
	case plainHang:
		return "mode:" + plain.name, j.mode(plain, "hang", f.Lasts)
	case linkCut:
		return "link:" + link.name, func(ctx context.Context) bool { return cutLinks(ctx, f.Lasts, link) }
	case linkSilent:
		return "link:" + link.name, silenceLink(link, toxicTimeout, f.Lasts)
	case linkSilentOld:
		return "link:" + link.name, silenceLink(link, toxicSilenceOld, f.Lasts)
	case centreParted:
		return "centre", func(ctx context.Context) bool { return cutLinks(ctx, f.Lasts, j.centreLinks(f.Target)...) }
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
func (j *injector) crash(s *supervised) func(context.Context) bool {
	return func(ctx context.Context) bool {
		p := s.process()
		if p == nil {
			return false
		}
		s.expectEnd()
		// The process ends before it answers.
		_ = control(ctx, s.address, map[string]any{"mode": "crash"})
		ctx, cancel := context.WithTimeout(ctx, callAfter)
		defer cancel()
		select {
		case <-p.Exited():
		case <-ctx.Done():
			// Unanswered too.
			q := fleet.Question{Method: http.MethodPost, Address: s.address, Path: "/", Header: http.Header{service.HeaderRequestID: {string(ownCall)}}}
			calling, stop := context.WithTimeout(context.WithoutCancel(ctx), callAfter)
			defer stop()
			_ = fleet.Ask(calling, q, nil)
			return p.ExitCode() >= 0 // another fault may have set its mode back
		}
		return true
	}
}

func (j *injector) kill(s *supervised) func(context.Context) bool {
	return func(context.Context) bool { return s.signal(syscall.SIGKILL, true) }
}

func (j *injector) pause(s *supervised, lasts time.Duration) func(context.Context) bool {
	return func(ctx context.Context) bool {
		p := s.process()
		if p == nil || p.Pause() != nil {
			return false
		}
		wait(ctx, lasts)
		return p.Resume() == nil
	}
}

// terminate stops a daemon gracefully, under load.
func (j *injector) terminate(s *supervised) func(context.Context) bool {
	return func(ctx context.Context) bool {
		p := s.process()
		if p == nil || !s.signal(syscall.SIGTERM, true) {
			return false
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), termLimit)
		defer cancel()
		select {
		case <-p.Exited():
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "soak: %s did not stop within %s\n", s.name, termLimit)
			s.signal(syscall.SIGKILL, true)
			<-p.Exited()
		}
		return true
	}
}

func (j *injector) mode(s *supervised, mode string, lasts time.Duration) func(context.Context) bool {
	return func(ctx context.Context) bool {
		if !control(ctx, s.address, map[string]any{"mode": mode, "factor": slowFactor}) {
			return false
		}
		wait(ctx, lasts)
		// A process that was restarted meanwhile is in its normal mode.
		_ = control(ctx, s.address, map[string]any{"mode": "normal"})
		return true
	}
}

// centreLinks returns the links whose cut parts a data centre from the log and,
// every other time, all daemons from each other too.
func (j *injector) centreLinks(target int) []*link {
	var links []*link
	for i := range daemonCount {
		if target/centreCount%2 == 0 {
			links = append(links, j.d.net.byName[peerLink(i)])
		}
		if i%centreCount == target%centreCount {
			links = append(links, j.d.net.byName[logLink(i)])
		}
	}
	return links
}

func cutLinks(ctx context.Context, lasts time.Duration, links ...*link) bool {
	for _, l := range links {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cut()
	}
	wait(ctx, lasts)
	ok := true
	for _, l := range links {
		ok = l.restore() == nil && ok
	}
	return ok
}

func silenceLink(l *link, toxic string, lasts time.Duration) func(context.Context) bool {
	return func(ctx context.Context) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		remove, err := l.silence(toxic)
		if toxic == toxicTimeout {
			defer remove() // otherwise the old connections stay silent for good
		}
		if err != nil {
			return false
		}
		wait(ctx, lasts)
		return true
	}
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
			wait(ctx, f.Lasts)
			return control(context.WithoutCancel(ctx), address, map[string]any{"delay_ms": 0}) && ok
		default:
			return control(ctx, address, map[string]any{"lose_answers": lostAnswers})
		}
	}
}

func (j *injector) outageFor(ctx context.Context, lasts time.Duration) bool {
	ok := control(ctx, j.d.log.Address, map[string]any{"outage": true})
	wait(ctx, lasts)
	return control(context.WithoutCancel(ctx), j.d.log.Address, map[string]any{"outage": false}) && ok
}

// outageAfterMark is longer than a drained upstream may get new work.
const outageAfterMark = drainBound + time.Second

func (j *injector) outage(ctx context.Context) { j.outageFor(ctx, outageAfterMark) }

func (j *injector) swapPartway(f fault, engine *supervised) func(context.Context) bool {
	return func(ctx context.Context) bool {
		return control(ctx, engine.address, map[string]any{"fail_loads": 1}) && j.operators.announce(ctx, f.Target)
	}
}
