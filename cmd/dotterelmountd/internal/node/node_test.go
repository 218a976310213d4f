package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNoWorkStartsBeforeAllPartsAre(t *testing.T) {
	n := &Node{}
	assert.Assert(t, !n.current())
}
