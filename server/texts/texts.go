// Package texts reads the pieces of data that are kept apart from the journal,
// texts and the bodies of items: one duty hands them out to others that each
// carry one read.
package texts

import (
	"context"
	"expvar"
	"strings"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/ring"
)

var piecesRead = expvar.NewInt("text_pieces_read")

// Config of Texts.
type Config struct {
	Readers  int           // reads at once
	RingSize int           // queries that wait for the duty
	Timeout  time.Duration // of one read
}

// MissingError reports a piece that no partition has.
type MissingError struct{ Chunk batch.Chunk }

// Error implements error.
func (e *MissingError) Error() string { return "a piece is not where the journal says" }

// Texts is the handle of the duties.
type Texts struct {
	cfg     Config
	parts   []journal.Pieces
	owner   *duty.Duty[any]
	readers *duty.Pool[*piece]
	waiting []*piece
}

// query is what one caller wants.
type query struct {
	ctx   context.Context
	left  int
	err   error
	reply *ring.Slot[error]
}

// piece is one read.
type piece struct {
	query  *query
	chunk  batch.Chunk
	reader int
	data   string
	err    error
}

// Start spawns the duties, which read from the given partitions.
func Start(sys *duty.System, parts []journal.Pieces, cfg Config) *Texts {
	t := &Texts{cfg: cfg, parts: parts}
	r := &reader{parts: parts, timeout: cfg.Timeout, report: func(ctx context.Context, p *piece) { _ = t.owner.PostWait(ctx, p) }} // fails at the stop only
	t.readers = duty.NewPool(sys, duty.Config{Name: "text-reader"}, cfg.Readers, func() duty.Handler[*piece] { return r })
	t.owner = duty.Start(sys, duty.Config{Name: "texts", RingSize: cfg.RingSize}, duty.Handler[any](t))
	return t
}

// Read returns the text of each list of pieces, joined by line feeds. Errors:
// *MissingError, those of journal.Pieces, ctx.Err(), *duty.FullError.
func (t *Texts) Read(ctx context.Context, lists [][]batch.Chunk) ([]string, error) {
	q := &query{ctx: ctx, reply: ring.NewSlot[error]()}
	var pieces []*piece
	for _, chunks := range lists {
		for _, c := range chunks {
			pieces = append(pieces, &piece{query: q, chunk: c})
		}
	}
	if q.left = len(pieces); q.left > 0 {
		if err := t.owner.Post(pieces); err != nil {
			return nil, err
		}
		if err, waiting := q.reply.Wait(ctx); err != nil || waiting != nil {
			return nil, firstOf(err, waiting)
		}
	}
	out := make([]string, len(lists))
	for i, chunks := range lists {
		var data []string
		for range chunks {
			data = append(data, pieces[0].data)
			pieces = pieces[1:]
		}
		out[i] = strings.Join(data, "\n")
	}
	return out, nil
}

// Piece returns one piece. Errors: as for Read.
func (t *Texts) Piece(ctx context.Context, c batch.Chunk) ([]byte, error) {
	got, err := t.Read(ctx, [][]batch.Chunk{{c}})
	if err != nil {
		return nil, err
	}
	return []byte(got[0]), nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Handle takes a query's pieces or the end of a read.
func (t *Texts) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case []*piece:
		t.waiting = append(t.waiting, m...)
	case *piece:
		t.readers.Give(m.reader)
		t.ended(m)
	}
	t.next()
}

// ended counts a read; the last one, or the first that failed, ends its query.
func (t *Texts) ended(p *piece) {
	q := p.query
	q.left--
	if q.err != nil {
		return // the caller was told
	}
	if q.err = p.err; q.err != nil || q.left == 0 {
		q.reply.Put(q.err)
	}
}

// next starts reads while a reader is idle.
func (t *Texts) next() {
	for len(t.waiting) > 0 && t.readers.Idle() {
		p := t.waiting[0]
		t.waiting = t.waiting[1:]
		if p.query.err != nil || p.query.ctx.Err() != nil {
			continue
		}
		p.reader, _ = t.readers.Take()
		if err := t.readers.Post(p.reader, p); err != nil {
			p.err = err
			t.readers.Give(p.reader)
			t.ended(p)
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (t *Texts) Stop(ctx context.Context) error { return duty.StopPool(ctx, t.owner, t.readers) }

// reader is the duty that carries one read at a time.
type reader struct {
	parts   []journal.Pieces
	timeout time.Duration
	report  func(context.Context, *piece)
}

// Handle reads one piece.
func (r *reader) Handle(ctx context.Context, p *piece) {
	call, cancel := context.WithTimeout(p.query.ctx, r.timeout)
	p.data, p.err = r.read(call, p.chunk)
	cancel()
	piecesRead.Add(1)
	r.report(ctx, p)
}

const partHead = 8 // bytes of framing for each record, with some to spare

func (r *reader) read(ctx context.Context, c batch.Chunk) (string, error) {
	if c.Part < 0 || c.Part >= len(r.parts) {
		return "", &MissingError{Chunk: c}
	}
	page, err := r.parts[c.Part].ReadSome(ctx, journal.Offset(c.First), c.Bytes+c.Count*partHead)
	if err != nil {
		return "", err
	}
	var joiner journal.Joiner
	for i := 0; i < min(c.Count, len(page.Records)); i++ {
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
