package journal

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadIgnoresIncompleteLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	missing, err := Read(path)
	assert.NilError(t, err)
	assert.Equal(t, len(missing), 0)
	for _, event := range []Event{EventStart, EventEnd} {
		f, err := Open(path) // a restarted process appends to the existing lines
		assert.NilError(t, err)
		f.Write(Line{Event: event, RequestID: "r"})
		assert.NilError(t, f.file.Close())
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	assert.NilError(t, err)
	_, err = f.WriteString(`{"event":"st`)
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
	lines, err := Read(path)
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[1].Event, EventEnd)
	assert.Assert(t, lines[0].AtMillis > 0)
}

func TestEmptyPathDiscardsLines(t *testing.T) {
	f, err := Open("")
	assert.NilError(t, err)
	f.Write(Line{})
}
