package once_test

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/appender"
	"dotterelmount.example/server/once"
	"dotterelmount.example/server/statereplica"
)

// A lending slip is issued once. The second call gets the first one's result.
func ExampleGuard() {
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
	guard := once.New(replica, "entry-1", time.Now)
	request := once.Request{Key: ledger.ClaimKey{Customer: "library", Key: "slip-7"}, Fingerprint: 1}
	for range 2 {
		res, replayed := guard.Run(ctx, request, func() work.Result {
			fmt.Println("issues the slip")
			return work.Result{Outcome: api.OutcomeComplete, Status: 201, Body: []byte("slip 7")}
		})
		fmt.Println(res.Outcome, res.Status, string(res.Body), "replayed:", replayed)
	}
	fmt.Println(app.Stop(ctx), replica.Stop(ctx))
	// Output:
	// issues the slip
	// complete 201 slip 7 replayed: false
	// complete 201 slip 7 replayed: true
	// <nil> <nil>
}
