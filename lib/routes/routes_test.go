package routes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := NewTable(Config{Version: 3, Routes: []Route{
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "long"},
		{"a", "/x/z", "short"},
		{"b", "/x/y/z", "other"},
	} {
		r, ok := table.Match(c.host, c.path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, c.want)
	}
	for _, c := range []struct{ host, path string }{{"a", "/x"}, {"c", "/x/"}, {"a", "/"}} {
		_, ok := table.Match(c.host, c.path)
		assert.Assert(t, !ok, "%s%s", c.host, c.path)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{WeightedServices: []WeightedService{{"s1", 90}, {"s2", 10}, {"s3", 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.PickService(i)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"s1": 900, "s2": 100})
	assert.Equal(t, (&Route{}).PickService(7), "")
	assert.Assert(t, r.RoutesTo("s1"))
	assert.Assert(t, !r.RoutesTo("s3"))
}
