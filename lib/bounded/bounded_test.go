package bounded

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// endless yields the same byte without end and counts the bytes read.
type endless struct {
	b    byte
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.b
	}
	e.read += len(p)
	return len(p), nil
}

func isTooLong(err error) bool {
	var e *TooLongError
	return errors.As(err, &e)
}

func TestReadAllStopsAtItsLimit(t *testing.T) {
	data, err := ReadAll(strings.NewReader("abc"), 3, "body")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "abc")
	e := &endless{}
	_, err = ReadAll(e, 1000, "body")
	assert.Assert(t, isTooLong(err))
	assert.Assert(t, e.read <= 2000, "%d bytes read", e.read)
	_, err = ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 3, "body")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestBudgetBoundsAllReadersTogether(t *testing.T) {
	b := NewBudget(1000)
	inner := func(p []byte) (int, error) {
		_, err := b.ReadAll(strings.NewReader(strings.Repeat("x", 600)), 800, "body")
		assert.Assert(t, isTooLong(err), "600 bytes are buffered already")
		return 0, io.EOF
	}
	_, err := b.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("x", 600)), readerFunc(inner)), 800, "body")
	assert.NilError(t, err)
	_, err = b.ReadAll(strings.NewReader(strings.Repeat("x", 700)), 800, "body")
	assert.NilError(t, err, "the budget is free again")
}

func TestReadSizedChargesBeforeItReads(t *testing.T) {
	b := NewBudget(1000)
	data, err := b.ReadSized(strings.NewReader("abcd"), 3, 800, "body")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "abc")
	_, err = b.ReadSized(strings.NewReader("ab"), 3, 800, "body")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	e := &endless{}
	for _, size := range []int{801, 1001} {
		_, err = b.ReadSized(e, size, size-1, "body")
		assert.Assert(t, isTooLong(err))
	}
	_, err = b.ReadSized(e, 1001, 2000, "body")
	assert.Assert(t, isTooLong(err), "over the budget")
	assert.Equal(t, e.read, 0)
	_, err = b.ReadSized(e, 1000, 2000, "body")
	assert.NilError(t, err, "the budget is free again")
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func TestLinesOfAMessageAreBounded(t *testing.T) {
	l := NewBudget(1<<20).NewLineReader(strings.NewReader("ab\r\nc\n\nlast"), 8, "event")
	for _, want := range []string{"ab", "c", ""} {
		line, err := l.Line()
		assert.NilError(t, err)
		assert.Equal(t, string(TrimLineEnding(line)), want)
	}
	l.StartMessage()
	_, err := l.Line()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = l.Line()
	assert.ErrorIs(t, err, io.EOF)
	for _, b := range []byte{'x', '\n'} {
		e := &endless{b: b}
		l := NewBudget(1<<20).NewLineReader(e, 10_000, "event")
		var err error
		for err == nil {
			_, err = l.Line()
		}
		assert.Assert(t, isTooLong(err))
		assert.Assert(t, e.read <= 20_000, "%d bytes read", e.read)
	}
}

// A message that uses up the budget fails; short ones beside it don't.
func TestBudgetCountsUnfinishedMessages(t *testing.T) {
	b := NewBudget(10_000)
	first := b.NewLineReader(strings.NewReader(strings.Repeat("x", 9_000)+"\n"), 20_000, "event")
	_, err := first.Line()
	assert.NilError(t, err)
	_, err = b.NewLineReader(strings.NewReader(strings.Repeat("x", 2_000)+"\n"), 20_000, "event").Line()
	assert.Assert(t, isTooLong(err))
	_, err = b.NewLineReader(strings.NewReader("data: x\n"), 20_000, "event").Line()
	assert.NilError(t, err)
	first.Close()
	_, err = b.NewLineReader(strings.NewReader(strings.Repeat("x", 2_000)+"\n"), 20_000, "event").Line()
	assert.NilError(t, err)
}
