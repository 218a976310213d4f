package appender_test

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/appender"
)

// Records are appended in batches, with retries until their deadlines.
func Example() {
	ctx := context.Background()
	log := memlog.New(memlog.Options{})
	app := appender.Start(duty.NewSystem(nil), log, appender.Config{RingSize: 16, MaxBatch: 8})
	done := ring.NewSlot[error]()
	err := app.Append(appender.Request{
		Stream: "config", Record: eventlog.Record{ID: "r1"}, Deadline: time.Now().Add(time.Minute),
		Done: func(err error) { done.Put(err) },
	})
	fmt.Println("accepted:", err)
	result, err := done.Wait(ctx)
	fmt.Println("in the log:", result, err)
	fmt.Println(app.Stop(ctx))
	// Output:
	// accepted: <nil>
	// in the log: <nil> <nil>
	// <nil>
}
