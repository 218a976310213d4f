package memlog_test

import (
	"context"
	"errors"
	"fmt"

	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
)

// An append whose response is lost may have taken effect. The writer repeats it
// with the same record, and readers ignore the second entry with the same ID.
func Example() {
	ctx := context.Background()
	log := memlog.New(memlog.Options{})
	record := eventlog.Record{ID: "r1", Payload: []byte("drain coach-1")}
	log.DropResponses(1)
	_, err := log.Append(ctx, "config", []eventlog.Record{record})
	var ambiguous *eventlog.AmbiguousError
	fmt.Println("ambiguous:", errors.As(err, &ambiguous))
	offset, err := log.Append(ctx, "config", []eventlog.Record{record})
	fmt.Println("again at", offset, err)

	batches, err := log.Read(ctx, []eventlog.Position{{Stream: "config", Offset: 1}}, 10, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, e := range batches[0].Entries {
		fmt.Printf("%d %s %s\n", e.Offset, e.ID, e.Payload)
	}
	fmt.Println("next", batches[0].Next)
	// Output:
	// ambiguous: true
	// again at 2 <nil>
	// 1 r1 drain coach-1
	// 2 r1 drain coach-1
	// next 3
}
