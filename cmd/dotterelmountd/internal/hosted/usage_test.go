package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/lib/usage"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/metering"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// meteredDeployment is a deployment whose daemons report usage.
type meteredDeployment struct {
	*deployment
	cloud *platform.Cloud
	sent  usage.Counts
}

func newMeteredDeployment(t *testing.T, fencesChecked bool) *meteredDeployment {
	t.Helper()
	d := &meteredDeployment{deployment: newDeployment(t, 0), cloud: platform.NewCloud(fencesChecked), sent: make(usage.Counts)}
	t.Cleanup(d.cloud.Close)
	d.cloud.PerSecond = 20
	d.store.PublishConfig(2, []platform.Route{
		{Name: "members", Host: host, PathPrefix: memberPath, Kind: "safe", Service: "plain", TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3},
	}, []platform.Service{{Name: "plain"}}, platform.Tenant{Name: "alice", Keys: []string{"k1"}}, platform.Tenant{Name: "bob", Keys: []string{"k2"}})
	for range 2 {
		d.startWith(fmt.Sprintf("duties:\n  address: %s\n  names: [metering]\n  calls_per_second: 20\n  fences_checked: %t\n  lease: 1s\n  usage_window: 3s\n  usage_delay: 8s\n", d.cloud.Address(), fencesChecked))
	}
	d.awaitConfig(2)
	return d
}

// request sends requests of a customer to a daemon.
func (d *meteredDeployment) request(n *Node, customer string, count int) {
	d.t.Helper()
	keys := map[string]string{"alice": "k1", "bob": "k2"}
	for range count {
		d.sent[customer]++
		resp := d.call(n, http.MethodPost, memberPath+"x", nil, map[string]string{
			"X-Request-Id": fmt.Sprintf("%s-%d", customer, d.sent[customer]), "X-Deadline-Ms": "2000", "Authorization": "Token " + keys[customer],
		})
		assert.Equal(d.t, resp.status, http.StatusOK)
	}
}

// await waits until a sum of counts is what was sent.
func (d *meteredDeployment) await(what string, sum func() (usage.Counts, error)) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		got, err := sum()
		if err != nil {
			return poll.Error(err)
		}
		for customer, n := range d.sent {
			if got[customer] != n {
				return poll.Continue("%s: %v of %v", what, got, d.sent)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(50*time.Millisecond))
}

// reported returns the sum of all reports.
func (d *meteredDeployment) reported() (usage.Counts, error) {
	sum := make(usage.Counts)
	for _, counts := range d.cloud.Usage() {
		sum.Add(counts)
	}
	return sum, nil
}

// stored returns the sum of the reports and of what is stored for other windows.
func (d *meteredDeployment) stored() (usage.Counts, error) {
	records, _, err := store.New(d.store.Address()).Keyed(metering.CountsTopic).Newest(d.t.Context())
	if err != nil {
		return nil, err
	}
	counts, err := metering.CountsOf(records)
	sum, _ := d.reported()
	reports := d.cloud.Usage()
	for window, c := range counts {
		if _, ok := reports[window]; !ok {
			sum.Add(c)
		}
	}
	return sum, err
}

// holder returns the daemon that holds the duty and another.
func (d *meteredDeployment) holder() (holder, other *Node) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for i, n := range d.daemons {
			if _, ok := n.keepers.Current(metering.Metering); ok {
				holder, other = n, d.daemons[1-i]
				return poll.Success()
			}
		}
		return poll.Continue("no holder")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return holder, other
}

// The holder is killed in the middle of a window, while the platform's API fails. Each window is
// reported with the same numbers by both holders, and no request is missing.
func TestUsageIsReportedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fencesChecked bool
		fault         platform.CloudMode
	}{
		"fences checked, API busy":      {true, platform.CloudBusy},
		"fences checked, API silent":    {true, platform.CloudSilent},
		"fences not checked, late call": {false, platform.CloudLate},
	} {
		t.Run(name, func(t *testing.T) {
			d := newMeteredDeployment(t, c.fencesChecked)
			holder, other := d.holder()
			d.request(holder, "alice", 7)
			d.request(other, "alice", 2)
			d.request(other, "bob", 5)
			d.await("reported", d.reported)

			d.cloud.SetMode(c.fault)
			d.request(holder, "alice", 3)
			d.request(other, "bob", 4)
			d.await("stored", d.stored)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if d.cloud.Faults() == 0 {
					return poll.Continue("no report has failed")
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
			d.kill(holder)
			d.daemons = []*Node{other}
			defer d.stopAll()
			d.request(other, "bob", 2)
			d.cloud.SetMode(platform.CloudUp)
			d.await("reported", d.reported)
			assert.DeepEqual(t, d.cloud.Violations(), []string(nil))
			assert.Assert(t, len(d.cloud.Fences()) >= 2, "%v", d.cloud.Fences())
		})
	}
}

// A daemon of a deployment without duties makes no calls for them.
func TestNoDutiesWithoutSettings(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	n := d.daemons[0]
	assert.Assert(t, n.keepers == nil && n.meter == nil && n.reporter == nil)
	assert.Equal(t, d.call(n, "POST", memberPath+"x", nil, map[string]string{"X-Request-Id": "r", "X-Deadline-Ms": "2000"}).status, 200)
	for _, topic := range []string{"keyed.duty-metering", "keyed." + metering.CountsTopic, "keyed." + metering.ReportsTopic} {
		assert.Equal(t, d.store.RecordCount(topic), 0, topic)
	}
}
