// Package bounded reads from peers that may send bytes without end.
package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// TooLongError reports that a peer sent more bytes than allowed.
type TooLongError struct {
	What  string
	Bytes int // the limit
}

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Bytes) }

// ReadAll reads r to its end. Errors: *TooLongError for more than limit bytes, those of
// r.
func ReadAll(r io.Reader, limit int, what string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, &TooLongError{What: what, Bytes: limit}
	}
	return data, nil
}

// Budget bounds the bytes that several readers buffer at the same time. It is safe for
// concurrent use.
type Budget struct {
	limit int
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// ReadAll is as the function ReadAll, and fails with *TooLongError also if all calls
// together buffer more than the budget.
func (b *Budget) ReadAll(r io.Reader, limit int, what string) ([]byte, error) {
	c := &charged{budget: b, reader: r}
	defer func() { b.used.Add(-c.bytes) }()
	return ReadAll(c, limit, what)
}

// charged charges the bytes that it reads to a budget.
type charged struct {
	budget *Budget
	reader io.Reader
	bytes  int64
}

// Read implements io.Reader.
func (c *charged) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.bytes += int64(n)
	if c.budget.used.Add(int64(n)) > int64(c.budget.limit) {
		return n, &TooLongError{What: "all buffered responses", Bytes: c.budget.limit}
	}
	return n, err
}

// LineReader reads the lines of messages, each of a bounded size.
type LineReader struct {
	reader *bufio.Reader
	what   string
	limit  int // bytes of a message
	left   int // bytes of the current message
}

// NewLineReader returns a reader of messages of at most limit bytes.
func NewLineReader(r io.Reader, limit int, what string) *LineReader {
	return &LineReader{reader: bufio.NewReader(r), what: what, limit: limit, left: limit}
}

// StartMessage starts a new message.
func (l *LineReader) StartMessage() { l.left = l.limit }

// Line returns the next line with its ending. Errors: io.EOF at the end between lines,
// io.ErrUnexpectedEOF within a line, *TooLongError, those of the reader.
func (l *LineReader) Line() ([]byte, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		if l.left -= len(part); l.left < 0 {
			return nil, &TooLongError{What: l.what, Bytes: l.limit}
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// TrimLineEnding returns a line without its ending.
func TrimLineEnding(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
