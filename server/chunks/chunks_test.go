package chunks

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"gotest.tools/v3/assert"
)

// fakePartition is an in-memory partition of chunks.
type fakePartition struct {
	records [][]byte
	maxPage int // bytes of a page; 0: no limit
	err     error
	reads   atomic.Int64
}

func (s *fakePartition) Fetch(_ context.Context, from journal.Offset, bytes int) (journal.Page, error) {
	s.reads.Add(1)
	if s.err != nil {
		return journal.Page{}, s.err
	}
	if s.maxPage > 0 {
		bytes = min(bytes, s.maxPage)
	}
	page := journal.Page{End: journal.Offset(len(s.records))}
	for size := 0; int(from) < len(s.records) && (size == 0 || size+len(s.records[from]) <= bytes); from++ {
		size += len(s.records[from])
		page.Records = append(page.Records, s.records[from])
	}
	return page, nil
}

// put stores a text, split into records of at most limit bytes, and returns its
// reference.
func (s *fakePartition) put(partition int, data string, limit int) batch.ChunkRef {
	c := batch.ChunkRef{Partition: partition, FirstOffset: uint64(len(s.records)), Bytes: len(data)}
	parts := journal.Split([]byte(data), limit)
	c.Records = len(parts)
	s.records = append(s.records, parts...)
	return c
}

func start(t *testing.T, fakes ...*fakePartition) *Reader {
	t.Helper()
	var partitions []journal.Fetcher
	for _, s := range fakes {
		partitions = append(partitions, s)
	}
	r := Start(duty.NewSystem(nil), partitions, Config{Readers: 3, RingSize: 8, ReadTimeout: time.Second})
	t.Cleanup(func() { assert.NilError(t, r.Stop(context.Background())) })
	return r
}

func TestReadJoinsChunksInOrder(t *testing.T) {
	a, b := &fakePartition{}, &fakePartition{}
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

// Guards against items that are accepted and never run because their body is larger than a
// page of the journal.
func TestChunkLargerThanAPageIsRead(t *testing.T) {
	const page, part = 1000, 256
	a := &fakePartition{maxPage: page}
	r := start(t, a)
	a.put(0, "before", part)
	for _, size := range []int{page - 1, page, page + 1, 2 * page, 5*page + 7} {
		text := strings.Repeat("x", size-1) + "y"
		c := a.put(0, text, part)
		a.put(0, "after", part)
		got, err := r.ReadChunk(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
	}
	var missing *MissingError
	_, err := r.ReadChunk(t.Context(), batch.ChunkRef{FirstOffset: uint64(len(a.records)) - 1, Records: 3, Bytes: 700})
	assert.Assert(t, errors.As(err, &missing), "%v", err)
}

func TestReadOfMissingChunkFails(t *testing.T) {
	a := &fakePartition{}
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

func TestFirstFailureEndsQuery(t *testing.T) {
	a := &fakePartition{}
	c := a.put(0, "text", 100)
	a.err = &journal.RefusedError{Op: "read", Cause: &MissingError{}}
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
