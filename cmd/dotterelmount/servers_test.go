package main

import (
	"encoding/json"
	"testing"

	platform "dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

func TestHostedServers(t *testing.T) {
	s := platform.NewStore()
	defer s.Close()
	s.PutJSON("keyed.op", "config", map[string]any{"version": 7, "routes": []any{}, "services": []any{map[string]any{
		"name": "engines", "engine": map[string]any{"models": []any{}},
		"autoscale": map[string]any{"min": 1, "max": 9, "zone_prices": map[string]any{"z1": 0.8, "z2": 1}},
	}}})
	for id, entry := range map[string]map[string]any{"a": {}, "b": {"spot": true}, "c": {"spot": true, "state": "draining", "leaves_ms": 900}} {
		full := map[string]any{"service": "engines", "address": "127.0.0.1:1", "zone": "z1", "version": "v1", "slots": 4, "state": "ready", "seq": 1, "born": 1}
		for k, v := range entry {
			full[k] = v
		}
		s.PutJSON("keyed.servers", id, full)
	}
	out, err := runHosted(t, s.Address(), "servers")
	assert.NilError(t, err)
	var got serversReport
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.DeepEqual(t, got, serversReport{ConfigVersion: 7, Servers: []serverCount{
		{Service: "engines", DataCentre: "z1", Ordinary: 1, Reclaimable: 1, Leaving: 1, Bounds: &serverBounds{Min: 1, Max: 9, Price: 0.8}},
		{Service: "engines", DataCentre: "z2", Bounds: &serverBounds{Min: 1, Max: 9, Price: 1}},
	}})
	_, err = runHosted(t, "", "servers")
	assert.Equal(t, exitCode(err), exitUsage)
}
