package listfile

import (
	"errors"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/settings"
)

const examples = "../../../examples"

func TestExampleFilesLoad(t *testing.T) {
	for _, c := range []struct {
		name             string
		dataCentres      int
		engines, callers int
	}{
		{"kobo-tane", 4, 12, 4},
		{"handbell", 3, 11, 3},
	} {
		s, err := settings.Load(filepath.Join(examples, c.name, "settings.yaml"))
		assert.NilError(t, err)
		plans, err := LoadPlanList(filepath.Join(examples, c.name, "plan-list.yaml"))
		assert.NilError(t, err)
		usage, err := LoadUsageList(filepath.Join(examples, c.name, "usage-list.yaml"))
		assert.NilError(t, err)

		assert.Equal(t, len(plans.Customers), c.callers+1) // plus one trainer
		centres := make(map[api.DataCentre]bool)
		engines := 0
		for _, u := range usage.Upstreams {
			centres[u.DataCentre] = true
			if u.Kind == api.KindEngine {
				engines++
			}
		}
		assert.Equal(t, engines, c.engines)
		assert.Equal(t, len(centres), c.dataCentres)
		assert.Assert(t, centres[api.DataCentre(s.DataCentre)])
		assert.Equal(t, len(usage.Usages), len(plans.Plans))
	}
}

func TestExampleWeightsDiffer(t *testing.T) {
	kobo, err := settings.Load(filepath.Join(examples, "kobo-tane/settings.yaml"))
	assert.NilError(t, err)
	handbell, err := settings.Load(filepath.Join(examples, "handbell/settings.yaml"))
	assert.NilError(t, err)
	k, h := kobo.Dispatch.Weights, handbell.Dispatch.Weights
	assert.Assert(t, k.Interactive/k.Rollout > h.Interactive/h.Rollout)
	assert.Assert(t, kobo.Dispatch.ProgressDeadline < handbell.Dispatch.ProgressDeadline)
}

func TestInvalidListsAreRejected(t *testing.T) {
	_, err := ParsePlanList([]byte("plans: []\ncustomer: []\n"))
	var e *settings.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Key, "customer")
	assert.Equal(t, e.Allowed, "plans, customers")
	_, err = ParsePlanList([]byte("customers: [{id: a, plan: none}]\n"))
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
	_, err = ParseUsageList([]byte("upstreams: [{id: a, kind: other}]\n"))
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
	_, err = ParseUsageList([]byte("upstreams:\n  - id: a\n    colour: red\n"))
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Key, "upstreams.colour")
	_, err = LoadUsageList("no-such-file")
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
}
