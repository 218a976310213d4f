package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Keys of the tenants in tests.
const (
	firstKey  = "k1aaaaaaaaaaaaaaaaaa"
	secondKey = "k2aaaaaaaaaaaaaaaaaa" // of the same tenant
	otherKey  = "k3bbbbbbbbbbbbbbbbbb"
)

// callTimeout bounds a call in tests of keys.
const callTimeout = 10 * time.Second

// configureKeys publishes a version in which callers need keys, and waits for it.
func (d *deployment) configureKeys(version int, first ...string) {
	d.t.Helper()
	d.store.PublishConfig(version, []platform.Route{
		{Name: "batch", Host: host, PathPrefix: batchPath, Kind: "rollout", Service: "engines", TimeoutMillis: 10000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true, ItemTimeoutSeconds: 40, ResultTargetMillis: 7500},
		{Name: "members", Host: host, PathPrefix: memberPath, Kind: "safe", Service: "plain", TimeoutMillis: 5000, LatencyTargetMillis: 150, Attempts: 3},
		{Name: "streams", Host: host, PathPrefix: streamPath, Kind: "stream", Service: "engines", TimeoutMillis: 10000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true},
		{Name: "public", Host: host, PathPrefix: "/public/", Kind: "safe", Service: "plain", TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3, Public: true},
	}, []platform.Service{{Name: "engines", Models: []string{model}}, {Name: "plain"}},
		platform.Tenant{Name: "first", Keys: first, Priority: 1}, platform.Tenant{Name: "other", Keys: []string{otherKey}})
	d.awaitConfig(version)
}

// callWith sends a member's request with a key and what a caller may claim to be.
func (d *deployment) callWith(n *Node, key, path, id string) response {
	d.t.Helper()
	header := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000", "x-tenant": "forged"}
	if key != "" {
		header["Authorization"] = "Token " + key
	}
	return d.call(n, http.MethodPost, path, []byte("hello"), header)
}

// tenantOf returns the tenant that the servers were told of with each run of a request, and
// fails if one of them was shown a key.
func (d *deployment) tenantOf(id string) []string {
	d.t.Helper()
	var out []string
	for _, s := range append(append([]*platform.Server{}, d.plain...), d.models...) {
		for _, a := range s.Arrivals() {
			assert.Assert(d.t, !a.KeyShown, "%s was shown a key with %s", s.InstanceID(), a.RequestID)
			if a.RequestID == id {
				out = append(out, a.Tenant)
			}
		}
	}
	return out
}

func (d *deployment) client(key string) *platform.Client {
	return &platform.Client{HTTP: http.DefaultClient, Host: host, Key: key}
}

