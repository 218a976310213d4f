package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

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

// span bounds how long a fault lasts.
type span struct{ least, most time.Duration }

// spans holds every kind with how long it lasts; zero for those of one moment.
var spans = map[kind]span{
	daemonKill: {}, daemonsKill: {}, daemonTerm: {}, daemonHup: {}, storeForgets: {}, configChange: {},
	daemonPause:    {500 * time.Millisecond, 5 * time.Second},
	callerCut:      {500 * time.Millisecond, 3 * time.Second},
	callerSilent:   {500 * time.Millisecond, 3 * time.Second},
	storeCut:       {500 * time.Millisecond, 5 * time.Second},
	storeSilent:    {500 * time.Millisecond, 5 * time.Second},
	storeSilentOld: {time.Second, 4 * time.Second},
	storeBusy:      {500 * time.Millisecond, 4 * time.Second},
	storeDown:      {500 * time.Millisecond, 5 * time.Second},
	storeLossy:     {500 * time.Millisecond, 3 * time.Second},
	storeLate:      {500 * time.Millisecond, 3 * time.Second},
	storeSlow:      {time.Second, 4 * time.Second},
	serverRestart:  {500 * time.Millisecond, 3 * time.Second},
	serverSlow:     {time.Second, 4 * time.Second},
	serverBusy:     {500 * time.Millisecond, 3 * time.Second},
	serverCuts:     {500 * time.Millisecond, 2 * time.Second},
	serverLoses:    {500 * time.Millisecond, 2 * time.Second},
	serverGarbles:  {500 * time.Millisecond, 2 * time.Second},
	serverHangs:    {500 * time.Millisecond, 3 * time.Second},
	serverFails:    {200 * time.Millisecond, 500 * time.Millisecond},
	serverDark:     {time.Second, 4 * time.Second},
	serverDrain:    {3 * time.Second, 6 * time.Second},
	configStorm:    {500 * time.Millisecond, 2 * time.Second},
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

// fault is one entry of the schedule.
type fault struct {
	At     time.Duration // since the start of the load
	Kind   kind
	Target int // picks among what the kind can hit, modulo their number
	Lasts  time.Duration
}

// String describes the fault in a line.
func (f fault) String() string {
	return fmt.Sprintf("%7.3fs %-16s target %10d lasts %.3fs", f.At.Seconds(), f.Kind, f.Target, f.Lasts.Seconds())
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
		s := spans[k]
		lasts := s.least + time.Duration(rng.Int64N(int64(s.most-s.least)+1))
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
