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
	daemonKill     kind = "daemon-kill"
	daemonsKill    kind = "daemons-kill" // all of them at once
	daemonPause    kind = "daemon-pause"
	daemonTerm     kind = "daemon-term"
	daemonHup      kind = "daemon-hup"
	callerCut      kind = "caller-cut" // no connections of callers to a daemon
	callerSilent   kind = "caller-silent"
	storeCut       kind = "store-cut" // one daemon's way to the store
	storeSilent    kind = "store-silent"
	storeSilentOld kind = "store-silent-old" // connections made before
	storeBusy      kind = "store-busy"       // the store refuses all
	storeDown      kind = "store-down"       // the store answers nobody
	storeLossy     kind = "store-lossy"
	storeLate      kind = "store-late"
	storeSlow      kind = "store-slow"
	storeForgets   kind = "store-forgets" // the history of the operator and the servers
	serverRestart  kind = "server-restart"
	serverSlow     kind = "server-slow"
	serverBusy     kind = "server-busy"
	serverCuts     kind = "server-cuts"
	serverLoses    kind = "server-loses"
	serverGarbles  kind = "server-garbles"
	serverHangs    kind = "server-hangs"
	serverFails    kind = "server-fails"
	serverDark     kind = "server-dark" // its connections go silent
	serverDrain    kind = "server-drain"
	configChange   kind = "config-change"
	configStorm    kind = "config-storm"
)

// spans holds every kind with how long it lasts; zero for those of one moment.
var spans = map[kind]span{
	daemonKill: {}, daemonsKill: {}, daemonTerm: {}, daemonHup: {}, storeForgets: {}, configChange: {},
	daemonPause:    {Least: 500 * time.Millisecond, Most: 5 * time.Second},
	callerCut:      {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	callerSilent:   {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	storeCut:       {Least: 500 * time.Millisecond, Most: 5 * time.Second},
	storeSilent:    {Least: 500 * time.Millisecond, Most: 5 * time.Second},
	storeSilentOld: {Least: time.Second, Most: 4 * time.Second},
	storeBusy:      {Least: 500 * time.Millisecond, Most: 4 * time.Second},
	storeDown:      {Least: 500 * time.Millisecond, Most: 5 * time.Second},
	storeLossy:     {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	storeLate:      {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	storeSlow:      {Least: time.Second, Most: 4 * time.Second},
	serverRestart:  {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	serverSlow:     {Least: time.Second, Most: 4 * time.Second},
	serverBusy:     {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	serverCuts:     {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	serverLoses:    {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	serverGarbles:  {Least: 500 * time.Millisecond, Most: 2 * time.Second},
	serverHangs:    {Least: 500 * time.Millisecond, Most: 3 * time.Second},
	serverFails:    {Least: 200 * time.Millisecond, Most: 500 * time.Millisecond},
	serverDark:     {Least: time.Second, Most: 4 * time.Second},
	serverDrain:    {Least: 3 * time.Second, Most: 6 * time.Second},
	configStorm:    {Least: 500 * time.Millisecond, Most: 2 * time.Second},
}

// kinds lists every kind in a fixed order.
func kinds() []kind {
	var out []kind
	for k := range spans {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

const (
	warmUp     = time.Second            // load without faults
	extraEvery = 900 * time.Millisecond // a further fault of any kind
	pairOneIn  = 3                      // further faults that come twice, the second right after
	pairGap    = 300 * time.Millisecond
)

// plan makes the schedule of a seed: every kind at least once, in an order of
// the seed's, and further ones of random kinds, some of them twice.
func plan(seed uint64, duration time.Duration) []fault {
	all := kinds()
	rng := rand.New(rand.NewPCG(seed, uint64(len(all))))
	var faults []fault
	add := func(k kind, at time.Duration) {
		lasts := spans[k].Draw(rng)
		faults = append(faults, fault{At: at, Kind: k, Target: int(rng.Int32()), Lasts: lasts})
	}
	order := slices.Clone(all)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slot := duration / time.Duration(len(order))
	for i, k := range order {
		add(k, warmUp+time.Duration(i)*slot+time.Duration(rng.Int64N(int64(slot))))
	}
	for at := warmUp; at < duration; at += extraEvery {
		k, when := all[rng.IntN(len(all))], at+time.Duration(rng.Int64N(int64(extraEvery)))
		add(k, when)
		if rng.IntN(pairOneIn) == 0 {
			add(k, when+pairGap)
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.At - b.At) })
	return faults
}
