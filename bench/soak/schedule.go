package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"dotterelmount.example/bench/schedule"
)

type (
	kind          = schedule.Kind
	fault         = schedule.Fault
	durationRange = schedule.DurationRange
)

// The kinds of faults.
const (
	engineCrash       kind = "engine-crash"
	engineCrashes     kind = "engine-crashes" // engines crash one after another, several times
	engineKill        kind = "engine-kill"
	engineHang        kind = "engine-hang"
	engineSlow        kind = "engine-slow"
	engineCut         kind = "engine-cut"
	engineTruncate    kind = "engine-truncate" // streams end without a done marker
	plainCrash        kind = "plain-crash"
	plainHang         kind = "plain-hang"
	daemonKill        kind = "daemon-kill"
	daemonPause       kind = "daemon-pause"
	daemonTerm        kind = "daemon-term"
	linkCut           kind = "link-cut"
	linkSilent        kind = "link-silent"
	linkSilentOld     kind = "link-silent-old" // existing connections go silent; new ones work
	centreParted      kind = "centre-parted"
	logOutage         kind = "log-outage"
	logSlow           kind = "log-slow"
	logLostResponses  kind = "log-lost-answers"
	listRace          kind = "list-race"
	drainRace         kind = "drain-race"       // two operators mark one upstream at the same time; it is then drained
	drainLogOutage    kind = "drain-log-outage" // the log fails after the mark is accepted
	hostLeaving       kind = "host-leaving"
	weightSwap        kind = "weight-swap"
	weightSwapPartway kind = "weight-swap-partway" // an engine fails its first load of the new version
	trainerKill       kind = "trainer-kill"
	trainerStale      kind = "trainer-stale"  // a trainer is suspended until its samples are too old
	killerRequest     kind = "killer-request" // crashes each engine that runs it
)

// faultDurations has the durations of every kind; zero for instantaneous faults.
var faultDurations = map[kind]durationRange{
	engineCrash: {}, engineCrashes: {}, engineKill: {}, plainCrash: {}, daemonKill: {}, daemonTerm: {}, listRace: {},
	weightSwap: {}, weightSwapPartway: {}, trainerKill: {}, trainerStale: {}, killerRequest: {}, logLostResponses: {},
	engineHang:     {Min: 500 * time.Millisecond, Max: 4 * time.Second},
	engineSlow:     {Min: time.Second, Max: 4 * time.Second},
	engineCut:      {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	engineTruncate: {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	plainHang:      {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	daemonPause:    {Min: time.Second, Max: 5 * time.Second},
	linkCut:        {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	linkSilent:     {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	linkSilentOld:  {Min: 3 * time.Second, Max: 6 * time.Second},
	centreParted:   {Min: time.Second, Max: 6 * time.Second},
	logOutage:      {Min: 500 * time.Millisecond, Max: 4 * time.Second},
	logSlow:        {Min: time.Second, Max: 3 * time.Second},
	drainRace:      {Min: 4 * time.Second, Max: 6 * time.Second},
	hostLeaving:    {Min: 5 * time.Second, Max: 6 * time.Second},
	drainLogOutage: {Min: 5 * time.Second, Max: 6 * time.Second},
}

const (
	warmUpTime         = time.Second             // load without faults at the start
	calmTime           = 8 * time.Second         // the calm phase: load without other faults at the end
	extraFaultInterval = 1500 * time.Millisecond // between further faults of random kinds
	minFaultPhase      = 5 * time.Second

	// In the calm phase a drain and a graceful stop show whether they interrupt requests.
	// Start times are relative to the phase's start.
	calmDrainStart = 2500 * time.Millisecond
	calmDrainTime  = time.Second
	calmTermStart  = 3200 * time.Millisecond
)

// faultPhaseEnd returns the time, since the start of the load, at which all faults
// before the calm phase end.
func faultPhaseEnd(duration time.Duration) time.Duration {
	return warmUpTime + max(minFaultPhase, duration-calmTime-warmUpTime)
}

// newSchedule returns the schedule of a seed: every kind at least once, each in a time
// slot of its own, further faults of random kinds, and those of the calm phase.
func newSchedule(seed uint64, duration time.Duration, kinds []kind) []fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	end := faultPhaseEnd(duration)
	var faults []fault
	add := func(k kind, from, slot time.Duration) {
		f := fault{Kind: k, Target: int(rng.Int32()), Start: from + time.Duration(rng.Int64N(int64(slot)))}
		f.Duration = faultDurations[k].Draw(rng)
		f.Start = max(warmUpTime, min(f.Start, end-f.Duration))
		faults = append(faults, f)
	}
	order := slices.Clone(kinds)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slot := (end - warmUpTime) / time.Duration(len(order))
	for i, k := range order {
		add(k, warmUpTime+time.Duration(i)*slot, slot)
	}
	// Further drains would leave too few upstreams in service.
	extraKinds := slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool {
		return k == drainRace || k == drainLogOutage || k == hostLeaving
	})
	for at := warmUpTime; at < end; at += extraFaultInterval {
		add(extraKinds[rng.IntN(len(extraKinds))], at, extraFaultInterval)
	}
	faults = append(faults,
		fault{Start: end + calmDrainStart, Kind: drainRace, Target: rng.IntN(engineCount), Duration: calmDrainTime},
		fault{Start: end + calmTermStart, Kind: daemonTerm, Target: int(rng.Int32())},
	)
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.Start - b.Start) })
	return faults
}
