package hosted

import (
	"context"
	"slices"
	"time"

	"dotterelmount.example/lib/batch"
	decision "dotterelmount.example/lib/scaling"
	"dotterelmount.example/lib/singleton"
	"dotterelmount.example/server/scaling"
)

var scalingConfig = scaling.Config{
	Decision: decision.Config{
		Window:     time.Minute,      // trainers ask a step each few seconds
		MinHistory: 15 * time.Second, // twice the time in which a step's results are due
		OnTime:     0.8,              // the rest of a job's time is for items that run again
		// Beyond it, items wait for slots in the usual spread of steps.
		Utilisation:   0.7,
		DefaultTarget: 10 * time.Second, LoadTime: time.Second,
		Reserve: 0.25, // a fifth of the upstreams may be slow or down at once
		Surplus: 0.15, Shortage: 0.05,
		ReduceInterval: 8 * time.Second, // upstreams drain and others load their models in less
		ConfirmTimeout: 4 * time.Second, // three heartbeats
		RetryInterval:  2 * time.Second, // the timeout of a call
		RefusalTime:    3 * time.Second,
		SightTime:      20 * time.Second, // above the time in which upstreams that crashed are back
	},
	Tick: time.Second, IdleTick: time.Second, RingSize: 16, CallTimeout: 2 * time.Second,
	MaxViewAge: 3 * time.Second, // two long polls
	MaxReadAge: 2 * time.Second, Now: time.Now,
}

// startScaling starts the duty that orders upstreams, if the platform asks for it.
func (n *Node) startScaling() {
	if n.keepers == nil || !slices.Contains(n.settings.Duties.Names, string(scaling.Duty)) {
		return
	}
	n.scaler = scaling.Start(n.system, scalingConfig, scaling.Deps{
		Term:  func() (singleton.Term, bool) { return n.keepers.Current(scaling.Duty) },
		Order: n.dutyCalls.Order, View: n.View, Snapshot: n.leaseSnapshot, LastFullRead: n.lastFullRead,
		Workloads: func(ctx context.Context) ([]batch.Workload, error) { return n.replica.Load().Workloads(ctx) },
	}, n.log.Logger)
}
