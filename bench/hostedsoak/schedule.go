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
	daemonKill     kind = "daemon-kill"      // SIGKILL
	daemonsKill    kind = "daemons-kill"     // all daemons at once
	daemonPause    kind = "daemon-pause"     // a daemon's process is suspended
	daemonTerm     kind = "daemon-term"      // SIGTERM
	daemonHup      kind = "daemon-hup"       // SIGHUP
	callerCut      kind = "caller-cut"       // a daemon's connections from callers are closed and refused
	callerSilent   kind = "caller-silent"    // a daemon's connections from callers carry no data
	storeCut       kind = "store-cut"        // a daemon's connections to the store are closed and refused
	storeSilent    kind = "store-silent"     // a daemon's connections to the store carry no data
	storeSilentOld kind = "store-silent-old" // only connections that are already open
	storeBusy      kind = "store-busy"       // the store responds 503
	storeDown      kind = "store-down"       // the store doesn't respond
	storeLossy     kind = "store-lossy"      // the store carries out appends, but their responses are lost
	storeLate      kind = "store-late"       // the store carries out appends after a delay and doesn't respond
	storeSlow      kind = "store-slow"       // the store responds after a delay
	storeForgets   kind = "store-forgets"    // the history of the operator's and the servers' records is compacted
	storeExpires   kind = "store-expires"    // the oldest records of the journal expire
	serverRestart  kind = "server-restart"   // a server stops and starts again with a new ID and other software
	serversCrash   kind = "servers-crash"    // half of the servers stop and start again with the same IDs, several times in a row
	serverSlow     kind = "server-slow"      // a server sends events at longer intervals
	serverBusy     kind = "server-busy"      // a server rejects all requests
	serverCuts     kind = "server-cuts"      // a server cuts responses off in the middle
	serverLoses    kind = "server-loses"     // a server runs requests and closes their connections without a response
	serverGarbles  kind = "server-garbles"   // a server sends bytes that aren't a valid response
	serverHangs    kind = "server-hangs"     // a server doesn't respond until the caller disconnects
	serverFails    kind = "server-fails"     // a server responds 500
	serverEndless  kind = "server-endless"   // a server sends bytes without end
	serverCutsHead kind = "server-cuts-head" // a server closes connections in the middle of its responses' heads
	serverDark     kind = "server-dark"      // connections to a server carry no data
	serverLimits   kind = "server-limits"    // a server names a request limit
	serverDrain    kind = "server-drain"     // a server is marked as draining
	serverLeaves   kind = "server-leaves"    // a server says in its responses only that it leaves, and restarts later
	daemonsCutOff  kind = "daemons-cut-off"  // some daemons can't reach any server
	cloudBusy      kind = "cloud-busy"       // the platform's API responds 429
	cloudSilent    kind = "cloud-silent"     // the platform's API doesn't respond
	cloudLate      kind = "cloud-late"       // the platform's API executes calls after a delay and doesn't respond
	configChange   kind = "config-change"    // the operator publishes a configuration
	configStorm    kind = "config-storm"     // the operator publishes configurations at short intervals
	routeMove      kind = "route-move"       // a configuration moves the routes of jobs to other engines
)

// faultDurations maps every kind to its range of durations, zero for
// instantaneous faults.
var faultDurations = map[kind]durationRange{
	daemonKill: {}, daemonsKill: {}, daemonTerm: {}, daemonHup: {}, storeForgets: {}, storeExpires: {}, configChange: {}, routeMove: {},
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
	serversCrash:   {Min: 200 * time.Millisecond, Max: 500 * time.Millisecond},
	serverSlow:     {Min: time.Second, Max: 4 * time.Second},
	serverBusy:     {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	serverCuts:     {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverLoses:    {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverGarbles:  {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverEndless:  {Min: 200 * time.Millisecond, Max: time.Second},
	serverCutsHead: {Min: 500 * time.Millisecond, Max: 2 * time.Second},
	serverHangs:    {Min: 500 * time.Millisecond, Max: 3 * time.Second},
	serverFails:    {Min: 200 * time.Millisecond, Max: 500 * time.Millisecond},
	serverDark:     {Min: time.Second, Max: 4 * time.Second},
	serverLimits:   {Min: 2 * time.Second, Max: 6 * time.Second},
	serverDrain:    {Min: 3 * time.Second, Max: 6 * time.Second},
	serverLeaves:   {Min: 3 * time.Second, Max: 6 * time.Second},
	daemonsCutOff:  {Min: time.Second, Max: 6 * time.Second},
	cloudBusy:      {Min: time.Second, Max: 4 * time.Second},
	cloudSilent:    {Min: time.Second, Max: 5 * time.Second},
	cloudLate:      {Min: time.Second, Max: 4 * time.Second},
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
