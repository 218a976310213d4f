package statereplica_test

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/server/appender"
	"dotterelmount.example/server/statereplica"
)

// Propose returns the verdict that results from applying the record.
func ExampleStateReplica() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	log, system := memlog.New(memlog.Options{}), duty.NewSystem(nil)
	app := appender.Start(system, log, appender.Config{RingSize: 16, MaxBatch: 8})
	ids := 0
	replica := statereplica.Start(system, log, appender.Adapter{Appender: app}, statereplica.Config{
		Daemon: "entry-1", RingSize: 64, ReadWait: 20 * time.Millisecond, ReadLimit: 64,
		RetryInterval: time.Millisecond, ProposeTimeout: time.Minute, Now: time.Now,
		NewID: func() api.RecordID { ids++; return api.RecordID(fmt.Sprint("r", ids)) },
	})
	for _, version := range []api.WeightVersion{7, 6} {
		body := api.AnnounceWeights{Model: "coach", Version: version}
		v, err := replica.Propose(ctx, api.StreamConfig, body, "hana")
		fmt.Println(version, "at", v.Offset, "refused:", api.CodeOf(v.Err), "failed:", err)
	}
	fmt.Println("in force:", replica.State().Weights["coach"].Version)
	fmt.Println(app.Stop(ctx), replica.Stop(ctx))
	// Output:
	// 7 at 1 refused:  failed: <nil>
	// 6 at 2 refused: stale-version failed: <nil>
	// in force: 7
	// <nil> <nil>
}
