package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
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

const (
	callTimeout = 10 * time.Second // of a call in tests of keys
	busyTimeout = time.Minute      // within which a busy machine gets around to what a test waits for
)

// statusError reports a status that is wrong however busy the machine is.
type statusError struct {
	what      string
	got, want int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s: status %d, not %d", e.what, e.got, e.want)
}

// expect sends a request until it gets a status. A daemon that is too busy to run it, or to
// know the answer, may say so before.
func (d *deployment) expect(want int, what string, send func() int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		switch got := send(); got {
		case want:
			return poll.Success()
		case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return poll.Continue("%s: status %d", what, got)
		default:
			return poll.Error(&statusError{what, got, want})
		}
	}, poll.WithTimeout(busyTimeout))
}

// configureKeys publishes a version in which callers need keys, and waits for it.
func (d *deployment) configureKeys(version int, first ...string) {
	d.t.Helper()
	d.store.PublishConfig(version, []platform.Route{
		{Name: "batch", Host: host, PathPrefix: batchPath, Kind: "rollout", Service: "engines", TimeoutMillis: 10000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true, ItemTimeoutSeconds: 40, ResultTargetMillis: 7500},
		{Name: "members", Host: host, PathPrefix: memberPath, Kind: "safe", Service: "plain", TimeoutMillis: 9000, LatencyTargetMillis: 4500, Attempts: 3},
		{Name: "streams", Host: host, PathPrefix: streamPath, Kind: "stream", Service: "engines", TimeoutMillis: 10000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true},
		{Name: "public", Host: host, PathPrefix: "/public/", Kind: "safe", Service: "plain", TimeoutMillis: 9000, LatencyTargetMillis: 150, Attempts: 3, Public: true},
	}, []platform.Service{{Name: "engines", Models: []string{model}}, {Name: "plain"}},
		platform.Tenant{Name: "first", Keys: first, Priority: 1}, platform.Tenant{Name: "other", Keys: []string{otherKey}})
	d.awaitConfig(version)
}

// callWith sends a member's request with a key and what a caller may claim to be.
func (d *deployment) callWith(n *Node, key, path, id string) response {
	d.t.Helper()
	header := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "9000", "x-tenant": "forged"}
	if key != "" {
		header["Authorization"] = "Token " + key
	}
	return d.call(n, http.MethodPost, path, []byte("hello"), header)
}

// tenantsOf returns the tenants that the servers were told of with the runs of a request,
// each of them once, and fails if a server was shown a key.
func (d *deployment) tenantsOf(id string) []string {
	d.t.Helper()
	var out []string
	for _, s := range append(append([]*platform.Server{}, d.plain...), d.models...) {
		for _, a := range s.Arrivals() {
			assert.Assert(d.t, !a.KeyShown, "%s was shown a key with %s", s.InstanceID(), a.RequestID)
			if a.RequestID == id && !slices.Contains(out, a.Tenant) {
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
	}, poll.WithTimeout(busyTimeout), poll.WithDelay(50*time.Millisecond))
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
		d.expect(c.status, id, func() int {
			resp := d.callWith(n, c.key, c.path, id)
			assert.Check(t, resp.header.Get("Www-Authenticate") == "Token" == (resp.status == http.StatusUnauthorized), id)
			return resp.status
		})
		assert.DeepEqual(t, d.tenantsOf(id), c.tenants)
	}
	d.expect(http.StatusOK, "stream", func() int {
		return d.call(n, http.MethodPost, streamPath+"x", nil, map[string]string{"X-Request-Id": "s1", "X-Deadline-Ms": "9000", "X-Model": model, "Authorization": "token  " + firstKey}).status
	})
	assert.DeepEqual(t, d.tenantsOf("s1"), []string{"first"})
}

