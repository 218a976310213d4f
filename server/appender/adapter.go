package appender

import (
	"time"

	"dotterelmount.example/lib/eventlog"
)

// Adapter adapts an Appender to the Appender interfaces of server/statereplica and
// server/sampler.
type Adapter struct{ *Appender }

// Append queues one record. Its parameters are the fields of Request; errors are
// those of Appender.Append.
func (a Adapter) Append(stream string, r eventlog.Record, deadline time.Time, done func(error)) error {
	return a.Appender.Append(Request{Stream: stream, Record: r, Deadline: deadline, Done: done})
}
