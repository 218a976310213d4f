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
	faultRingSize    = 64 // queued faults per subject
	retryInterval    = 100 * time.Millisecond
	retryTimeout     = 6 * time.Second       // for a fault that can't be injected at once
	stormInterval    = 60 * time.Millisecond // between two configurations of a storm
	leaveDowntime    = 200 * time.Millisecond
	crashSeries      = 5 // crashes of a series
	softwareVersions = 2 // of the servers, which change at a restart
	stopTimeout      = shutdownGrace + 3*time.Second
)

// injectedFault is a fault that has been injected or is being injected.
type injectedFault struct {
	Kind    kind   // empty: the injection failed
	Subject string // what the fault affects: a process, a link, the store or the operator
	Begin   time.Time
	End     time.Time // zero: in progress
}

// injector injects faults. Faults of the same subject run one after another;
// faults of different subjects may overlap.
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

// run injects the faults of a schedule and returns when all of them have ended.
func (j *injector) run(ctx context.Context, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		if !duty.Sleep(ctx, time.Until(begin.Add(f.Start))) {
			break
		}
		subject, action := j.faultAction(f)
		if j.queues[subject] == nil {
			cfg := duty.Config{Name: "fault-" + subject, RingSize: faultRingSize}
			j.queues[subject] = duty.Start(j.deployment.system, cfg, duty.Handler[func()](duty.Func{}))
		}
		j.pending.Add(1)
		if j.queues[subject].Post(func() { j.inject(ctx, f, subject, action) }) != nil {
			j.pending.Done() // queue full: the fault is skipped and its kind isn't counted
		}
	}
	j.pending.Wait()
}