// awaitResults waits until a caller has read count results of a job.
func (d *deployment) awaitResults(c *platform.Client, n *Node, id string, count int) platform.ResultPage {
	d.t.Helper()
	var page platform.ResultPage
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		var resp platform.Response
		page, resp = c.ReadResults(d.t.Context(), n.settings.CallerAddress, id, 0, 0, callTimeout)
		if resp.Err != nil {
			return poll.Error(resp.Err)
		}
		if resp.Status != http.StatusOK || len(page.Results) < count {
			return poll.Continue("status %d, %d results", resp.Status, len(page.Results))
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return page
}

// Guards against requests that run for the wrong customer or for none, and against keys that
// reach an upstream.
func TestUpstreamsLearnTheCustomerAndNoKey(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	n := d.daemons[0]
	d.configureKeys(2, firstKey, secondKey)
	for id, c := range map[string]struct {
		key, path string
		status    int
		tenants   []string
	}{
		"first":          {firstKey, memberPath + "x", http.StatusOK, []string{"first"}},
		"second key":     {secondKey, memberPath + "x", http.StatusOK, []string{"first"}},
		"other":          {otherKey, memberPath + "x", http.StatusOK, []string{"other"}},
		"none":           {"", memberPath + "x", http.StatusUnauthorized, nil},
		"unknown":        {"k4", memberPath + "x", http.StatusUnauthorized, nil},
		"no route":       {"", "/nowhere/", http.StatusNotFound, nil},
		"public":         {"", "/public/x", http.StatusOK, []string{""}},
		"public, key":    {otherKey, "/public/x", http.StatusOK, []string{"other"}},
		"public, no key": {"k4", "/public/x", http.StatusUnauthorized, nil},
	} {
		assert.Check(t, d.callWith(n, c.key, c.path, id).status == c.status, id)
		assert.DeepEqual(t, d.tenantOf(id), c.tenants)
	}
	stream := d.call(n, http.MethodPost, streamPath+"x", nil, map[string]string{"X-Request-Id": "s1", "X-Deadline-Ms": "5000", "X-Model": model, "Authorization": "token  " + firstKey})
	assert.Equal(t, stream.status, http.StatusOK)
	assert.DeepEqual(t, d.tenantOf("s1"), []string{"first"})
}

// A deployment without customers passes on what callers send.
func TestWithoutCustomersHeadersPass(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	assert.Equal(t, d.callWith(d.daemons[0], firstKey, memberPath+"x", "r").status, http.StatusOK)
	for _, p := range d.plain {
		for _, a := range p.Arrivals() {
			assert.Assert(t, a.KeyShown && a.Tenant == "forged", "%+v", a)
		}
	}
}

// Guards against a customer's name that is lost where another daemon sends the request.
func TestForwardedRequestsKeepTheirCustomer(t *testing.T) {
	d := newDeployment(t, 3)
	defer d.stopAll()
	d.configureKeys(2, firstKey)
	d.cutOff(d.daemons[0], platform.CutReset)
	served := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		id := fmt.Sprintf("r%d", served)
		if d.callWith(d.daemons[0], firstKey, memberPath+"x", id).status != http.StatusOK {
			return poll.Continue("not served")
		}
		assert.DeepEqual(t, d.tenantOf(id)[len(d.tenantOf(id))-1], "first")
		if served++; served < 5 {
			return poll.Continue("%d served", served)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against a key that goes on opening connections, or starts a request that waited,
// after it was taken away.
func TestRevokedKeyEndsAtOnce(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	n := d.daemons[0]
	d.configureKeys(2, firstKey, secondKey)
	// One connection for all calls of this client.
	connection := &platform.Client{HTTP: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, Host: host, Key: firstKey}
	send := func(id string) int {
		resp := connection.Send(t.Context(), n.settings.CallerAddress, platform.Call{Method: http.MethodPost, Path: memberPath + "x", RequestID: id, Deadline: callTimeout})
		assert.NilError(t, resp.Err)
		return resp.Status
	}
	assert.Equal(t, send("before"), http.StatusOK)

	// A request that no upstream takes is tried again and again until its key is taken away.
	reached := make(chan struct{}, 1)
	for _, p := range d.plain {
		p.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("X-Request-Id") != "waiting" {
				return false
			}
			select {
			case reached <- struct{}{}:
				d.configureKeys(3, secondKey)
			default:
			}
			w.Header().Set("X-Request-Id", "waiting")
			w.Header().Set("X-Request-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	assert.Equal(t, send("waiting"), http.StatusUnauthorized)
	assert.Equal(t, send("after"), http.StatusUnauthorized)
	assert.Equal(t, len(d.tenantOf("after")), 0)
	assert.Equal(t, d.callWith(n, secondKey, memberPath+"x", "second").status, http.StatusOK)
}

// Guards against 401 for a key that was added since the configuration was last read, and
// against keys that outlive their time where the settings ask for that.
func TestKeysWhileTheStoreIsDown(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	closed := d.startWith("keys: {fail_closed: true, revoke: 3s}\n")
	d.configureKeys(2, firstKey)
	d.store.SetMode(platform.ModeBusy)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := d.callWith(d.daemons[0], secondKey, memberPath+"x", "unsure").status; s != http.StatusServiceUnavailable {
			return poll.Continue("status %d", s)
		}
		if s := d.callWith(closed, firstKey, memberPath+"x", "closed").status; s != http.StatusServiceUnavailable {
			return poll.Continue("status %d", s)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, d.callWith(d.daemons[0], firstKey, memberPath+"x", "open").status, http.StatusOK)
	assert.Equal(t, d.callWith(closed, "", "/public/x", "public").status, http.StatusOK)
	d.store.SetMode(platform.ModeUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		unknown, known := d.callWith(d.daemons[0], secondKey, memberPath+"x", "u").status, d.callWith(closed, firstKey, memberPath+"x", "k").status
		if unknown != http.StatusUnauthorized || known != http.StatusOK {
			return poll.Continue("%d, %d", unknown, known)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// submitAs submits a job of one scored item, with headers that claim to be somebody else.
func (d *deployment) submitAs(c *platform.Client, n *Node, id string) platform.Response {
	d.t.Helper()
	item := scoredItem("item-of-" + id)
	item.Headers["x-tenant"], item.Headers["AUTHORIZATION"] = "forged", "Token "+c.Key
	return c.SubmitJob(d.t.Context(), n.settings.CallerAddress, batchPath, callTimeout, platform.Job{ID: id, Model: model, MinVersion: 1, TargetGroups: 1, Items: []platform.Item{item}})
}

// Guards against a customer that reads, ends or takes over another one's job, and against
// jobs that end with the key that submitted them.
func TestJobsOfCustomers(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	d.configureKeys(2, firstKey, secondKey)
	submitter, sibling, other := d.client(firstKey), d.client(secondKey), d.client(otherKey)
	assert.Equal(t, d.submitAs(submitter, d.daemons[0], "job1").Status, http.StatusAccepted)
	d.configureKeys(3, secondKey)

	page := d.awaitResults(sibling, d.daemons[1], "job1", 1)
	assert.Assert(t, page.Results[0].Completed() && page.Results[0].Score != "", "%+v", page)
	for _, id := range []string{"item-of-job1", "score-item-of-job1"} {
		got := d.tenantOf(id)
		assert.Assert(t, len(got) > 0 && strings.Repeat("first", len(got)) == strings.Join(got, ""), "%s: %v", id, got)
	}
	assert.Equal(t, d.submitAs(sibling, d.daemons[1], "job1").Status, http.StatusAccepted, "a repeated submission with another key")

	for _, n := range d.daemons {
		for _, c := range []struct {
			client *platform.Client
			status int
		}{{other, http.StatusNotFound}, {submitter, http.StatusUnauthorized}, {d.client(""), http.StatusUnauthorized}} {
			for _, call := range []platform.Call{
				{Method: http.MethodGet, Path: "/api/lots/job1?after=0"}, {Method: http.MethodGet, Path: "/api/items/job1?id=item-of-job1"}, {Method: http.MethodDelete, Path: "/api/lots/job1"},
			} {
				call.Deadline = callTimeout
				resp := c.client.Send(t.Context(), n.settings.CallerAddress, call)
				assert.NilError(t, resp.Err)
				assert.Equal(t, resp.Status, c.status, "%s %s", call.Method, call.Path)
				assert.Equal(t, len(resp.Body), 0)
			}
		}
		assert.Equal(t, d.submitAs(other, n, "job1").Status, http.StatusServiceUnavailable, "the id of another customer's job")
	}
	assert.DeepEqual(t, d.awaitResults(sibling, d.daemons[0], "job1", 1), page)
	assert.Equal(t, sibling.EndJob(t.Context(), d.daemons[0].settings.CallerAddress, "job1", callTimeout).Status, http.StatusOK)
}

// Guards against a key in the lines that a daemon logs and in what it shows of itself.
func TestKeysAreNotLogged(t *testing.T) {
	d := newDeployment(t, 0)
	var lines bytes.Buffer // of the daemon's log duty, until it has stopped
	d.log = &lines
	n := d.start()
	d.store.PublishConfig(2, []platform.Route{{Name: "members", Host: host, PathPrefix: memberPath, Kind: "safe", Service: "plain", TimeoutMillis: 1000, Attempts: 2}},
		[]platform.Service{{Name: "plain"}}, platform.Tenant{Name: "first", Keys: []string{firstKey}}, platform.Tenant{Name: "other", Keys: []string{firstKey, otherKey}})
	d.awaitConfig(2)
	for key, status := range map[string]int{firstKey: http.StatusOK, secondKey: http.StatusUnauthorized} {
		assert.Equal(t, d.callWith(n, key, memberPath+"x", "r-"+key[:2]).status, status)
	}
	shown := d.get(n, "/debug/keys")
	d.stopAll()
	for _, key := range []string{firstKey, secondKey, otherKey} {
		assert.Assert(t, !bytes.Contains(lines.Bytes(), []byte(key)), "a key is logged")
		assert.Assert(t, !strings.Contains(shown, key), shown)
	}
	assert.Assert(t, bytes.Contains(lines.Bytes(), []byte(access.NewKey(secondKey).Fingerprint())), "a refused key must be named by its fingerprint")
	assert.Assert(t, bytes.Contains(lines.Bytes(), []byte("entries of the configuration ignored")))
	var report struct {
		Customers []access.CustomerReport `json:"customers"`
	}
	assert.NilError(t, json.Unmarshal([]byte(shown), &report))
	assert.DeepEqual(t, report.Customers[0].Keys, []string{access.NewKey(firstKey).Fingerprint()})
}

// get returns what a daemon's metrics address serves at a path.
func (d *deployment) get(n *Node, path string) string {
	d.t.Helper()
	resp := (&platform.Client{HTTP: http.DefaultClient}).Send(d.t.Context(), n.settings.MetricsAddress, platform.Call{Method: http.MethodGet, Path: path, Deadline: callTimeout})
	assert.NilError(d.t, resp.Err)
	assert.Equal(d.t, resp.Status, http.StatusOK)
	return string(resp.Body)
}
