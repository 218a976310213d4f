package hosted

import (
	"net/url"
	"testing"
	"time"

	"dotterelmount.example/lib/explain"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestExplanationsOfRequestsAndJobs(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	n := d.daemons[0]
	ask := func(path, customer string) explain.Report {
		report, err := n.explain(t.Context(), url.Values{"host": {host}, "path": {path}, "method": {"POST"}, "customer": {customer}, "model": {model}})
		assert.NilError(t, err)
		return report
	}
	got := ask(memberPath+"1", "")
	assert.Equal(t, got.Outcome, explain.Sent, "%v", got)
	assert.Equal(t, got.Service, "plain")
	assert.Equal(t, len(got.Candidates), len(d.plain))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got = ask(batchPath+"1", ""); got.Outcome != explain.Placed {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, got.Placement != nil && len(got.Placement.Candidates) > 0, "%v", got)
	assert.Equal(t, ask("/nowhere", "").Reason, "no matching route")

	d.configureKeys(2, firstKey)
	assert.Equal(t, ask(memberPath+"1", "").Reason, "missing key")
	assert.Equal(t, ask(memberPath+"1", "nobody").Reason, "no such customer")
	got = ask(memberPath+"1", "first")
	assert.Equal(t, got.Outcome, explain.Sent, "%v", got)
	assert.Equal(t, got.Priority, 1)
}
