package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"dotterelmount.example/bench/links"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

const (
	faultRing  = 64 // faults that wait for one subject
	retryEvery = 100 * time.Millisecond
	retryLimit = 6 * time.Second // of a fault that can't be brought about at once
	stormGap   = 60 * time.Millisecond
	stopLimit  = grace + 3*time.Second
)

// happened is a fault that was brought about, or is being so.
type happened struct {
	Kind    kind
	Subject string
	Begin   time.Time
	End     time.Time // zero: not yet
}

// injector brings faults about. Faults of one subject come one after the
// other, those of different subjects may overlap.
type injector struct {
	d        *deployment
	subjects map[string]*duty.Duty[func()]
	busy     sync.WaitGroup

	mu       sync.Mutex
	past     []happened
	drains   []drained
	restarts int
}

func newInjector(d *deployment) *injector {
	return &injector{d: d, subjects: make(map[string]*duty.Duty[func()])}
}

// play brings a schedule about and returns when all of its faults are over.
func (j *injector) play(ctx context.Context, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		if !duty.Sleep(ctx, time.Until(begin.Add(f.At))) {
			break
		}
		subject, do := j.fault(f)
		if j.subjects[subject] == nil {
			cfg := duty.Config{Name: "fault-" + subject, RingSize: faultRing}
			j.subjects[subject] = duty.Start(j.d.system, cfg, duty.Handler[func()](duty.Func{}))
		}
		j.busy.Add(1)
		if j.subjects[subject].Post(func() { j.try(ctx, f, subject, do) }) != nil {
			j.busy.Done() // too many of one subject; the count of the kind tells
		}
	}
	j.busy.Wait()
}

func (j *injector) try(ctx context.Context, f fault, subject string, do func(context.Context) bool) {
	defer j.busy.Done()
	j.mu.Lock()
	n := len(j.past)
	j.past = append(j.past, happened{Kind: f.Kind, Subject: subject, Begin: time.Now()})
	j.mu.Unlock()
	limit := time.Now().Add(retryLimit)
	done := do(ctx)
	for !done && time.Now().Before(limit) && duty.Sleep(ctx, retryEvery) {
		done = do(ctx)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.past[n].End = time.Now()
	if !done {
		j.past[n].Kind = "" // did not come about
	}
}

// How the kinds mislead the store, the servers and the links.
var (
	modes = map[kind]platform.Mode{
		storeBusy: platform.ModeBusy, storeDown: platform.ModeSilent, storeLossy: platform.ModeLossy,
		storeLate: platform.ModeLate, storeSlow: platform.ModeSlow,
	}
	troubles = map[kind]platform.Trouble{
		serverSlow: platform.TroubleSlow, serverBusy: platform.TroubleBusy, serverCuts: platform.TroubleCut, serverLoses: platform.TroubleLose,
		serverGarbles: platform.TroubleGarble, serverHangs: platform.TroubleHang, serverFails: platform.TroubleFail,
	}
	silences = map[kind]links.Silence{
		callerSilent: links.SilentAll, storeSilent: links.SilentAll, storeSilentOld: links.SilentOld, serverDark: links.SilentAll,
	}
)

// link returns the link that a fault hits.
func (j *injector) link(f fault) *links.Link {
	number := f.Target % daemonCount
	switch f.Kind {
	case callerCut, callerSilent:
		return j.d.net.ByName[callerLink(number)]
	case serverDark:
		return j.d.net.Links[f.Target%len(j.d.servers())] // servers' links come first
	default:
		return j.d.net.ByName[storeLink(number)]
	}
}

// fault returns the subject of a fault and what brings it about.
func (j *injector) fault(f fault) (string, func(context.Context) bool) {
	all := j.d.servers()
	server := all[f.Target%len(all)]
	switch f.Kind {
	case callerCut, storeCut:
		link := j.link(f)
		return link.Name, func(ctx context.Context) bool { return links.Cut(ctx, f.Lasts, link) }
	case callerSilent, storeSilent, storeSilentOld, serverDark:
		link := j.link(f)
		return link.Name, func(ctx context.Context) bool { return link.Silence(ctx, silences[f.Kind], f.Lasts) }
	case storeBusy, storeDown, storeLossy, storeLate, storeSlow:
		return "store", func(ctx context.Context) bool { return j.mode(ctx, modes[f.Kind], f.Lasts) }
	case storeForgets:
		return "store", func(context.Context) bool { j.d.store.Forget(); return true }
	case serverSlow, serverBusy, serverCuts, serverLoses, serverGarbles, serverHangs, serverFails:
		return "trouble:" + server.Service + server.URL, func(ctx context.Context) bool { return trouble(ctx, server, troubles[f.Kind], f.Lasts) }
	case serverRestart:
		return "end:" + server.URL, func(context.Context) bool { return j.restart(server, f.Lasts) }
	case serverDrain:
		return "drain", func(ctx context.Context) bool { return j.drain(ctx, server, f.Lasts) }
	case configChange:
		return "operator", func(context.Context) bool { j.d.operator.publish(); return true }
	case configStorm:
		return "operator", func(ctx context.Context) bool { return j.storm(ctx, f.Lasts) }
	case daemonsKill:
		return "daemons", func(context.Context) bool { return killAll(j.d.daemons) }
	default:
		daemon := j.d.daemons[f.Target%daemonCount]
		return daemon.Name, end(f, daemon)
	}
}

// end returns what a fault of a daemon's process does.
func end(f fault, daemon *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		switch f.Kind {
		case daemonKill:
			return daemon.Kill()
		case daemonPause:
			return daemon.Pause(ctx, f.Lasts)
		case daemonHup:
			return daemon.Signal(syscall.SIGHUP, false)
		default: // daemonTerm
			return daemon.Terminate(ctx, stopLimit)
		}
	}
}

func killAll(daemons []*supervise.Process) bool {
	any := false
	for _, p := range daemons {
		any = p.Kill() || any
	}
	return any
}

// mode misleads the store for a while.
func (j *injector) mode(ctx context.Context, m platform.Mode, lasts time.Duration) bool {
	j.d.store.SetMode(m)
	defer j.d.store.SetMode(platform.ModeUp)
	duty.Sleep(ctx, lasts)
	return true
}

func trouble(ctx context.Context, s *platform.Server, t platform.Trouble, lasts time.Duration) bool {
	s.SetTrouble(t)
	defer s.SetTrouble(platform.TroubleNone)
	duty.Sleep(ctx, lasts)
	return true
}

// restart ends a server; it comes back under another id.
func (j *injector) restart(s *platform.Server, down time.Duration) bool {
	j.mu.Lock()
	j.restarts++
	id := fmt.Sprintf("%s-again-%d", s.Service, j.restarts)
	j.mu.Unlock()
	s.Restart(down, id)
	return true
}

// drain has a server say that it is leaving, for a while.
func (j *injector) drain(ctx context.Context, s *platform.Server, lasts time.Duration) bool {
	s.Drain(true)
	defer s.Drain(false)
	id, begin := s.Current(), time.Now()
	duty.Sleep(ctx, lasts)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains = append(j.drains, drained{server: id, begin: begin, end: time.Now()})
	return true
}

func (j *injector) storm(ctx context.Context, lasts time.Duration) bool {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		j.d.operator.publish()
		if !duty.Sleep(ctx, stormGap) {
			break
		}
	}
	return true
}
