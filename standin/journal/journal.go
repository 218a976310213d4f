// Package journal writes and reads the journal of a stand-in, a file of JSON lines
// that survives a crash of the process: each line is written with one system call,
// before the work that it records is done.
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

// Event is the kind of event that a line records.
type Event string

// The events of a request at a stand-in.
const (
	EventStart  Event = "start"  // the request arrived; nothing is done yet
	EventTokens Event = "tokens" // Version generates the tokens from From on
	EventEnd    Event = "end"    // the request ended
)

// Values of Ended for requests that were not completed.
const (
	EndRefused   = "refused"   // not run
	EndCut       = "cut"       // the connection was closed midway
	EndTruncated = "truncated" // the response ended midway, without the end marker
)

// Line is one line of a journal.
type Line struct {
	AtMillis   int64  `json:"at_millis"` // Unix time in milliseconds
	Event      Event  `json:"event"`
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256,omitempty"` // plain services only
	Version    uint64 `json:"version,omitempty"`     // EventTokens only: weight version
	From       int    `json:"from,omitempty"`        // EventTokens only: number of the first token
	Ended      string `json:"ended,omitempty"`       // EventEnd of engines only: how the request ended
}

// File writes a journal. A nil *File discards all lines.
type File struct{ file *os.File }

// Open opens a journal for appending and creates it if it is missing; for an empty
// path it returns nil. Errors: those of os.OpenFile.
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

// Write appends a line and sets its time. It panics if the write fails, because
// checks on a journal with missing lines would prove nothing.
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

// maxLineBytes is the maximum length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Read returns the lines of a journal, oldest first, up to the first malformed one.
// It returns none if the file is missing. Errors: those of opening and reading.
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
			break // incomplete: the process was killed during the write
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	return lines, nil
}
