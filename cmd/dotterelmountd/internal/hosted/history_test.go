package hosted

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// shortHistory makes daemons write a checkpoint every second.
const shortHistory = "retention: 4s\nremember: 1m\n"

// holders returns the holder of each upstream as a daemon knows them.
func holders(n *Node) map[api.UpstreamID]api.DaemonID {
	out := make(map[api.UpstreamID]api.DaemonID)
	for _, u := range n.leaseSnapshot().Upstreams {
		out[u.ID] = u.Holder
	}
	return out
}

// awaitHolders waits until a daemon knows the holders of all model servers.
func (d *deployment) awaitHolders(n *Node, within time.Duration) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		known := holders(n)
		for _, h := range known {
			if h == "" {
				return poll.Continue("%v", known)
			}
		}
		if len(known) < len(d.models) {
			return poll.Continue("%v, partial: %t", known, n.leaseSnapshot().Partial)
		}
		return poll.Success()
	}, poll.WithTimeout(within))
}

// Guards against two holders of one server: a daemon that is added after the journal lost
// its first records knows the leases of the others, which keep them.
func TestDaemonAddedAfterTheHistoryKnowsTheLeases(t *testing.T) {
	d := newDeployment(t, 0)
	defer d.stopAll()
	for range 3 {
		d.startWith(shortHistory)
	}
	d.awaitHolders(d.daemons[0], 10*time.Second)
	duty.Sleep(t.Context(), 3*time.Second) // at least one checkpoint
	before := holders(d.daemons[0])
	assert.Equal(t, d.submit(d.daemons[0], "j", 1, 1).status, http.StatusAccepted)
	d.store.Expire(replay.Topic, 0)
	added := d.startWith(shortHistory)
	d.awaitHolders(added, 15*time.Second)
	for range 20 {
		for _, n := range d.daemons {
			assert.DeepEqual(t, holders(n), before)
		}
		duty.Sleep(t.Context(), 100*time.Millisecond)
	}
	got := d.results(added, "j", 2)
	d.checkTexts(got)
	assert.DeepEqual(t, got, d.results(d.daemons[0], "j", 2))
}

// After a stop of all daemons that lasts longer than the store keeps records, the last
// checkpoint is too old. The daemons begin a new state and serve batch jobs again.
func TestDeploymentStartsAfterItsHistory(t *testing.T) {
	d := newDeployment(t, 0)
	for range 2 {
		d.startWith(shortHistory)
	}
	d.awaitHolders(d.daemons[0], 10*time.Second)
	duty.Sleep(t.Context(), 3*time.Second)
	d.stopAll()
	d.daemons = nil
	d.store.Expire(replay.Topic, 0)
	defer d.stopAll()
	for range 2 {
		d.startWith(shortHistory)
	}
	client := platform.Client{HTTP: http.DefaultClient, Host: host}
	_, late := client.ReadResults(t.Context(), d.daemons[0].settings.CallerAddress, "j", 0, 0, time.Second)
	assert.Equal(t, late.Status, http.StatusServiceUnavailable, "a job that isn't known is not absent")
	for _, n := range d.daemons {
		d.awaitHolders(n, recordLevels.Silence+20*time.Second)
	}
	assert.DeepEqual(t, holders(d.daemons[0]), holders(d.daemons[1]))
	assert.Equal(t, d.submit(d.daemons[1], "j", 1, 1).status, http.StatusAccepted)
	d.checkTexts(d.results(d.daemons[0], "j", 2))
}

// A daemon that was stopped while another one wrote must not overwrite what that one wrote.
func TestKeyedTopicIsAppendedOnlyAtItsEnd(t *testing.T) {
	s := platform.NewStore()
	defer s.Close()
	topic := store.New(s.Address()).Keyed("t")
	end, err := topic.AppendAt(t.Context(), 0, []journal.KeyedRecord{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
	assert.NilError(t, err)
	assert.Equal(t, end, journal.Offset(2))
	_, err = topic.AppendAt(t.Context(), 0, []journal.KeyedRecord{{Key: "a", Value: []byte("late")}})
	var moved *journal.EndError
	assert.Assert(t, errors.As(err, &moved), "%v", err)
	_, err = topic.AppendAt(t.Context(), end, []journal.KeyedRecord{{Key: "b"}})
	assert.NilError(t, err)
	got, end, err := topic.Newest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, end, journal.Offset(3))
	assert.DeepEqual(t, got, []journal.KeyedRecord{{Key: "a", Value: []byte("1")}})
}
