package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"dotterelmount.example/bench/schedule"
)

type (
	kind  = schedule.Kind
	fault = schedule.Fault
	span  = schedule.Span
)

// The kinds of faults.
const (
	engineCrash   kind = "engine-crash"
	engineKill    kind = "engine-kill"
	engineHang    kind = "engine-hang"
	engineSlow    kind = "engine-slow"
	engineCut     kind = "engine-cut"
	engineTrunc   kind = "engine-truncate" // streams end without their end marker
	plainCrash    kind = "plain-crash"
	plainHang     kind = "plain-hang"
	daemonKill    kind = "daemon-kill"
	daemonPause   kind = "daemon-pause"
	daemonTerm    kind = "daemon-term"
	linkCut       kind = "link-cut"
	linkSilent    kind = "link-silent"
	linkSilentOld kind = "link-silent-old" // connections made before go silent, new ones work
	centreParted  kind = "centre-parted"
	logOutage     kind = "log-outage"
	logSlow       kind = "log-slow"
	logLost       kind = "log-lost-answers"
	listRace      kind = "list-race"
	drainRace     kind = "drain-race" // two operators mark one upstream; it is drained for a while
	drainOutage   kind = "drain-log-outage"
	hostLeaving   kind = "host-leaving"
	weightSwap    kind = "weight-swap"
	weightPartway kind = "weight-swap-partway"
	trainerKill   kind = "trainer-kill"
	trainerStale  kind = "trainer-stale" // a trainer is away while its samples become too old
	killerRequest kind = "killer-request"
)

// spans holds every kind with how long it lasts; zero for those of one moment.
var spans = map[kind]span{
	engineCrash: {}, engineKill: {}, plainCrash: {}, daemonKill: {}, daemonTerm: {}, listRace: {},
	weightSwap: {}, weightPartway: {}, trainerKill: {}, trainerStale: {}, killerRequest: {}, logLost: {},
	engineHang:    {Least: 500 * time.Millisecond, Most: 4 * time.Second},
	engineSlow:    {Least: time.Second, Most: 4 * time.Second},
	engineCut:     {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	engineTrunc:   {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	plainHang:     {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	daemonPause:   {Least: time.Second, Most: 5 * time.Second},
	linkCut:       {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	linkSilent:    {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	linkSilentOld: {Least: 3 * time.Second, Most: 6 * time.Second},
	centreParted:  {Least: time.Second, Most: 6 * time.Second},
	logOutage:     {Least: 500 * time.Millisecond, Most: 4 * time.Second},
	logSlow:       {Least: time.Second, Most: 3 * time.Second},
	drainRace:     {Least: 4 * time.Second, Most: 6 * time.Second},
	hostLeaving:   {Least: 5 * time.Second, Most: 6 * time.Second},
	drainOutage:   {Least: 5 * time.Second, Most: 6 * time.Second},
}

const (
	warmUp      = time.Second             // load without faults
	calm        = 8 * time.Second         // load without faults at the end
	extraEvery  = 1500 * time.Millisecond // a further fault of any kind
	leastFaulty = 5 * time.Second

	// A drain and a graceful stop in the calm show whether they cut anything.
	calmDrainAfter = 2500 * time.Millisecond
	calmDrain      = time.Second
	calmTermAfter  = 3200 * time.Millisecond
)

// faultyTime returns how long after the start faults may last.
func faultyTime(duration time.Duration) time.Duration {
	return warmUp + max(leastFaulty, duration-calm-warmUp)
}

// plan makes the schedule of a seed: every kind of kinds at least once, each in
// a slot of its own, further ones of random kinds, and what belongs to the calm.
func plan(seed uint64, duration time.Duration, kinds []kind) []fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	end := faultyTime(duration)
	var faults []fault
	add := func(k kind, from, slot time.Duration) {
		f := fault{Kind: k, Target: int(rng.Int32()), At: from + time.Duration(rng.Int64N(int64(slot)))}
		f.Lasts = spans[k].Draw(rng)
		f.At = max(warmUp, min(f.At, end-f.Lasts))
		faults = append(faults, f)
	}
	order := slices.Clone(kinds)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slot := (end - warmUp) / time.Duration(len(order))
	for i, k := range order {
		add(k, warmUp+time.Duration(i)*slot, slot)
	}
	// Further drains would leave too few upstreams.
	more := slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool {
		return k == drainRace || k == drainOutage || k == hostLeaving
	})
	for at := warmUp; at < end; at += extraEvery {
		add(more[rng.IntN(len(more))], at, extraEvery)
	}
	faults = append(faults,
		fault{At: end + calmDrainAfter, Kind: drainRace, Target: rng.IntN(engineCount), Lasts: calmDrain},
		fault{At: end + calmTermAfter, Kind: daemonTerm, Target: int(rng.Int32())},
	)
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.At - b.At) })
	return faults
}
