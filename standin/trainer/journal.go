package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
)

// entry is one line of the journal. A pull number is written before the pull is
// sent. A cursor is written in one line with the samples received up to it, so that
// both become durable together.
type entry struct {
	PullNumber     uint64            `json:"pull,omitempty"`
	Cursor         api.Offset        `json:"cursor,omitempty"`
	UsedSamples    []usedSample      `json:"used,omitempty"`
	HighestVersion api.WeightVersion `json:"seen,omitempty"` // highest weight version known
	Stale          int               `json:"stale,omitempty"`
	Wrong          int               `json:"wrong,omitempty"`
	CompletedSteps []samples.StepID  `json:"whole,omitempty"`
	DroppedSamples []samples.SlotRef `json:"drops,omitempty"`
}

// usedSample is one sample received for training.
type usedSample struct {
	samples.SlotRef
	Versions []api.WeightVersion `json:"versions"`
}

// state is the state folded from the journal's entries.
type state struct {
	pullNumber     uint64
	cursor         api.Offset
	highestVersion api.WeightVersion
	useCounts      map[samples.SlotRef]int // how often each sample was used
	duplicated     int                     // samples
	stale          int                     // samples
	wrong          int                     // samples
	dropped        int                     // samples
}

func (s *state) apply(e *entry) {
	s.pullNumber = max(s.pullNumber, e.PullNumber)
	s.cursor = max(s.cursor, e.Cursor)
	s.highestVersion = max(s.highestVersion, e.HighestVersion)
	s.stale += e.Stale
	s.wrong += e.Wrong
	s.dropped += len(e.DroppedSamples)
	for _, u := range e.UsedSamples {
		s.useCounts[u.SlotRef]++
		if s.useCounts[u.SlotRef] > 1 {
			s.duplicated++
		}
	}
}

// journal is the trainer's durable state, a file of JSON lines.
type journal struct {
	file  *os.File
	state state
}

// openJournal reads the file, creating it if it is missing, and truncates an
// incomplete last line. Errors: CodeInvalid, CodeInternal.
func openJournal(path string) (*journal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "journal: %w", err)
	}
	j := &journal{file: file, state: state{useCounts: make(map[samples.SlotRef]int)}}
	raw, err := io.ReadAll(file)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	size := 0
	for {
		end := bytes.IndexByte(raw[size:], '\n')
		if end < 0 {
			break
		}
		var e entry
		if err := json.Unmarshal(raw[size:size+end], &e); err != nil {
			return nil, api.Errorf(api.CodeInvalid, "journal line at byte %d: %w", size, err)
		}
		j.state.apply(&e)
		size += end + 1
	}
	if err := file.Truncate(int64(size)); err != nil {
		return nil, api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	if _, err := file.Seek(int64(size), io.SeekStart); err != nil {
		return nil, api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	return j, nil
}

// write appends an entry, syncs the file and applies the entry to the state.
// Errors: CodeInternal.
func (j *journal) write(e *entry) error {
	raw, err := json.Marshal(e)
	if err != nil {
		return api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	if _, err := j.file.Write(append(raw, '\n')); err != nil {
		return api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	if err := j.file.Sync(); err != nil {
		return api.Errorf(api.CodeInternal, "journal: %w", err)
	}
	j.state.apply(e)
	return nil
}

func (j *journal) close() { _ = j.file.Close() }
