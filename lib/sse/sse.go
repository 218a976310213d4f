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
	Data string // of all data fields, joined by line feeds
	Lead string // value of the leading field; empty: it has none
	// Raw are the bytes of the event, after those of comments and blank lines before it.
	Raw []byte
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
			return Event{Raw: b.raw}, err
		}
		b.raw = append(b.raw, raw...)
		line := bounded.TrimLineEnding(raw)
		if !r.begun {
			line = bytes.TrimPrefix(line, []byte("\ufeff"))
		}
		r.begun = true
		if len(line) > 0 {
			if err := b.add(string(line)); err != nil {
				return Event{}, err
			}
			continue
		}
		if e, ok, err := b.end(); ok || err != nil {
			return e, err
		}
	}
}

// block collects the lines up to a blank one.
type block struct {
	lead           string // name of the leading field
	raw            []byte
	fields         int
	hasID, hasLead bool
	id, leadValue  string
	data           []string
}

// add adds a line that isn't blank. Errors: *SyntaxError.
func (b *block) add(line string) error {
	if line[0] == ':' {
		return nil // a comment
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	b.fields++
	switch {
	case name == "data":
		b.data = append(b.data, value)
	case name == "id" && b.hasID:
		return syntaxError("second id", line)
	case name == "id":
		b.hasID, b.id = true, value
	case name == "event" || name == "retry":
	case b.lead != "" && name == b.lead && b.fields > 1:
		return syntaxError(name+" after the first field", line)
	case b.lead != "" && name == b.lead && value == "":
		return syntaxError(name+" without a value", line)
	case b.lead != "" && name == b.lead:
		b.hasLead, b.leadValue = true, value
	default:
		return syntaxError("unknown field", line)
	}
	return nil
}

// end ends the block at a blank line. It returns false if the block is no event, but may
// precede one. Errors: *SyntaxError.
func (b *block) end() (Event, bool, error) {
	switch {
	case len(b.data) > 0:
		return Event{ID: b.id, Data: strings.Join(b.data, "\n"), Lead: b.leadValue, Raw: b.raw}, true, nil
	case b.hasID || b.hasLead:
		return Event{}, false, syntaxError("event without data", "")
	}
	b.fields = 0
	return Event{}, false, nil
}

// maxQuoted is the number of bytes of a line that an error quotes.
const maxQuoted = 80

func syntaxError(reason, line string) *SyntaxError {
	return &SyntaxError{Reason: reason, Line: line[:min(len(line), maxQuoted)]}
}
