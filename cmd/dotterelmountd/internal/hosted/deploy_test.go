package hosted

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/loads"
	"dotterelmount.example/lib/settings"
	"gotest.tools/v3/assert"
)

// values are the platform's example values, as JSON.
func values() map[string]string {
	return map[string]string{
		"node": `"front-sapporo-a-1"`, "zone": `"sapporo-a"`, "ip": `"10.1.0.10"`, "listen.front": `"10.1.0.10:8161"`,
		"listen.ready": `"10.1.0.10:8167"`, "port_range.0": "7720", "provider.address": `"10.200.1.7:8169"`, "provider.record_bytes": "262144",
		"provider.call_bytes": "2097152", "provider.reads_per_s": "2000", "provider.max_queue_s": "300", "bounds.status_s": "120", "bounds.lease_ms": "3000", "bounds.grace_s": "8", "limits.cpu_share": "0.192", "limits.memory_mb": "304", "limits.max_fds": "8200",
	}
}

// renderTemplate returns the settings that the platform renders from the template in deploy. A
// placeholder is {{name}}, or {{name|json}} for a value that is quoted as in JSON; a section
// is rendered if it has a value.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	template, err := os.ReadFile("../../../../deploy/settings.yaml")
	assert.NilError(t, err)
	text := regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}\n(.*?)\{\{/([^}]*)\}\}\n`).ReplaceAllStringFunc(string(template), func(section string) string {
		name, rest, _ := strings.Cut(strings.TrimPrefix(section, "{{#"), "}}\n")
		body, ok := strings.CutSuffix(rest, "{{/"+name+"}}\n")
		assert.Assert(t, ok, "section %s doesn't end", name)
		if _, ok := values[name]; !ok {
			return ""
		}
		return body
	})
	return []byte(regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(p string) string {
		name, form, _ := strings.Cut(strings.Trim(p, "{}"), "|")
		value, ok := values[name]
		assert.Assert(t, ok, "no value for %s", p)
		if form == "json" {
			return value
		}
		return strings.Trim(value, `"`)
	}))
}

// The settings template in deploy is valid with the platform's example values.
func TestDeployTemplateIsValid(t *testing.T) {
	h, err := settings.ParseHosted(renderTemplate(t, values()))
	assert.NilError(t, err)
	assert.Equal(t, h.Daemon, "front-sapporo-a-1")
	assert.Equal(t, h.MetricsAddress, "10.1.0.10:9464")
	assert.Equal(t, h.PeerAddress, "10.1.0.10:7720")
	assert.Equal(t, h.Limits, settings.HostLimits{MemoryMB: 304, Descriptors: 8200})
	assert.Equal(t, h.JobRetention, 2*time.Minute)
	assert.Equal(t, h.LeaseWait, 3*time.Second)
	assert.Equal(t, h.Capacity(), 192)
	assert.DeepEqual(t, h.Keys, settings.Keys{Revoke: settings.DefaultRevoke})
	assert.Equal(t, h.Duties.Address, "", "there are no duties without an address")
	assert.Assert(t, h.UpstreamWindows && h.MoveLateItems)
}

func TestDeployTemplateHasKeys(t *testing.T) {
	for _, closed := range []bool{false, true} {
		v := values()
		v["bounds.revoke_ms"], v["bounds.fail_closed"] = "4000", strconv.FormatBool(closed)
		h, err := settings.ParseHosted(renderTemplate(t, v))
		assert.NilError(t, err)
		assert.DeepEqual(t, h.Keys, settings.Keys{FailClosed: closed, Revoke: 4 * time.Second})
	}
}

func TestDeployTemplateHasDuties(t *testing.T) {
	v := values()
	for name, value := range map[string]string{
		"cloud.address": `"10.200.0.190:8307"`, "cloud.duties": `["metering","scale"]`, "cloud.duty_per_s": "50.0", "bounds.fencing": "false",
		"bounds.report_window_s": "5", "bounds.usage_late_s": "10",
	} {
		v[name] = value
	}
	h, err := settings.ParseHosted(renderTemplate(t, v))
	assert.NilError(t, err)
	assert.DeepEqual(t, h.Duties, settings.Duties{
		Address: "10.200.0.190:8307", Names: []string{"metering", "scale"}, CallsPerSecond: 50, Lease: 3 * time.Second, UsageWindow: 5 * time.Second, UsageDelay: 10 * time.Second,
	})
	assert.Assert(t, h.UpstreamWindows && h.MoveLateItems)
}

// The deployments' sheets say how many engines can load weights at the same time
// without slowing each other down. All of them are used, and no more.
func TestLoadShareMatchesDeployments(t *testing.T) {
	for engines, want := range map[int]int{9: 2, 11: 2, 12: 2, 38: 8, 44: 9, 104: 21} {
		all := make([]batch.Upstream, engines)
		for i := range all {
			all[i] = batch.Upstream{ID: api.UpstreamID(strconv.Itoa(i)), Service: "s", Holder: "d", AssignedModel: "m"}
		}
		got := loads.Next(all, "s", map[api.ModelName]api.WeightVersion{"m": 2}, settings.DefaultLoadShare)
		assert.Equal(t, len(got), want, "%d engines", engines)
	}
}
