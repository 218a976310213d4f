// Package sse reads server-sent events from upstreams that may send other bytes in their
// place. Unlike a reader by the standard, which ignores what it doesn't know, it takes such
// bytes for the end of the stream.
package sse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"dotterelmount.example/lib/bounded"
)

// Event is an event with data.
type Event struct {
	ID   string // empty: it has none
	Lead string // value of the leading field; empty: it has none
	// Raw are the bytes of the event, after those of comments and blank lines before it.
	Raw []byte
}

// Data returns the values of all data fields, joined by line feeds.
func (e Event) Data() string {
	var data strings.Builder
	separator := ""
	for line := range bytes.Lines(bytes.TrimPrefix(e.Raw, byteOrderMark)) {
		if name, value := field(bounded.TrimLineEnding(line)); string(name) == "data" {
			data.WriteString(separator)
			data.Write(value)
			separator = "\n"
		}
	}
	return data.String()
}

var byteOrderMark = []byte("\ufeff")

// field splits a line into the name and the value of its field.
func field(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// SyntaxError reports bytes that are no part of an event.
type SyntaxError struct {
	Reason string
	Line   string // the line, or its beginning; empty for the end of an event
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Line == "" {
		return "no server-sent event: " + e.Reason
	}
	return fmt.Sprintf("no server-sent event: %s in line %q", e.Reason, e.Line)
}

// Reader reads the events of a stream.
type Reader struct {
	lines *bounded.LineReader
	lead  string
	begun bool // a line was read
	err   error
}

// NewReader returns a reader of events whose first field may be lead, besides those of the
// standard; empty: none. Each event counts as a message of lines, with the comments and blank
// lines before it.
func NewReader(lines *bounded.LineReader, lead string) *Reader {
	return &Reader{lines: lines, lead: lead}
}

// Next returns the next event. After an error it returns the same error again, as nothing
// that follows wrong bytes is known to belong to the stream. With io.EOF, the event has
// the bytes that followed the last one.
// Errors: io.EOF at the end between events, io.ErrUnexpectedEOF within an event,
// *SyntaxError, those of the lines.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	var e Event
	e, r.err = r.read()
	return e, r.err
}

func (r *Reader) read() (Event, error) {
	r.lines.StartMessage()
	b := block{lead: r.lead}
	for {
		raw, err := r.lines.Line()
		if errors.Is(err, io.EOF) && (b.fields > 0 || err != io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{Raw: b.event.Raw}, err
		}
		b.event.Raw = append(b.event.Raw, raw...)
		line := bounded.TrimLineEnding(raw)
		if !r.begun {
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		r.begun = true
		if len(line) > 0 {
			if err := b.add(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if ok, err := b.end(); ok || err != nil {
			return b.event, err
		}
	}
}

// block is what was read up to a blank line, and of the blocks without data before it.
type block struct {
	lead                    string // name of the leading field
	event                   Event
	fields                  int
	hasID, hasLead, hasData bool
}

// add adds a line that isn't blank. Errors: *SyntaxError.
func (b *block) add(line []byte) error {
	name, value := field(line)
	if len(name) == 0 {
		return nil // a comment
	}
	b.fields++
	switch string(name) {
	case "data":
		b.hasData = true
	case "id":
		if b.hasID {
			return syntaxError("second id", line)
		}
		b.hasID, b.event.ID = true, string(value)
	case "event", "retry":
	case b.lead:
		if b.fields > 1 {
			return syntaxError(b.lead+" after the first field", line)
		}
		if len(value) == 0 {
			return syntaxError(b.lead+" without a value", line)
		}
		b.hasLead, b.event.Lead = true, string(value)
	default:
		return syntaxError("unknown field", line)
	}
	return nil
}

// end ends the block at a blank line. It returns false if the block is no event, but may
// precede one. Errors: *SyntaxError.
func (b *block) end() (bool, error) {
	if !b.hasData && (b.hasID || b.hasLead) {
		return false, syntaxError("event without data", nil)
	}
	b.fields = 0
	return b.hasData, nil
}

// maxQuoted is the number of bytes of a line that an error quotes.
const maxQuoted = 80

func syntaxError(reason string, line []byte) *SyntaxError {
	return &SyntaxError{Reason: reason, Line: string(line[:min(len(line), maxQuoted)])}
}
