package intake

import (
	"bytes"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// The estimate itself needs little memory, whatever the document.
func TestCostOfDeeplyNestedDocument(t *testing.T) {
	doc := bytes.Repeat([]byte("["), 8*mb)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cost := JSONCost(doc)
	runtime.ReadMemStats(&after)
	assert.Assert(t, cost >= 8*mb)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < mb, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}
