package hosted

import (
	"context"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/boottime"
	"dotterelmount.example/lib/journal"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
	"dotterelmount.example/platform/cloud"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/metering"
	"dotterelmount.example/server/scaling"
	"dotterelmount.example/server/singleton"
	"go.uber.org/zap"
)

// knownDuties are the duties that this build carries out, and in which configurations.
var knownDuties = map[decision.Duty]func(n *Node) bool{
	metering.Metering: func(n *Node) bool { return n.View().Table != nil && n.View().Table.HasCustomers() },
	scaling.Duty:      func(n *Node) bool { return n.View().Table != nil && len(n.View().Table.Autoscaled()) > 0 },
}

// Parts of the time within which usage is to be reported.
const (
	settlePart        = 0.4  // after the end of a window, in which daemons store their counts
	settlePartWaiting = 0.25 // the same if a new holder waits until it makes calls, which leaves less time
	spreadPart        = 0.125
)

// startDuties starts the duties that the settings name, of which there is one holder at a time.
// Without any, nothing is started.
func (n *Node) startDuties(storeClient *store.Client, process string) {
	d := n.settings.Duties
	cfg := keeperConfig
	for _, name := range d.Names {
		if _, ok := knownDuties[decision.Duty(name)]; ok {
			cfg.Duties = append(cfg.Duties, decision.Duty(name))
		} else {
			n.log.Warn("the platform asks for a duty that this build doesn't know", zap.String("duty", name))
		}
	}
	if d.Address == "" || d.Lease <= 0 || len(cfg.Duties) == 0 {
		return
	}
	clock := metering.NewClock(time.Now, boottime.Now, d.Lease, n.log.Logger)
	cfg.Keeper.Self, cfg.Keeper.Process = api.DaemonID(n.settings.Daemon), process
	cfg.Keeper.Lease, cfg.Keeper.FencesChecked = d.Lease, d.FencesChecked
	cfg.CallTimeout, cfg.CallsPerSecond = d.Lease/4, d.CallsPerSecond
	n.keepers = singleton.Start(n.system, cfg, singleton.Deps{
		Topic:    func(d decision.Duty) journal.Keyed { return storeClient.Keyed(singleton.TopicOf(d)) },
		Snapshot: n.leaseSnapshot, LastFullRead: n.lastFullRead, Wanted: func(d decision.Duty) bool { return knownDuties[d](n) },
		Time: clock.Time, OnStamp: clock.Compare, Plausible: clock.Plausible,
	}, n.log.Logger)
	n.dutyCalls = n.keepers.Calls(cloud.New(d.Address, n.settings.Daemon, d.FencesChecked))
	if slices.Contains(cfg.Duties, metering.Metering) && d.UsageWindow > 0 && d.UsageDelay > 0 {
		n.startMetering(storeClient, clock, process)
	}
}

func (n *Node) startMetering(storeClient *store.Client, clock *metering.Clock, process string) {
	d := n.settings.Duties
	counts, reports := storeClient.Keyed(metering.CountsTopic), storeClient.Keyed(metering.ReportsTopic)
	cfg := meterConfig
	cfg.Writer, cfg.Flushing.Window = process, d.UsageWindow
	cfg.Flushing.Spread = usage.Spread(n.settings.Daemon, part(d.UsageDelay, spreadPart))
	n.meter = metering.StartMeter(n.system, cfg, clock, counts, func() int { return len(n.leaseSnapshot().Daemons) }, n.log.Logger)
	reporter := reporterConfig
	reporter.Reporting.Window, reporter.Reporting.Delay, reporter.Reporting.Settle = d.UsageWindow, d.UsageDelay, part(d.UsageDelay, settlePart)
	if !d.FencesChecked {
		reporter.Reporting.Settle = part(d.UsageDelay, settlePartWaiting)
	}
	n.reporter = metering.StartReporter(n.system, reporter, clock, n.keepers, n.dutyCalls, counts, reports, n.log.Logger)
}

func part(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// leaveDuties ends the calls under terms of this daemon and releases the terms, so that others
// take over at once.
func (n *Node) leaveDuties(ctx context.Context) {
	if n.scaler != nil {
		if err := n.scaler.Stop(ctx); err != nil {
			n.log.Warn("stopping the orders of upstreams failed", zap.Error(err))
			return // a call may be under way
		}
	}
	if n.reporter != nil {
		if err := n.reporter.Stop(ctx); err != nil {
			n.log.Warn("stopping the reports of usage failed", zap.Error(err))
			return // a call may be under way
		}
	}
	if n.keepers != nil {
		n.keepers.Leave(ctx)
	}
}

// flushMeter stores the counts of this daemon when no request runs any more.
func (n *Node) flushMeter(ctx context.Context) {
	if n.meter != nil {
		n.meter.Flush(ctx)
	}
}
