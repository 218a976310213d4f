package journal

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSplitJoinRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(t, "limit")
		var joiner Joiner
		for _, record := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 80)).Draw(t, "records") {
			parts := Split(record, limit)
			for i, p := range parts {
				assert.Assert(t, len(p) <= limit)
				got, err := joiner.Add(p)
				assert.NilError(t, err)
				if i < len(parts)-1 {
					assert.Assert(t, got == nil)
				} else {
					assert.Assert(t, bytes.Equal(got, record))
				}
			}
		}
	})
}

func TestJoinerRejectsPartsWithoutFirst(t *testing.T) {
	parts := Split([]byte("a longer record"), 5)
	var joiner Joiner
	for _, p := range parts[1:] {
		_, err := joiner.Add(p)
		var e *PartError
		assert.Assert(t, errors.As(err, &e))
	}
	got, err := joiner.Add(Split([]byte("b"), 5)[0])
	assert.NilError(t, err)
	assert.Equal(t, string(got), "b")
}
