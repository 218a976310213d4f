package chunks

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"gotest.tools/v3/assert"
)

// shelf is a partition of chunks.
type shelf struct {
	records [][]byte
	fail    error
	reads   atomic.Int64
}

func (s *shelf) Fetch(_ context.Context, from journal.Offset, bytes int) (journal.Page, error) {
	s.reads.Add(1)
	if s.fail != nil {
		return journal.Page{}, s.fail
	}
	page := journal.Page{End: journal.Offset(len(s.records))}
	for size := 0; int(from) < len(s.records) && (size == 0 || size+len(s.records[from]) <= bytes); from++ {
		size += len(s.records[from])
		page.Records = append(page.Records, s.records[from])
	}
	return page, nil
}

// put returns the chunk of a text that is split at limit bytes.
func (s *shelf) put(part int, data string, limit int) batch.ChunkRef {
	c := batch.ChunkRef{Partition: part, FirstOffset: uint64(len(s.records)), Bytes: len(data)}
	parts := journal.Split([]byte(data), limit)
	c.Records = len(parts)
	s.records = append(s.records, parts...)
	return c
}

func start(t *testing.T, shelves ...*shelf) *Reader {
	t.Helper()
	var parts []journal.Fetcher
	for _, s := range shelves {
		parts = append(parts, s)
	}
	r := Start(duty.NewSystem(nil), parts, Config{Readers: 3, RingSize: 8, ReadTimeout: time.Second})
	t.Cleanup(func() { assert.NilError(t, r.Stop(context.Background())) })
	return r
}

func TestChunksArePutTogetherInOrder(t *testing.T) {
	a, b := &shelf{}, &shelf{}
	r := start(t, a, b)
	var lists [][]batch.ChunkRef
	lists = append(lists, []batch.ChunkRef{a.put(0, "one\ntwo", 100), b.put(1, "three", 100), a.put(0, "", 100)})
	lists = append(lists, nil, []batch.ChunkRef{b.put(1, "a long text in parts", 4)})
	got, err := r.Read(t.Context(), lists)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []string{"one\ntwo\nthree\n", "", "a long text in parts"})
	none, err := r.Read(t.Context(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
}

func TestAChunkThatIsNotThereIsAnError(t *testing.T) {
	a := &shelf{}
	r := start(t, a)
	c := a.put(0, "text", 100)
	for name, bad := range map[string]batch.ChunkRef{
		"partition": {Partition: 1, FirstOffset: c.FirstOffset, Records: 1, Bytes: 4},
		"offset":    {FirstOffset: 7, Records: 1, Bytes: 4},
		"length":    {FirstOffset: c.FirstOffset, Records: 1, Bytes: 5},
	} {
		_, err := r.ReadChunk(t.Context(), bad)
		var missing *MissingError
		assert.Assert(t, errors.As(err, &missing), name)
	}
}

func TestTheFirstFailureEndsAQuery(t *testing.T) {
	a := &shelf{}
	c := a.put(0, "text", 100)
	a.fail = &journal.RefusedError{Op: "read", Cause: &MissingError{}}
	r := start(t, a)
	var chunks []batch.ChunkRef
	for range 100 {
		chunks = append(chunks, c)
	}
	_, err := r.Read(t.Context(), [][]batch.ChunkRef{chunks})
	var refused *journal.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, a.reads.Load() < 100, "%d reads", a.reads.Load())
}
