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

// Fault kinds.
const (
	daemonKill     kind = "daemon-kill"
	daemonsKill    kind = "daemons-kill" // all daemons at once
	daemonPause    kind = "daemon-pause"
	daemonTerm     kind = "daemon-term"
	daemonHup      kind = "daemon-hup"
	callerCut      kind = "caller-cut" // a daemon's connections from callers are closed and refused
	callerSilent   kind = "caller-silent"
	storeCut       kind = "store-cut" // a daemon's connections to the store are closed and refused
	storeSilent    kind = "store-silent"
	storeSilentOld kind = "store-silent-old" // only connections that are already open
	storeBusy      kind = "store-busy"       // the store responds 503
	storeDown      kind = "store-down"       // the store doesn't respond
	storeLossy     kind = "store-lossy"
	storeLate      kind = "store-late"
	storeSlow      kind = "store-slow"
	storeForgets   kind = "store-forgets" // the history of the operator's and the servers' records is compacted
	serverRestart  kind = "server-restart"
	serverSlow     kind = "server-slow"
	serverBusy     kind = "server-busy"
	serverCuts     kind = "server-cuts"
	serverLoses    kind = "server-loses"
	serverGarbles  kind = "server-garbles"
	serverHangs    kind = "server-hangs"
	serverFails    kind = "server-fails"
	serverDark     kind = "server-dark" // connections to a server carry no data
	serverDrain    kind = "server-drain"
	configChange   kind = "config-change"
	configStorm    kind = "config-storm"
)

// faultDurations maps every kind to its range of durations, zero for
// instantaneous faults.
var faultDurations = map[kind]durationRange{
	daemonKill: {}, daemonsKill: {}, daemonTerm: {}, daemonHup: {}, storeForgets: {}, configChange: {},
	daemonPause:    {Min: 500 * time.Millisecond, Max: 5 * time.Second},
	callerCut:      {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	callerSilent:   {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	storeCut:       {Min: 500 * time.Millisecond, Max: 5 * time.Second},
	storeSilent:    {Min: 500 * time.Millisecond, Max: 5 * time.Second},
	storeSilentOld: {Min: time.Second, Max: 4 * time.Second},
	storeBusy:      {Min: 500 * time.Millisecond, Max: 4 * time.Second},
	storeDown:      {Min: 500 * time.Millisecond, Max: 5 * time.Second},
	storeLossy:     {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	storeLate:      {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	storeSlow:      {Min: time.Second, Max: 4 * time.Second},
	serverRestart:  {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	serverSlow:     {Min: time.Second, Max: 4 * time.Second},
	serverBusy:     {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	serverCuts:     {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverLoses:    {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverGarbles:  {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverHangs:    {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	serverFails:    {Min: 200 * time.Millisecond, Max: 500 * time.Millisecond},
	serverDark:     {Min: time.Second, Max: 4 * time.Second},
	serverDrain:    {Min: 3 * time.Second, Max: 6 * time.Second},
	configStorm:    {Min: 500 * time.Millisecond, Max: 2 * time.Second},
}

// kinds returns all kinds in a fixed order, so that a seed always yields the
// same schedule.
func kinds() []kind {
	var out []kind
	for k := range faultDurations {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

const (
	warmUpTime         = time.Second            // load without faults
	extraFaultInterval = 900 * time.Millisecond // between additional faults of random kinds
	pairOneIn          = 3                      // one in pairOneIn additional faults is repeated after pairGap
	pairGap            = 300 * time.Millisecond
)

// newSchedule returns the schedule of a seed: every kind once in random order,
// and additional faults of random kinds, some of them in pairs.
func newSchedule(seed uint64, duration time.Duration) []fault {
	all := kinds()
	rng := rand.New(rand.NewPCG(seed, uint64(len(all))))
	var faults []fault
	add := func(k kind, at time.Duration) {
		faultTime := faultDurations[k].Draw(rng)
		faults = append(faults, fault{Start: at, Kind: k, Target: int(rng.Int32()), Duration: faultTime})
	}
	order := slices.Clone(all)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slot := duration / time.Duration(len(order))
	for i, k := range order {
		add(k, warmUpTime+time.Duration(i)*slot+time.Duration(rng.Int64N(int64(slot))))
	}
	for at := warmUpTime; at < duration; at += extraFaultInterval {
		k, when := all[rng.IntN(len(all))], at+time.Duration(rng.Int64N(int64(extraFaultInterval)))
		add(k, when)
		if rng.IntN(pairOneIn) == 0 {
			add(k, when+pairGap)
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.Start - b.Start) })
	return faults
}
