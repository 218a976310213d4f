// Package logbooktest starts log books over an in-memory log for the tests of
// other modules.
package logbooktest

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
	"dotterelmount.example/server/logbook"
)

const (
	ringSize    = 64
	callTimeout = time.Second
	readWait    = 20 * time.Millisecond
	stopTime    = 10 * time.Second
)

var ids atomic.Int64

// Start runs a book over a log until the test ends. A zero checkpointEvery
// takes no checkpoints.
func Start(t testing.TB, log eventlog.Log, daemon api.DaemonID, checkpointEvery time.Duration, watchers ...func(*ledger.State)) *logbook.StateReplica {
	t.Helper()
	sys := duty.NewSystem(nil)
	app := appender.Start(sys, log, appender.Config{RingSize: ringSize, MaxBatch: ringSize, CallTimeout: callTimeout})
	book := logbook.Start(sys, log, appender.Adapter{Appender: app}, logbook.Config{
		Daemon: daemon, RingSize: ringSize, ReadWait: readWait, ReadLimit: ringSize / 8, RetryInterval: time.Millisecond,
		ProposeTimeout: stopTime, CheckpointInterval: checkpointEvery,
		NewID: func() api.RecordID { return api.RecordID(fmt.Sprint(daemon, ids.Add(1))) },
		Now:   time.Now, Jitter: func() float64 { return 0 },
	}, watchers...)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = app.Stop(ctx)
		_ = book.Stop(ctx)
	})
	return book
}
