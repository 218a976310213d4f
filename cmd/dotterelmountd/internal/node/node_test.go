package node

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// The dispatcher may get the first configuration before the other parts are
// there: it must not start work then.
func TestDispatcherMayAskDuringTheStart(t *testing.T) {
	n := &Node{}
	assert.Assert(t, !n.configCurrent())
	assert.Equal(t, n.loadedVersion("coach-1", "coach"), api.WeightVersion(0))
}
