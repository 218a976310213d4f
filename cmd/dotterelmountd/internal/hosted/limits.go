package hosted

import (
	"time"

	"dotterelmount.example/lib/boottime"
	"dotterelmount.example/lib/latency"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/pace"
	"dotterelmount.example/lib/reach"
	scoring "dotterelmount.example/lib/rewards"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/upgrade"
	"dotterelmount.example/lib/usage"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"dotterelmount.example/server/follow"
	"dotterelmount.example/server/jobreplica"
	"dotterelmount.example/server/leasing"
	"dotterelmount.example/server/metering"
	"dotterelmount.example/server/reachability"
	"dotterelmount.example/server/relay"
	"dotterelmount.example/server/rewards"
	"dotterelmount.example/server/runner"
	"dotterelmount.example/server/singleton"
	"dotterelmount.example/server/throttle"
	"dotterelmount.example/server/upkeep"
)

// Durations and sizes of the components.
const (
	operatorReadInterval    = 50 * time.Millisecond   // a fortieth of the 2 s in which a configuration must be in force
	serversReadInterval     = 150 * time.Millisecond  // an eighth of the upstreams' heartbeat interval
	maxJournalReadAge       = 2 * time.Second         // an older read to the journal's end makes the daemon not ready
	maxConfigAge            = 2 * time.Second         // in which a configuration must be in force
	relayBusyThreshold      = 2                       // requests in flight at an upstream before the next upstream is used
	retryAfter              = 100 * time.Millisecond  // another daemon can usually serve at once
	headerTimeout           = 10 * time.Second        // above the limit that the platform sets its clients
	idleTimeout             = 2 * time.Minute         // above the limit that the platform sets its clients
	lingerTime              = 2500 * time.Millisecond // two readiness polls, one per second, plus the delay of new connections
	streamRecordWait        = 80 * time.Millisecond   // two thirds of the time within which an event must reach the caller
	crashReportTimeout      = 3 * time.Second         // within it, all daemons must know a request that crashes upstreams
	journalShare            = 0.4                     // of the store's reads per second; the rest is for the feeds, restarts and bursts
	stopMargin              = 500 * time.Millisecond  // part of the shutdown timeout left for the exit of the process
	responseMargin          = 200 * time.Millisecond  // for the failure responses of requests that a stop ends
	feedWait                = time.Second             // plus feedTimeout, below the 2 s in which a configuration must be in force
	feedTimeout             = 600 * time.Millisecond  // a healthy store responds within some milliseconds
	logCallTimeout          = time.Second             // a healthy store responds within some milliseconds
	maxPeerTries            = 3                       // of a request, if this daemon is cut off; a fifth of the daemons may just have died
	checkpointsPerRetention = 4                       // three in a row may fail
	readsPerRevoke          = 4                       // without one in its time, keys are refused
	recordFraming           = 4 << 10                 // bytes; more than what a page holds besides its records
)

var latencyRecorder = latency.New()

var watcherConfig = follow.Config{
	ReadWait: feedWait, ReadTimeout: feedTimeout, RetryInterval: 100 * time.Millisecond,
	RemovalGrace: 2 * time.Second, // the time within which, by the platform's documentation, entries that expired in an outage reappear
	Now:          time.Now,
}

var committerConfig = committer.Config{
	RingSize: 4096, CallTimeout: logCallTimeout, RetryInterval: 50 * time.Millisecond, FailFastAfter: 300 * time.Millisecond, Now: time.Now,
}

var chunkReaderConfig = chunks.Config{
	Readers:  8, // a read takes some 7 ms, so that a hundred chunks take 100 ms
	RingSize: 256, ReadTimeout: logCallTimeout,
}

var replicaConfig = jobreplica.Config{
	RingSize: 1024, ReadWait: feedWait, ReadTimeout: feedTimeout, MinReadInterval: 15 * time.Millisecond, RetryInterval: 100 * time.Millisecond,
	LoadInterval: 2 * time.Second,
	Roster:       roster, IdleReadInterval: 200 * time.Millisecond, // trainers read results about every 500 ms
	MaxResultBytes: 900 << 10, // the platform's clients accept 1 MB
	Now:            time.Now,
}

var roster = leases.Roster{
	MaxActive:     48, // 137 renewals a second, about a quarter of the appends that the journal's partition takes
	RenewInterval: 350 * time.Millisecond, IdleInterval: 30 * time.Second,
	TTL: 1500 * time.Millisecond, // four renewal intervals
}

var recordLevels = upgrade.Config{Silence: 40 * time.Second} // idle daemons renew every 30 s

var leaseManagerConfig = leasing.Config{
	Tick: 100 * time.Millisecond, IdleTick: 500 * time.Millisecond, Roster: roster,
	TurnTimeout:     500 * time.Millisecond, // a proposal is read back within some tens of milliseconds
	MaxReadAge:      700 * time.Millisecond, // two renewal intervals
	ProposalTimeout: time.Second, SweepInterval: time.Second, Now: time.Now,
	Levels: recordLevels,
}

