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

// Budget bounds the bytes that several readers buffer at the same time. Messages of up to a
// small part of it are read even when it is used up, so that a few long messages don't end
// all others. It is safe for concurrent use.
type Budget struct {
	limit int
	used  atomic.Int64
}

// exemptPart is the part of a budget that a single message may always use.
const exemptPart = 256

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// charge adds bytes of a message, which now has size bytes. Errors: *TooLongError.
func (b *Budget) charge(bytes, size int) error {
	if b.used.Add(int64(bytes)) > int64(b.limit) && size > b.limit/exemptPart {
		return &TooLongError{What: "all buffered responses", Bytes: b.limit}
	}
	return nil
}

func (b *Budget) release(bytes int) { b.used.Add(-int64(bytes)) }

// ReadSized reads a message of size bytes, which are charged before they are read. Errors:
// *TooLongError, io.ErrUnexpectedEOF, those of r.
func (b *Budget) ReadSized(r io.Reader, size, limit int, what string) ([]byte, error) {
	if size > limit {
		return nil, &TooLongError{What: what, Bytes: limit}
	}
	defer b.release(size)
	if err := b.charge(size, size); err != nil {
		return nil, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

// ReadAll is as the function ReadAll, and fails with *TooLongError also if all messages
// together exceed the budget.
func (b *Budget) ReadAll(r io.Reader, limit int, what string) ([]byte, error) {
	c := &charged{budget: b, reader: r}
	defer func() { b.release(c.bytes) }()
	return ReadAll(c, limit, what)
}

// charged charges the bytes that it reads to a budget.
type charged struct {
	budget *Budget
	reader io.Reader
	bytes  int
}

// Read implements io.Reader.
func (c *charged) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.bytes += n
	if err := c.budget.charge(n, c.bytes); err != nil {
		return n, err
	}
	return n, err
}

// LineReader reads the lines of messages, each of a bounded size.
type LineReader struct {
	reader *bufio.Reader
	budget *Budget
	what   string
	limit  int // bytes of a message
	size   int // bytes of the current message
}

// NewLineReader returns a reader of messages of at most limit bytes, which count towards the
// budget until the next message starts or the reader is closed.
func (b *Budget) NewLineReader(r io.Reader, limit int, what string) *LineReader {
	return &LineReader{reader: bufio.NewReader(r), budget: b, what: what, limit: limit}
}

// StartMessage starts a new message.
func (l *LineReader) StartMessage() {
	l.budget.release(l.size)
	l.size = 0
}

// Close releases what the last message uses of the budget.
func (l *LineReader) Close() { l.StartMessage() }

// Line returns the next line with its ending. Errors: io.EOF at the end between lines,
// io.ErrUnexpectedEOF within a line, *TooLongError, those of the reader.
func (l *LineReader) Line() ([]byte, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		l.size += len(part)
		if err := l.budget.charge(len(part), l.size); err != nil {
			return nil, err
		}
		if l.size > l.limit {
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
