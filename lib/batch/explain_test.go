package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The explanation is what happens: in any state the first item of a new job goes where it says.
func TestItemGoesWhereItsPlacementIsExplained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		n := 0
		for records := rapid.IntRange(0, 60).Draw(t, "records"); n < records; n++ {
			s.Apply(Offset(n+1), drawRecord(t, n))
		}
		j := Job{ID: "new", Service: "s", Model: "m", MinVersion: api.WeightVersion(rapid.IntRange(0, 2).Draw(t, "version")), MaxAttempts: 1, Items: []Item{{ID: "fresh", Group: "fresh"}}}
		before := *s.Image()
		explained := s.ExplainPlacement(&j)
		assert.DeepEqual(t, *s.Image(), before)
		for _, c := range explained.Candidates {
			if c.ID == explained.Upstream {
				assert.Equal(t, c.Excluded, "")
			}
		}
		s.Apply(Offset(n+1), &JobAccepted{Job: j})
		assert.Equal(t, s.findItem("new", "fresh").upstream, explained.Upstream)
	})
}