// A deployment without customers passes on what callers send.
func TestWithoutCustomersHeadersPass(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	d.expect(http.StatusOK, "r", func() int { return d.callWith(d.daemons[0], firstKey, memberPath+"x", "r").status })
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
		assert.DeepEqual(t, d.tenantsOf(id), []string{"first"})
		if served++; served < 5 {
			return poll.Continue("%d served", served)
		}
		return poll.Success()
	}, poll.WithTimeout(busyTimeout))
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
	d.expect(http.StatusOK, "before", func() int { return send("before") })

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
	d.expect(http.StatusUnauthorized, "waiting", func() int { return send("waiting") })
	d.expect(http.StatusUnauthorized, "after", func() int { return send("after") })
	assert.Equal(t, len(d.tenantsOf("after")), 0)
	d.expect(http.StatusOK, "second", func() int { return d.callWith(n, secondKey, memberPath+"x", "second").status })
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
	}, poll.WithTimeout(busyTimeout))
	d.expect(http.StatusOK, "open", func() int { return d.callWith(d.daemons[0], firstKey, memberPath+"x", "open").status })
	d.expect(http.StatusOK, "public", func() int { return d.callWith(closed, "", "/public/x", "public").status })
	d.store.SetMode(platform.ModeUp)
	d.expect(http.StatusUnauthorized, "unknown", func() int { return d.callWith(d.daemons[0], secondKey, memberPath+"x", "unknown").status })
	d.expect(http.StatusOK, "known", func() int { return d.callWith(closed, firstKey, memberPath+"x", "known").status })
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
	d.expect(http.StatusAccepted, "submission", func() int { return d.submitAs(submitter, d.daemons[0], "job1").Status })
	d.configureKeys(3, secondKey)

	page := d.awaitResults(sibling, d.daemons[1], "job1", 1)
	assert.Assert(t, page.Results[0].Completed() && page.Results[0].Score != "", "%+v", page)
	for _, id := range []string{"item-of-job1", "score-item-of-job1"} {
		assert.DeepEqual(t, d.tenantsOf(id), []string{"first"})
	}
	d.expect(http.StatusAccepted, "a repeated submission with another key", func() int { return d.submitAs(sibling, d.daemons[1], "job1").Status })

	for _, n := range d.daemons {
		for _, c := range []struct {
			client *platform.Client
			status int
		}{{other, http.StatusNotFound}, {submitter, http.StatusUnauthorized}, {d.client(""), http.StatusUnauthorized}} {
			for _, call := range []platform.Call{
				{Method: http.MethodGet, Path: "/api/lots/job1?after=0"}, {Method: http.MethodGet, Path: "/api/items/job1?id=item-of-job1"}, {Method: http.MethodDelete, Path: "/api/lots/job1"},
			} {
				call.Deadline = callTimeout
				d.expect(c.status, call.Method+" "+call.Path, func() int {
					resp := c.client.Send(t.Context(), n.settings.CallerAddress, call)
					assert.NilError(t, resp.Err)
					assert.Equal(t, len(resp.Body), 0)
					return resp.Status
				})
			}
		}
		assert.Equal(t, d.submitAs(other, n, "job1").Status, http.StatusServiceUnavailable, "the id of another customer's job")
	}
	assert.DeepEqual(t, d.awaitResults(sibling, d.daemons[0], "job1", 1), page)
	d.expect(http.StatusOK, "end", func() int {
		return sibling.EndJob(t.Context(), d.daemons[0].settings.CallerAddress, "job1", callTimeout).Status
	})
}

// Guards against a key in the lines that a daemon logs and in what it shows of itself.
func TestKeysAreNotLogged(t *testing.T) {
	d := newDeployment(t, 0)
	var lines bytes.Buffer // of the daemon's log duty, until it has stopped
	d.log = &lines
	n := d.start()
	d.store.PublishConfig(2, []platform.Route{{Name: "members", Host: host, PathPrefix: memberPath, Kind: "safe", Service: "plain", TimeoutMillis: 9000, Attempts: 2}},
		[]platform.Service{{Name: "plain"}}, platform.Tenant{Name: "first", Keys: []string{firstKey}}, platform.Tenant{Name: "other", Keys: []string{firstKey, otherKey}})
	d.awaitConfig(2)
	for key, status := range map[string]int{firstKey: http.StatusOK, secondKey: http.StatusUnauthorized} {
		d.expect(status, key[:2], func() int { return d.callWith(n, key, memberPath+"x", "r-"+key[:2]).status })
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
