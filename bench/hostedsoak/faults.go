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
	faultRingSize = 64 // faults that wait for one subject
	retryInterval = 100 * time.Millisecond
	retryTimeout  = 6 * time.Second // of a fault that can't be brought about at once
	stormInterval = 60 * time.Millisecond
	stopTimeout   = shutdownGrace + 3*time.Second
)

// injectedFault is a fault that was brought about, or is being so.
type injectedFault struct {
	Kind    kind
	Subject string
	Begin   time.Time
	End     time.Time // zero: not yet
}

// injector brings faults about. Faults of one subject come one after the
// other, those of different subjects may overlap.
type injector struct {
	deployment *deployment
	queues     map[string]*duty.Duty[func()]
	pending    sync.WaitGroup

	mu           sync.Mutex
	injected     []injectedFault
	drains       []drainPeriod
	restartCount int
}

func newInjector(d *deployment) *injector {
	return &injector{deployment: d, queues: make(map[string]*duty.Duty[func()])}
}

// run brings a schedule about and returns when all of its faults are over.
func (j *injector) run(ctx context.Context, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		if !duty.Sleep(ctx, time.Until(begin.Add(f.Start))) {
			break
		}
		subject, do := j.faultAction(f)
		if j.queues[subject] == nil {
			cfg := duty.Config{Name: "fault-" + subject, RingSize: faultRingSize}
			j.queues[subject] = duty.Start(j.deployment.system, cfg, duty.Handler[func()](duty.Func{}))
		}
		j.pending.Add(1)
		if j.queues[subject].Post(func() { j.inject(ctx, f, subject, do) }) != nil {
			j.pending.Done() // too many of one subject; the count of the kind tells
		}
	}
	j.pending.Wait()
}

func (j *injector) inject(ctx context.Context, f fault, subject string, do func(context.Context) bool) {
	defer j.pending.Done()
	j.mu.Lock()
	n := len(j.injected)
	j.injected = append(j.injected, injectedFault{Kind: f.Kind, Subject: subject, Begin: time.Now()})
	j.mu.Unlock()
	limit := time.Now().Add(retryTimeout)
	done := do(ctx)
	for !done && time.Now().Before(limit) && duty.Sleep(ctx, retryInterval) {
		done = do(ctx)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.injected[n].End = time.Now()
	if !done {
		j.injected[n].Kind = "" // did not come about
	}
}

// How the kinds mislead the store, the servers and the links.
var (
	storeModes = map[kind]platform.Mode{
		storeBusy: platform.ModeBusy, storeDown: platform.ModeSilent, storeLossy: platform.ModeLossy,
		storeLate: platform.ModeLate, storeSlow: platform.ModeSlow,
	}
	serverFaults = map[kind]platform.Fault{
		serverSlow: platform.FaultSlow, serverBusy: platform.FaultBusy, serverCuts: platform.FaultCut, serverLoses: platform.FaultLose,
		serverGarbles: platform.FaultGarble, serverHangs: platform.FaultHang, serverFails: platform.FaultFail,
	}
	silenceScopes = map[kind]links.SilenceScope{
		callerSilent: links.SilenceAll, storeSilent: links.SilenceAll, storeSilentOld: links.SilenceExisting, serverDark: links.SilenceAll,
	}
)

// faultLink returns the link that a fault hits.
func (j *injector) faultLink(f fault) *links.Link {
	number := f.Target % daemonCount
	switch f.Kind {
	case callerCut, callerSilent:
		return j.deployment.network.ByName[callerLinkName(number)]
	case serverDark:
		return j.deployment.network.Links[f.Target%len(j.deployment.servers())] // servers' links come first
	default:
		return j.deployment.network.ByName[storeLinkName(number)]
	}
}

// faultAction returns the subject of a fault and what brings it about.
func (j *injector) faultAction(f fault) (string, func(context.Context) bool) {
	all := j.deployment.servers()
	server := all[f.Target%len(all)]
	switch f.Kind {
	case callerCut, storeCut:
		link := j.faultLink(f)
		return link.Name, func(ctx context.Context) bool { return links.Cut(ctx, f.Duration, link) }
	case callerSilent, storeSilent, storeSilentOld, serverDark:
		link := j.faultLink(f)
		return link.Name, func(ctx context.Context) bool { return link.Silence(ctx, silenceScopes[f.Kind], f.Duration) }
	case storeBusy, storeDown, storeLossy, storeLate, storeSlow:
		return "store", func(ctx context.Context) bool { return j.setMode(ctx, storeModes[f.Kind], f.Duration) }
	case storeForgets:
		return "store", func(context.Context) bool { j.deployment.store.Compact(); return true }
	case serverSlow, serverBusy, serverCuts, serverLoses, serverGarbles, serverHangs, serverFails:
		return "trouble:" + server.Service + server.URL, func(ctx context.Context) bool { return setServerFault(ctx, server, serverFaults[f.Kind], f.Duration) }
	case serverRestart:
		return "end:" + server.URL, func(context.Context) bool { return j.restartServer(server, f.Duration) }
	case serverDrain:
		return "drain", func(ctx context.Context) bool { return j.drainServer(ctx, server, f.Duration) }
	case configChange:
		return "operator", func(context.Context) bool { j.deployment.operator.publish(); return true }
	case configStorm:
		return "operator", func(ctx context.Context) bool { return j.runConfigStorm(ctx, f.Duration) }
	case daemonsKill:
		return "daemons", func(context.Context) bool { return killAll(j.deployment.daemons) }
	default:
		daemon := j.deployment.daemons[f.Target%daemonCount]
		return daemon.Name, daemonAction(f, daemon)
	}
}

// daemonAction returns what a fault of a daemon's process does.
func daemonAction(f fault, daemon *supervise.Process) func(context.Context) bool {
	return func(ctx context.Context) bool {
		switch f.Kind {
		case daemonKill:
			return daemon.Kill()
		case daemonPause:
			return daemon.Pause(ctx, f.Duration)
		case daemonHup:
			return daemon.Signal(syscall.SIGHUP, false)
		default: // daemonTerm
			return daemon.Terminate(ctx, stopTimeout)
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

// setMode misleads the store for a while.
func (j *injector) setMode(ctx context.Context, m platform.Mode, lasts time.Duration) bool {
	j.deployment.store.SetMode(m)
	defer j.deployment.store.SetMode(platform.ModeUp)
	duty.Sleep(ctx, lasts)
	return true
}

func setServerFault(ctx context.Context, s *platform.Server, t platform.Fault, lasts time.Duration) bool {
	s.SetFault(t)
	defer s.SetFault(platform.FaultNone)
	duty.Sleep(ctx, lasts)
	return true
}

// restartServer ends a server; it comes back under another id.
func (j *injector) restartServer(s *platform.Server, down time.Duration) bool {
	j.mu.Lock()
	j.restartCount++
	id := fmt.Sprintf("%s-again-%d", s.Service, j.restartCount)
	j.mu.Unlock()
	s.Restart(down, id)
	return true
}

// drainServer has a server say that it is leaving, for a while.
func (j *injector) drainServer(ctx context.Context, s *platform.Server, lasts time.Duration) bool {
	s.SetDraining(true)
	defer s.SetDraining(false)
	id, begin := s.InstanceID(), time.Now()
	duty.Sleep(ctx, lasts)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains = append(j.drains, drainPeriod{instanceID: id, begin: begin, end: time.Now()})
	return true
}

func (j *injector) runConfigStorm(ctx context.Context, lasts time.Duration) bool {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		j.deployment.operator.publish()
		if !duty.Sleep(ctx, stormInterval) {
			break
		}
	}
	return true
}