// inject applies one fault, retrying for up to retryTimeout, and records it.
func (j *injector) inject(ctx context.Context, f fault, subject string, action func(context.Context) bool) {
	defer j.pending.Done()
	j.mu.Lock()
	n := len(j.injected)
	j.injected = append(j.injected, injectedFault{Kind: f.Kind, Subject: subject, Begin: time.Now()})
	j.mu.Unlock()
	deadline := time.Now().Add(retryTimeout)
	done := action(ctx)
	for !done && time.Now().Before(deadline) && duty.Sleep(ctx, retryInterval) {
		done = action(ctx)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.injected[n].End = time.Now()
	if !done {
		j.injected[n].Kind = "" // not injected
	}
}

// Effects of fault kinds on the store, the servers and the links.
var (
	storeModes = map[kind]platform.Mode{
		storeBusy: platform.ModeBusy, storeDown: platform.ModeSilent, storeLossy: platform.ModeLossy,
		storeLate: platform.ModeLate, storeSlow: platform.ModeSlow,
	}
	cloudModes   = map[kind]platform.CloudMode{cloudBusy: platform.CloudBusy, cloudSilent: platform.CloudSilent, cloudLate: platform.CloudLate}
	serverFaults = map[kind]platform.Fault{
		serverSlow: platform.FaultSlow, serverBusy: platform.FaultBusy, serverCuts: platform.FaultCut, serverLoses: platform.FaultLose,
		serverGarbles: platform.FaultGarble, serverHangs: platform.FaultHang, serverFails: platform.FaultFail,
		serverEndless: platform.FaultEndless, serverCutsHead: platform.FaultCutHead,
	}
	silenceScopes = map[kind]links.SilenceScope{
		callerSilent: links.SilenceAll, storeSilent: links.SilenceAll, storeSilentOld: links.SilenceExisting,
	}
)

// faultLink returns the link that a fault affects.
func (j *injector) faultLink(f fault) *links.Link {
	daemon := f.Target % daemonCount
	switch f.Kind {
	case callerCut, callerSilent:
		return j.deployment.network.ByName[callerLinkName(daemon)]
	default:
		return j.deployment.network.ByName[storeLinkName(daemon)]
	}
}

// faultAction returns the subject of a fault and the function that injects it,
// which reports whether it succeeded. The prefixes "trouble:" (temporary faults) and
// "end:" (restarts) give a server two subjects, so a restart does not wait for a
// temporary fault.
func (j *injector) faultAction(f fault) (string, func(context.Context) bool) {
	all := j.deployment.servers()
	server := all[f.Target%len(all)]
	switch f.Kind {
	case callerCut, storeCut:
		link := j.faultLink(f)
		return link.Name, func(ctx context.Context) bool { return links.Cut(ctx, f.Duration, link) }
	case callerSilent, storeSilent, storeSilentOld:
		link := j.faultLink(f)
		return link.Name, func(ctx context.Context) bool { return link.Silence(ctx, silenceScopes[f.Kind], f.Duration) }
	case storeBusy, storeDown, storeLossy, storeLate, storeSlow:
		return "store", func(ctx context.Context) bool { return j.setMode(ctx, storeModes[f.Kind], f.Duration) }
	case storeForgets:
		return "store", func(context.Context) bool { j.deployment.store.Compact(); return true }
	case storeExpires:
		return "store", func(context.Context) bool { j.deployment.expireJournal(); return true }
	case serverSlow, serverBusy, serverCuts, serverLoses, serverGarbles, serverHangs, serverFails, serverEndless, serverCutsHead:
		return "trouble:" + server.Service + server.URL, func(ctx context.Context) bool { return setServerFault(ctx, server, serverFaults[f.Kind], f.Duration) }
	case cloudBusy, cloudSilent, cloudLate:
		return "cloud", func(ctx context.Context) bool {
			j.deployment.cloud.SetMode(cloudModes[f.Kind])
			defer j.deployment.cloud.SetMode(platform.CloudUp)
			duty.Sleep(ctx, f.Duration)
			return true
		}
	case serverDark:
		return "trouble:" + server.Service + server.URL, func(ctx context.Context) bool { return darken(ctx, server, f.Duration) }
	case daemonsCutOff:
		return "cut-offs", func(ctx context.Context) bool {
			return j.deployment.cutOff(ctx, cutOffSet(f.Target), f.Target, f.Duration)
		}
	case serverLeaves:
		return "drain", func(ctx context.Context) bool { return j.announceLeaving(ctx, server, f.Duration) }
	case serverLimits:
		return "limit:" + server.URL, func(ctx context.Context) bool { return setServerLimit(ctx, server, f.Duration) }
	case serverRestart:
		return "end:" + server.URL, func(context.Context) bool { return j.restartServer(server, f.Duration) }
	case serversCrash:
		return "crashes", func(ctx context.Context) bool { return j.crashServers(ctx, f.Target, f.Duration) }
	case serverDrain:
		return "drain", func(ctx context.Context) bool { return j.drainServer(ctx, server, f.Duration) }
	case configChange:
		return "operator", func(context.Context) bool { j.deployment.operator.publish(); return true }
	case routeMove:
		return "operator", func(context.Context) bool { j.deployment.operator.moveJobs(); return true }
	case configStorm:
		return "operator", func(ctx context.Context) bool { return j.runConfigStorm(ctx, f.Duration) }
	case daemonsKill:
		return "daemons", func(context.Context) bool { return killAll(j.deployment.daemons) }
	default:
		daemon := j.deployment.daemons[f.Target%daemonCount]
		return daemon.Name, daemonAction(f, daemon)
	}
}

// daemonAction returns the function that injects a fault into a daemon's process.
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

// killAll kills all daemons and reports whether any was running.
func killAll(daemons []*supervise.Process) bool {
	killed := false
	for _, p := range daemons {
		killed = p.Kill() || killed
	}
	return killed
}

// setMode sets the mode of the store for the given duration.
func (j *injector) setMode(ctx context.Context, m platform.Mode, duration time.Duration) bool {
	j.deployment.store.SetMode(m)
	defer j.deployment.store.SetMode(platform.ModeUp)
	duty.Sleep(ctx, duration)
	return true
}

// setServerFault applies a fault to a server for the given duration.
func setServerFault(ctx context.Context, s *platform.Server, f platform.Fault, duration time.Duration) bool {
	s.SetFault(f)
	defer s.SetFault(platform.FaultNone)
	duty.Sleep(ctx, duration)
	return true
}

// restartServer stops a server, which starts again with a new ID and, by turns, newer or
// older software after the given downtime.
func (j *injector) restartServer(s *platform.Server, down time.Duration) bool {
	j.mu.Lock()
	j.restartCount++
	id := fmt.Sprintf("%s-again-%d", s.Service, j.restartCount)
	software := fmt.Sprintf("v%d", 1+j.restartCount%softwareVersions)
	j.mu.Unlock()
	s.Restart(down, id)
	s.SetSoftware(software)
	return true
}

// crashServers stops every second server crashSeries times at intervals of twice the given
// downtime, each time the others than before. They start again with the same IDs.
// Draining servers are left out: after a crash they would not be draining any more, and
// get work rightly.
func (j *injector) crashServers(ctx context.Context, first int, down time.Duration) bool {
	for n := range crashSeries {
		for i, s := range j.deployment.servers() {
			if (first+n+i)%2 == 0 && !s.Draining() && !s.Leaving() {
				s.Restart(down, s.InstanceID())
			}
		}
		duty.Sleep(ctx, 2*down)
	}
	return true
}

// drainServer marks a server as draining for the given duration and records the
// period.
func (j *injector) drainServer(ctx context.Context, s *platform.Server, duration time.Duration) bool {
	s.SetDraining(true)
	defer s.SetDraining(false)
	id, begin := s.InstanceID(), time.Now()
	end := sleepWhile(ctx, s.Draining, duration)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains = append(j.drains, drainPeriod{instanceID: id, begin: begin, end: end})
	return true
}

// sleepWhile sleeps for the given duration and returns the time until which a condition held.
// A server that crashes under a killer request starts again without its marks.
func sleepWhile(ctx context.Context, holds func() bool, duration time.Duration) time.Time {
	end := time.Now().Add(duration)
	held := time.Now()
	for held.Before(end) && holds() && duty.Sleep(ctx, pollInterval) {
		held = time.Now()
	}
	duty.Sleep(ctx, time.Until(end))
	return held
}

// announceLeaving makes a server say in its responses that it leaves, for the given duration,
// records the period, and restarts the server under another ID.
func (j *injector) announceLeaving(ctx context.Context, s *platform.Server, duration time.Duration) bool {
	s.SetLeaving(true)
	id, begin := s.InstanceID(), time.Now()
	end := sleepWhile(ctx, s.Leaving, duration)
	j.mu.Lock()
	j.drains = append(j.drains, drainPeriod{instanceID: id, begin: begin, end: end, announced: true})
	j.mu.Unlock()
	return j.restartServer(s, leaveDowntime)
}

// runConfigStorm publishes a new configuration every stormInterval for the given
// duration.
func (j *injector) runConfigStorm(ctx context.Context, duration time.Duration) bool {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		j.deployment.operator.publish()
		if !duty.Sleep(ctx, stormInterval) {
			break
		}
	}
	return true
}
