package appender

import (
	"time"

	"dotterelmount.example/lib/eventlog"
)

// Adapter gives an Appender the shape that the log book and the sampler ask for.
type Adapter struct{ *Appender }

// Append queues one record; see Request for its parts and Appender.Append for
// the errors.
func (a Adapter) Append(stream string, r eventlog.Record, deadline time.Time, done func(error)) error {
	return a.Appender.Append(Request{Stream: stream, Record: r, Deadline: deadline, Done: done})
}
