package routing_test

import (
	"fmt"
	"slices"
	"testing"

	"dotterelmount.example/lib/routing"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRankMatchesRendezvousOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids []string
		for i := range rapid.IntRange(1, 12).Draw(t, "ids") {
			ids = append(ids, fmt.Sprint("d", i))
		}
		key := rapid.Uint64().Draw(t, "key")
		id := rapid.SampledFrom(ids).Draw(t, "id")
		assert.Equal(t, routing.Rank(key, ids, id), slices.Index(routing.Rendezvous(key, ids), id))
	})
}
