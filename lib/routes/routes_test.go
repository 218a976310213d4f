package routes

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

// The route of a request is the one with the longest prefix, whatever the prefixes are.
func TestMatchAgreesWithSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	path := func() string {
		var b strings.Builder
		for range 1 + rng.IntN(6) {
			b.WriteByte("/ab"[rng.IntN(3)])
		}
		return b.String()
	}
	for range 2000 {
		c := Config{}
		for i := range 8 {
			c.Routes = append(c.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: path()})
		}
		request, want := path(), ""
		longest := -1
		for i := range c.Routes {
			if r := &c.Routes[i]; len(r.Prefix) > longest && strings.HasPrefix(request, r.Prefix) {
				want, longest = r.Name, len(r.Prefix)
			}
		}
		got, ok := NewTable(c).Match("h", request)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, got.Name, want, "%s in %+v", request, c.Routes)
		}
	}
}

func TestPublicJobs(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Host: "a", Prefix: "/x/", Kind: KindBatch, Public: true}, {Host: "b", Prefix: "/x/", Kind: KindBatch}, {Host: "b", Prefix: "/y/", Kind: KindStream, Public: true},
	}})
	assert.Assert(t, table.PublicJobs("a"))
	assert.Assert(t, !table.PublicJobs("b"))
	assert.Assert(t, !table.PublicJobs("c"))
}

// manyRoutes returns a configuration with n routes of one host.
func manyRoutes(n int) Config {
	c := Config{}
	for i := range n {
		c.Routes = append(c.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/route%d/x/", i)})
	}
	return c
}

func BenchmarkNewTableOf1700Routes(b *testing.B) {
	c := manyRoutes(1700)
	for b.Loop() {
		NewTable(c)
	}
}

func BenchmarkMatchOf1700Routes(b *testing.B) {
	table := NewTable(manyRoutes(1700))
	for b.Loop() {
		if _, ok := table.Match("h", "/route850/x/some/path"); !ok {
			b.Fatal("no route")
		}
	}
}
