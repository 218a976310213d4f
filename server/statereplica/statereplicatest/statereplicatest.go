// Package statereplicatest starts state replicas for the tests of other modules.
package statereplicatest

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/server/appender"
	"dotterelmount.example/server/statereplica"
)

const (
	ringSize    = 64
	callTimeout = time.Second
	readWait    = 20 * time.Millisecond
	stopTimeout = 10 * time.Second
)

var lastRecordID atomic.Int64

// Start runs a state replica of a log until the test ends. With a checkpointInterval
// of zero it proposes no checkpoints.
func Start(t testing.TB, log eventlog.Log, daemon api.DaemonID, checkpointInterval time.Duration, watchers ...func(*ledger.State)) *statereplica.StateReplica {
	t.Helper()
	sys := duty.NewSystem(nil)
	app := appender.Start(sys, log, appender.Config{RingSize: ringSize, MaxBatch: ringSize, CallTimeout: callTimeout})
	replica := statereplica.Start(sys, log, appender.Adapter{Appender: app}, statereplica.Config{
		Daemon: daemon, RingSize: ringSize, ReadWait: readWait, ReadLimit: ringSize / 8, RetryInterval: time.Millisecond,
		ProposeTimeout: stopTimeout, CheckpointInterval: checkpointInterval,
		NewID: func() api.RecordID { return api.RecordID(fmt.Sprint(daemon, lastRecordID.Add(1))) },
		Now:   time.Now, Jitter: func() float64 { return 0 },
	}, watchers...)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = app.Stop(ctx)
		_ = replica.Stop(ctx)
	})
	return replica
}
