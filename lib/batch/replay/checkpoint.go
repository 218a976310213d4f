package replay

import (
	"bytes"
	"compress/gzip"
	"fmt"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/bounded"
	"dotterelmount.example/lib/journal"
	"github.com/vmihailenco/msgpack/v5"
)

// CheckpointTopic is the keyed topic of the checkpoints.
const CheckpointTopic = "checkpoint"

// maxCheckpointBytes bounds a checkpoint before its compression.
const maxCheckpointBytes = 64 << 20

// Checkpoint is what a daemon knows after the records of the journal before an offset.
type Checkpoint struct {
	Next  journal.Offset // offset of the first record that isn't included
	Image *batch.Image
	// Recent are records that don't change states but count for a time, oldest first.
	Recent []batch.Record
}

// LevelError is returned for a checkpoint of a later build.
type LevelError struct{ Level byte }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("checkpoint of level %d; this build reads level %d", e.Level, batch.ImageLevel)
}

// FormatError is returned for data that is not a checkpoint.
type FormatError struct{ Cause error }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("checkpoint: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// stored is the encoding of a Checkpoint after its level.
type stored struct {
	Next   uint64       `msgpack:"n"`
	Image  *batch.Image `msgpack:"i"`
	Recent [][]byte     `msgpack:"r"`
}

// Encode returns the encoding of a checkpoint: a byte for its level, followed by compressed
// MessagePack. Errors: *FormatError, *batchcodec.FormatError.
func (c *Checkpoint) Encode() ([]byte, error) {
	s := stored{Next: uint64(c.Next), Image: c.Image}
	for _, r := range c.Recent {
		data, err := batchcodec.Encode(r)
		if err != nil {
			return nil, err
		}
		s.Recent = append(s.Recent, data)
	}
	out := bytes.NewBuffer([]byte{batch.ImageLevel})
	z, err := gzip.NewWriterLevel(out, gzip.BestSpeed)
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	if err := msgpack.NewEncoder(z).Encode(&s); err != nil {
		return nil, &FormatError{Cause: err}
	}
	if err := z.Close(); err != nil {
		return nil, &FormatError{Cause: err}
	}
	return out.Bytes(), nil
}

// DecodeCheckpoint is the inverse of Checkpoint.Encode. Errors: *LevelError, *FormatError,
// *batchcodec.FormatError.
func DecodeCheckpoint(data []byte) (*Checkpoint, error) {
	if len(data) == 0 {
		return nil, &FormatError{Cause: &LevelError{}}
	}
	if data[0] != batch.ImageLevel {
		return nil, &LevelError{Level: data[0]}
	}
	z, err := gzip.NewReader(bytes.NewReader(data[1:]))
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	plain, err := bounded.ReadAll(z, maxCheckpointBytes, "checkpoint")
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	var s stored
	if err := batchcodec.Unmarshal(plain, &s); err != nil {
		return nil, &FormatError{Cause: err}
	}
	if s.Image == nil {
		return nil, &FormatError{Cause: &batch.ImageError{Reason: "missing"}}
	}
	c := &Checkpoint{Next: journal.Offset(s.Next), Image: s.Image}
	for _, r := range s.Recent {
		record, err := batchcodec.Decode(r)
		if err != nil {
			return nil, err
		}
		c.Recent = append(c.Recent, record)
	}
	return c, nil
}
