// Package replay turns the parts in a journal into the records of package
// batch, and folds a whole journal for those who only look.
package replay

import (
	"context"
	"errors"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/journal"
)

// Topic is the journal's topic; all daemons share its one partition.
const Topic = "jobs"

// ChunkTopic has the chunks that records name, in partitions that daemons share.
const (
	ChunkTopic      = "chunks"
	ChunkPartitions = 8
)

// Decoder puts parts together and decodes them, in the order of the journal.
type Decoder struct{ joiner journal.Joiner }

// Add takes the part at an offset. It returns the record that it ends, with
// its offset in the fold, or nil. Errors: *journal.PartError,
// *batchcodec.FormatError; the part is then left out.
func (d *Decoder) Add(at journal.Offset, part []byte) (batch.Record, batch.Offset, error) {
	place := batch.Offset(at) + 1 // 0 means never
	data, err := d.joiner.Add(part)
	if err != nil || data == nil {
		return nil, place, err
	}
	r, err := batchcodec.Decode(data)
	return r, place, err
}

// Entry is a record with what it led to.
type Entry struct {
	Offset  batch.Offset
	Record  batch.Record
	Changed bool
}

// Read folds a journal up to its present end and passes each record to each.
// Errors: those of the journal.
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
				continue // daemons log what they can't decode
			}
			each(Entry{Offset: at, Record: r, Changed: state.Apply(at, r)})
		}
		from += journal.Offset(len(page.Records))
		if from >= page.End {
			return state, nil
		}
	}
}
