// Package chunks reads the data that is stored outside the journal: texts and the
// bodies of items. One duty distributes the reads among others, each of which makes one
// at a time.
package chunks

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"strings"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/ring"
)

var chunksRead = expvar.NewInt("chunks_read")

// Config configures a Reader.
type Config struct {
	Readers     int           // maximum number of concurrent reads
	RingSize    int           // of the duty that distributes reads
	ReadTimeout time.Duration // of one read
}

// MissingError reports a chunk that is not in its partition.
type MissingError struct{ Chunk batch.ChunkRef }

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no chunk of %d bytes at offset %d in partition %d", e.Chunk.Bytes, e.Chunk.FirstOffset, e.Chunk.Partition)
}

// Reader is the handle of the duties.
type Reader struct {
	queue   *duty.Duty[any]
	readers *duty.Pool[*read]
	pending []*read
}

// query is one call of Read.
type query struct {
	ctx       context.Context
	remaining int
	err       error
	done      *ring.Slot[error]
}

// read is the read of one chunk of a query.
type read struct {
	query       *query
	chunk       batch.ChunkRef
	readerIndex int
	data        string
	err         error
}

// Start starts the duties, which read from the given partitions.
func Start(sys *duty.System, partitions []journal.Fetcher, cfg Config) *Reader {
	cr := &Reader{}
	h := &readHandler{partitions: partitions, timeout: cfg.ReadTimeout, postResult: func(ctx context.Context, r *read) { _ = cr.queue.PostWait(ctx, r) }} // fails only at Stop
	cr.readers = duty.NewPool(sys, duty.Config{Name: "chunk-reader"}, cfg.Readers, func() duty.Handler[*read] { return h })
	cr.queue = duty.Start(sys, duty.Config{Name: "chunks", RingSize: cfg.RingSize}, duty.Handler[any](cr))
	return cr
}

// Read returns, for each list, the text of its chunks joined by line feeds. Errors:
// *MissingError, those of journal.Fetcher, ctx.Err(), *duty.FullError.
func (r *Reader) Read(ctx context.Context, lists [][]batch.ChunkRef) ([]string, error) {
	q := &query{ctx: ctx, done: ring.NewSlot[error]()}
	var reads []*read
	for _, chunks := range lists {
		for _, c := range chunks {
			reads = append(reads, &read{query: q, chunk: c})
		}
	}
	if q.remaining = len(reads); q.remaining > 0 {
		if err := r.queue.Post(reads); err != nil {
			return nil, err
		}
		if err, waitErr := q.done.Wait(ctx); err != nil || waitErr != nil {
			return nil, cmp.Or(err, waitErr)
		}
	}
	out := make([]string, len(lists))
	for i, chunks := range lists {
		var data []string
		for range chunks {
			data = append(data, reads[0].data)
			reads = reads[1:]
		}
		out[i] = strings.Join(data, "\n")
	}
	return out, nil
}

// ReadChunk returns the data of one chunk. Errors: those of Read.
func (r *Reader) ReadChunk(ctx context.Context, c batch.ChunkRef) ([]byte, error) {
	texts, err := r.Read(ctx, [][]batch.ChunkRef{{c}})
	if err != nil {
		return nil, err
	}
	return []byte(texts[0]), nil
}

// Handle implements duty.Handler.
func (r *Reader) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case []*read:
		r.pending = append(r.pending, m...)
	case *read:
		r.readers.Release(m.readerIndex)
		r.finishRead(m)
	}
	r.startReads()
}

// finishRead counts a read; the last one, or the first that failed, ends its query.
func (r *Reader) finishRead(done *read) {
	q := done.query
	q.remaining--
	if q.err != nil {
		return // the query has already failed
	}
	if q.err = done.err; q.err != nil || q.remaining == 0 {
		q.done.Put(q.err)
	}
}

// startReads starts pending reads while a reader is idle.
func (r *Reader) startReads() {
	for len(r.pending) > 0 && r.readers.Idle() {
		next := r.pending[0]
		r.pending = r.pending[1:]
		if next.query.err != nil || next.query.ctx.Err() != nil {
			continue
		}
		next.readerIndex, _ = r.readers.Acquire()
		if err := r.readers.Post(next.readerIndex, next); err != nil {
			next.err = err
			r.readers.Release(next.readerIndex)
			r.finishRead(next)
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (r *Reader) Stop(ctx context.Context) error { return duty.StopPool(ctx, r.queue, r.readers) }

// readHandler is the handler of a duty that makes one read at a time.
type readHandler struct {
	partitions []journal.Fetcher
	timeout    time.Duration
	postResult func(context.Context, *read)
}

// Handle makes one read.
func (h *readHandler) Handle(ctx context.Context, r *read) {
	callCtx, cancel := context.WithTimeout(r.query.ctx, h.timeout)
	r.data, r.err = h.fetch(callCtx, r.chunk)
	cancel()
	chunksRead.Add(1)
	h.postResult(ctx, r)
}

// recordFramingBytes is an upper bound of the framing of a record in a fetch.
const recordFramingBytes = 8

func (h *readHandler) fetch(ctx context.Context, c batch.ChunkRef) (string, error) {
	if c.Partition < 0 || c.Partition >= len(h.partitions) {
		return "", &MissingError{Chunk: c}
	}
	var joiner journal.Joiner
	left := c.Bytes + c.Records*recordFramingBytes
	for read := 0; read < c.Records; {
		// A page may hold less than was asked for.
		page, err := h.partitions[c.Partition].Fetch(ctx, journal.Offset(c.FirstOffset)+journal.Offset(read), left)
		if err != nil {
			return "", err
		}
		parts := page.Records[:min(c.Records-read, len(page.Records))]
		if len(parts) == 0 {
			break
		}
		for _, part := range parts {
			data, err := joiner.Add(part)
			if err != nil {
				return "", err
			}
			if data != nil && len(data) == c.Bytes {
				return string(data), nil
			}
			left -= len(part)
		}
		read += len(parts)
	}
	return "", &MissingError{Chunk: c}
}
