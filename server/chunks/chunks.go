// Package chunks reads what is kept apart from the journal, texts and the bodies
// of items: one duty hands reads out to others that carry one each.
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

// Config of Chunks.
type Config struct {
	Readers     int           // reads at once
	RingSize    int           // queries that wait for the duty
	ReadTimeout time.Duration // of one read
}

// MissingError reports a chunk that its partition does not have.
type MissingError struct{ Chunk batch.ChunkRef }

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no chunk of %d bytes at %d in partition %d", e.Chunk.Bytes, e.Chunk.FirstOffset, e.Chunk.Partition)
}

// Reader is the handle of the duties.
type Reader struct {
	queue   *duty.Duty[any]
	readers *duty.Pool[*read]
	waiting []*read
}

// query is what one caller wants.
type query struct {
	ctx       context.Context
	remaining int
	err       error
	reply     *ring.Slot[error]
}

// read is the read of one chunk for a query.
type read struct {
	query  *query
	chunk  batch.ChunkRef
	reader int
	data   string
	err    error
}

// Start spawns the duties, which read from the given partitions.
func Start(sys *duty.System, parts []journal.Fetcher, cfg Config) *Reader {
	k := &Reader{}
	h := &readHandler{parts: parts, timeout: cfg.ReadTimeout, report: func(ctx context.Context, r *read) { _ = k.queue.PostWait(ctx, r) }} // fails at the stop only
	k.readers = duty.NewPool(sys, duty.Config{Name: "chunk-reader"}, cfg.Readers, func() duty.Handler[*read] { return h })
	k.queue = duty.Start(sys, duty.Config{Name: "chunks", RingSize: cfg.RingSize}, duty.Handler[any](k))
	return k
}

// Read returns the text of each list of chunks, joined by line feeds. Errors:
// *MissingError, those of journal.Fetcher, ctx.Err(), *duty.FullError.
func (k *Reader) Read(ctx context.Context, lists [][]batch.ChunkRef) ([]string, error) {
	q := &query{ctx: ctx, reply: ring.NewSlot[error]()}
	var reads []*read
	for _, chunks := range lists {
		for _, c := range chunks {
			reads = append(reads, &read{query: q, chunk: c})
		}
	}
	if q.remaining = len(reads); q.remaining > 0 {
		if err := k.queue.Post(reads); err != nil {
			return nil, err
		}
		if err, waiting := q.reply.Wait(ctx); err != nil || waiting != nil {
			return nil, cmp.Or(err, waiting)
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

// ReadChunk returns one chunk. Errors: as for Read.
func (k *Reader) ReadChunk(ctx context.Context, c batch.ChunkRef) ([]byte, error) {
	got, err := k.Read(ctx, [][]batch.ChunkRef{{c}})
	if err != nil {
		return nil, err
	}
	return []byte(got[0]), nil
}

// Handle takes a query's reads or the end of one.
func (k *Reader) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case []*read:
		k.waiting = append(k.waiting, m...)
	case *read:
		k.readers.Release(m.reader)
		k.finishRead(m)
	}
	k.startReads()
}

// finishRead counts a read; the last one, or the first that failed, ends its query.
func (k *Reader) finishRead(r *read) {
	q := r.query
	q.remaining--
	if q.err != nil {
		return // the caller was told
	}
	if q.err = r.err; q.err != nil || q.remaining == 0 {
		q.reply.Put(q.err)
	}
}

// startReads starts reads while a reader is idle.
func (k *Reader) startReads() {
	for len(k.waiting) > 0 && k.readers.Idle() {
		r := k.waiting[0]
		k.waiting = k.waiting[1:]
		if r.query.err != nil || r.query.ctx.Err() != nil {
			continue
		}
		r.reader, _ = k.readers.Acquire()
		if err := k.readers.Post(r.reader, r); err != nil {
			r.err = err
			k.readers.Release(r.reader)
			k.finishRead(r)
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (k *Reader) Stop(ctx context.Context) error { return duty.StopPool(ctx, k.queue, k.readers) }

// readHandler is the duty that carries one read at a time.
type readHandler struct {
	parts   []journal.Fetcher
	timeout time.Duration
	report  func(context.Context, *read)
}

// Handle carries one read.
func (h *readHandler) Handle(ctx context.Context, r *read) {
	call, cancel := context.WithTimeout(r.query.ctx, h.timeout)
	r.data, r.err = h.fetch(call, r.chunk)
	cancel()
	chunksRead.Add(1)
	h.report(ctx, r)
}

const recordFramingBytes = 8 // bytes of framing for each record, with some to spare

func (h *readHandler) fetch(ctx context.Context, c batch.ChunkRef) (string, error) {
	if c.Partition < 0 || c.Partition >= len(h.parts) {
		return "", &MissingError{Chunk: c}
	}
	page, err := h.parts[c.Partition].Fetch(ctx, journal.Offset(c.FirstOffset), c.Bytes+c.Records*recordFramingBytes)
	if err != nil {
		return "", err
	}
	var joiner journal.Joiner
	for i := 0; i < min(c.Records, len(page.Records)); i++ {
		data, err := joiner.Add(page.Records[i])
		if err != nil {
			return "", err
		}
		if data != nil && len(data) == c.Bytes {
			return string(data), nil
		}
	}
	return "", &MissingError{Chunk: c}
}
