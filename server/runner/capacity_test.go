package runner

import (
	"testing"

	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

// Guards against a host that takes more runs than its memory or its descriptors bear, or none of
// an item that is larger than its share.
func TestRunsStayWithinTheHost(t *testing.T) {
	item := func(body int) int64 { return cost(&batch.Run{Item: &batch.Item{Body: batch.ChunkRef{Bytes: body}}}) }
	for name, c := range map[string]struct {
		capacity Capacity
		body     int
		want     int
	}{
		"memory":          {Capacity{Runs: 100, Bytes: 10 * RunBytes}, 0, 10},
		"large bodies":    {Capacity{Runs: 100, Bytes: 10 * RunBytes}, RunBytes, 5},
		"descriptors":     {Capacity{Runs: 7, Bytes: 10 * RunBytes}, 0, 7},
		"one larger item": {Capacity{Runs: 100, Bytes: 10 * RunBytes}, 100 * RunBytes, 1},
		"nothing":         {Capacity{}, 0, 1},
	} {
		l := &load{capacity: c.capacity}
		for l.fits(item(c.body)) {
			l.add(item(c.body))
		}
		assert.Equal(t, l.runs, c.want, name)
		l.remove(item(c.body))
		assert.Assert(t, l.fits(item(c.body)), name)
	}
}
