package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/lib/membership"
)

func TestSameRun(t *testing.T) {
	const started = 1_700_000_000_000
	id := runID("a#b", started)
	for _, c := range []struct {
		m    membership.Member
		same bool
	}{
		{membership.Member{ID: "a#b", Incarnation: started}, true},
		{membership.Member{ID: "a#b", Incarnation: started + 2}, true}, // suspected and refuted
		{membership.Member{ID: "a#b", Incarnation: started + 300}, false},
		{membership.Member{ID: "a#b", Incarnation: started - 1}, false},
		{membership.Member{ID: "a", Incarnation: started}, false},
	} {
		assert.Equal(t, sameRun(id, c.m), c.same, "%v", c.m)
	}
	assert.Assert(t, !sameRun("a", membership.Member{ID: "a"}))
}
