// Package replay decodes the parts stored in a journal into the records of
// package batch, and replays a whole journal for read-only use.
package replay

import (
	"context"
	"errors"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/checkpoint"
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

// Open reports whether the last part belongs to a record that is not complete.
func (d *Decoder) Open() bool { return d.joiner.Open() }

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

// LoadCheckpoint returns the state of the newest checkpoint among the records of its
// topic. Errors: *checkpoint.MissingError, *checkpoint.DamagedError, *LevelError,
// *FormatError, *batchcodec.FormatError, *batch.ImageError.
func LoadCheckpoint(records []journal.KeyedRecord) (*Checkpoint, *batch.State, error) {
	_, data, err := checkpoint.Join(records)
	if err != nil {
		return nil, nil, err
	}
	c, err := DecodeCheckpoint(data)
	if err != nil {
		return nil, nil, err
	}
	state, err := batch.FromImage(c.Image)
	return c, state, err
}

// Read replays a journal up to its current end and passes every applied record
// to each. If its first records expired, it begins with the newest checkpoint. Without one,
// as in a deployment of an earlier build, it begins with the oldest record, and the state is
// incomplete. It returns the resulting state. Errors: those of the journal and of
// LoadCheckpoint, *journal.TrimmedError if records after the checkpoint expired.
func Read(ctx context.Context, j journal.Journal, stored journal.Keyed, each func(Entry)) (*batch.State, error) {
	state := batch.New()
	var decoder Decoder
	for from, loaded := journal.Offset(0), false; ; {
		page, err := j.Read(ctx, from, 0)
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) && !loaded {
			records, _, err := stored.Newest(ctx)
			if err != nil {
				return nil, err
			}
			loaded = true
			c, begin, err := LoadCheckpoint(records)
			var missing *checkpoint.MissingError
			switch {
			case errors.As(err, &missing):
				from = trimmed.Oldest
			case err != nil:
				return nil, err
			default:
				state, decoder, from = begin, Decoder{}, c.Next
			}
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