var upkeepConfig = upkeep.Config{
	CallDuties: 4, RingSize: 1024, Tick: 50 * time.Millisecond, IdleTick: 250 * time.Millisecond, CallTimeout: 700 * time.Millisecond,
	OrderLeaseAge:     1200 * time.Millisecond, // below the roster's TTL
	LoadPollInterval:  150 * time.Millisecond,  // above the age of reports
	AnnouncementDelay: 250 * time.Millisecond,  // trainers submit their step some tens of milliseconds after the announcement
	ProposalTimeout:   time.Second, FailLimit: 3, ProbeInterval: time.Second, SlowDuration: 4 * time.Second, Now: time.Now,
}

var runnerConfig = runner.Config{
	RingSize: 1024, Tick: 50 * time.Millisecond, IdleTick: time.Second,
	FirstEventTimeout: 3 * time.Second, EventTimeout: time.Second, // an event normally takes some tens of milliseconds
	LeaveMargin: 500 * time.Millisecond, // the age of a description read by the feed, and a round trip
	// The window spans the slow phases of some 600 ms that all upstreams have.
	Pace:            pace.Config{Window: 1800 * time.Millisecond, MinEvents: 12, Factor: 2.2, MinPeers: 2},
	MeasureInterval: 200 * time.Millisecond, MinIntervalChange: 0.3,
	FlushInterval: 1500 * time.Millisecond, RetryDelay: 100 * time.Millisecond, BusyLimit: 3, MaxLimitWait: 2 * time.Second,
	PromptRetryDelay: 400 * time.Millisecond, // the store is unavailable then, and its call rate is limited
	Now:              time.Now,
}

var throttleConfig = throttle.Config{
	RingSize: 1024, Tick: 100 * time.Millisecond, IdleTick: time.Second,
	ReportInterval:  time.Second, // a third of the time that a reported demand counts
	ProposalTimeout: time.Second, MaxReadAge: 2 * time.Second, Now: time.Now,
}

var reachabilityConfig = reachability.Config{
	Reach: reach.Config{
		FailureLimit: 2,               // one failure is often that of one upstream
		Probes:       4, MinProbes: 2, // with a third of the upstreams down, all of four are with 1 in 100
		Stagger:        50 * time.Millisecond, // several round trips between data centres
		RoundInterval:  time.Second,           // a third of the time in which callers must not notice a cut-off any more
		CutOffInterval: 500 * time.Millisecond,
	},
	RingSize: 1024, Tick: 25 * time.Millisecond, IdleTick: time.Second,
	ProbeTimeout: 250 * time.Millisecond, // a healthy upstream responds within some milliseconds
	Now:          time.Now,
}

var attemptTimeouts = opaque.AttemptTimeouts{MinTimeout: 250 * time.Millisecond, TargetMultiple: 2}

var rewardsConfig = rewards.Config{
	Limits: scoring.Config{
		SlotShare: 0.75, MinConcurrent: 2, // a quarter of the slots suffices for callers' requests, which are short
		RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second,
	},
	Timeouts: attemptTimeouts, DefaultTimeout: 2 * time.Second, Callers: 8, RingSize: 256, Tick: 50 * time.Millisecond, IdleTick: time.Second,
	Roster: roster, Now: time.Now,
}

var keeperConfig = singleton.Config{
	Keeper: decision.Config{
		LateCalls: 6 * time.Second,                                               // the longest delay that the platform names for calls without a response
		RankDelay: 300 * time.Millisecond, RetryInterval: 150 * time.Millisecond, // a healthy store responds within some milliseconds
		FailureLimit: 3, Absence: 10 * time.Second, MaxAbsence: time.Minute,
	},
	Candidates: 3, // the loss of the first two at once is rare, and the live daemons are known a second later
	Tick:       50 * time.Millisecond, IdleTick: time.Second, LeaveTimeout: time.Second, RankInterval: 500 * time.Millisecond,
	Roster: roster, MaxReadAge: 2 * time.Second, Now: time.Now, Boot: boottime.Now,
	MinImageLevel: 2, // that of the first build with duties
}

var meterConfig = metering.MeterConfig{
	Flushing: usage.Flushing{Interval: time.Second, PerSecond: 100}, // a fifth of the appends that a partition takes
	RingSize: 4096, Tick: 100 * time.Millisecond, IdleTick: time.Second, CallTimeout: logCallTimeout, RetryInterval: 250 * time.Millisecond,
	Now: time.Now, Boot: boottime.Now,
}

var reporterConfig = metering.ReporterConfig{
	Reporting: usage.Reporting{
		Grace: 1500 * time.Millisecond, // above the interval at which daemons store their counts
		// Records of lost daemons are deleted by then, and nobody acts on a later report.
		GiveUp:     3 * time.Minute,
		RetryDelay: 250 * time.Millisecond, MaxRetryDelay: 2 * time.Second,
	},
	Tick: 100 * time.Millisecond, IdleTick: 500 * time.Millisecond, CallTimeout: logCallTimeout,
}

var relayConfig = relay.Config{
	AttemptTimeouts: attemptTimeouts, RingSize: 1024,
	Backoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second, RetryAfter: retryAfter, Now: time.Now,
	CrashConfirmation: 700 * time.Millisecond,               // a round of probes that all time out takes 400 ms
	MaxWaiting:        512, WaitTick: 20 * time.Millisecond, // a seventh of the shortest latency target
}
