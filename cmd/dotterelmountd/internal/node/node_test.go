package node

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// The dispatcher may receive the first configuration before the other components
// are started and must not start work then.
func TestDispatcherCallbacksDuringStart(t *testing.T) {
	n := &Node{}
	assert.Assert(t, !n.configCurrent())
	assert.Equal(t, n.loadedVersion("coach-1", "coach"), api.WeightVersion(0))
}
