// Package journal keeps the journal of a stand-in in a file of JSON lines that
// outlives the process: each line is written with one system call before the
// work that it tells of is done.
package journal

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// Event is what a line tells of.
type Event string

// The events of a request at a stand-in.
const (
	EventStart  Event = "start"  // arrived, nothing done yet
	EventTokens Event = "tokens" // a version makes the tokens from From on
	EventEnd    Event = "end"
)

// The Ended of requests that did not run to their end.
const (
	EndRefused   = "refused"   // not run at all
	EndCut       = "cut"       // the connection was closed midway
	EndTruncated = "truncated" // the answer stopped midway, without its end marker
)

// Line is one line of a journal.
type Line struct {
	AtMillis   int64  `json:"at_millis"` // Unix time
	Event      Event  `json:"event"`
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256,omitempty"` // of a plain call
	Version    uint64 `json:"version,omitempty"`     // of EventTokens
	From       int    `json:"from,omitempty"`        // of EventTokens: number of the first token
	Ended      string `json:"ended,omitempty"`       // of EventEnd
}

// File writes a journal. A nil file writes nothing.
type File struct{ file *os.File }

// Open opens a journal for appending; an empty path gives a nil file. Errors:
// those of os.OpenFile.
func Open(path string) (*File, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &File{file: f}, nil
}

// Write adds a line and sets its time. A line that can't be written ends the
// process: a journal with gaps would prove nothing.
func (f *File) Write(l Line) {
	if f == nil {
		return
	}
	l.AtMillis = time.Now().UnixMilli()
	data, err := json.Marshal(l)
	if err == nil {
		_, err = f.file.Write(append(data, '\n'))
	}
	if err != nil {
		panic(fmt.Errorf("journal: %w", err))
	}
}

// maxLineBytes bounds one line, in bytes.
const maxLineBytes = 1 << 20

// Read returns the lines of a journal, oldest first; a missing file is empty,
// and a last line without its end is left out. Errors: those of reading.
func Read(path string) ([]Line, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer func() { _ = f.Close() }()
	var lines []Line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			break // the process was killed while it wrote
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	return lines, nil
}
