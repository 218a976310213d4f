// Package replay decodes the parts stored in a journal into the records of
// package batch, and replays a whole journal for read-only use.
package replay

import (
	"context"
	"errors"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/journal"
)

// Topic is the topic of the job journal. It has one partition, which all
// daemons share.
const Topic = "jobs"

// ChunkTopic is the topic of the chunks that records refer to. It has
// ChunkPartitions partitions, which all daemons share.
const (
	ChunkTopic      = "chunks"
	ChunkPartitions = 8
)

// Decoder joins the parts of records and decodes them, in journal order. The
// zero value is ready to use.
type Decoder struct{ joiner journal.Joiner }

// Add takes the part at an offset. It returns the record that the part
// completes, or nil, and the offset for State.Apply. Errors:
// *journal.PartError, *batchcodec.FormatError; the part is then skipped.
func (d *Decoder) Add(at journal.Offset, part []byte) (batch.Record, batch.Offset, error) {
	offset := batch.Offset(at) + 1 // offset 0 is reserved for "no lease"
	data, err := d.joiner.Add(part)
	if err != nil || data == nil {
		return nil, offset, err
	}
	r, err := batchcodec.Decode(data)
	return r, offset, err
}

// Entry is an applied record.
type Entry struct {
	Offset  batch.Offset
	Record  batch.Record
	Changed bool // the record changed the state
}

// Read replays a journal up to its current end and passes every applied record
// to each. It returns the resulting state. Errors: those of the journal.
func Read(ctx context.Context, j journal.Journal, each func(Entry)) (*batch.State, error) {
	state := batch.New()
	var decoder Decoder
	for from := journal.Offset(0); ; {
		page, err := j.Read(ctx, from, 0)
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.Oldest
			continue
		}
		if err != nil {
			return nil, err
		}
		for i, part := range page.Records {
			r, at, err := decoder.Add(from+journal.Offset(i), part)
			if err != nil || r == nil {
				continue // daemons log records that they can't decode
			}
			each(Entry{Offset: at, Record: r, Changed: state.Apply(at, r)})
		}
		from += journal.Offset(len(page.Records))
		if from >= page.End {
			return state, nil
		}
	}
}
