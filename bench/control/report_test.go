package main

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitLine(t *testing.T) {
	l := fitLine([]float64{4, 8, 16}, []float64{9, 17, 33})
	assert.Assert(t, math.Abs(l.Intercept-1) < 1e-9 && math.Abs(l.Slope-2) < 1e-9 && math.Abs(l.R2-1) < 1e-9)
	assert.Assert(t, math.Abs(l.valueAt(370)-741) < 1e-6)
	flat := fitLine([]float64{1, 2}, []float64{5, 5})
	assert.Equal(t, flat, line{Intercept: 5, R2: 1})
}

func TestNewRowComputesMeansPerDaemonAndSecond(t *testing.T) {
	begin := time.Unix(100, 0)
	before := []sample{{takenAt: begin}, {takenAt: begin}}
	after := []sample{
		{takenAt: begin.Add(2 * time.Second), cpu: 20 * time.Millisecond, rss: 2 * megabyte},
		{takenAt: begin.Add(2 * time.Second), cpu: 60 * time.Millisecond, rss: 4 * megabyte},
	}
	after[0].vars.Peer = traffic{In: 100, Out: 300}
	r := newRow("rest", before, after)
	assert.Assert(t, math.Abs(r.CPU-2) < 1e-9 && math.Abs(r.CPUMax-3) < 1e-9)
	assert.Equal(t, r.RSS, 3.0)
	assert.Equal(t, r.PeerTraffic, 100.0)
}

func TestParseStatSkipsParenthesesInName(t *testing.T) {
	cpu, err := parseStat([]byte("7 (a b) c) S 1 1 1 0 -1 0 0 0 0 0 30 12 0 0 20"))
	assert.NilError(t, err)
	assert.Equal(t, cpu, 420*time.Millisecond)
	_, err = parseStat([]byte("7 (a) S 1"))
	assert.Assert(t, err != nil)
}

func TestParseDaemonCounts(t *testing.T) {
	n, err := parseDaemonCounts("4,32")
	assert.NilError(t, err)
	assert.DeepEqual(t, n, []int{4, 32})
	_, err = parseDaemonCounts("4,x")
	assert.Assert(t, err != nil)
}
