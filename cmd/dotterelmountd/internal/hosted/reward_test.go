package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// scoredItem returns an item with a scorer on the route of the plain service.
func scoredItem(id string) platform.Item {
	item := platform.NewItem(id, batchPath+"x", model, id)
	item.Scorer = &platform.Scorer{ID: "score-" + id, Host: host, Path: memberPath + "score?x=1", Body: []byte("text of " + id)}
	return item
}

func (d *deployment) submitScored(n *Node, id string, items int) response {
	d.t.Helper()
	j := platform.Job{ID: id, Model: model, MinVersion: 1, TargetGroups: items}
	for i := range items {
		j.Items = append(j.Items, scoredItem(fmt.Sprintf("%s-%d", id, i)))
	}
	data, err := json.Marshal(j)
	assert.NilError(d.t, err)
	return d.call(n, http.MethodPost, batchPath+id, data, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"})
}

// checkScores checks that each result has the signature of its reward call, and that
// no reward call started before its item's last event.
func (d *deployment) checkScores(got platform.ResultPage) {
	d.t.Helper()
	lastEvent := make(map[string]time.Time)
	for _, m := range d.models {
		for _, a := range m.Arrivals() {
			lastEvent[a.RequestID] = a.StartedAt.Add(time.Duration(len(a.EventVersions)-1) * m.EventInterval)
		}
	}
	for _, r := range got.Results {
		assert.Equal(d.t, r.Score, "signed-score-"+r.ID)
		for _, p := range d.plain {
			for _, a := range p.Arrivals() {
				if a.RequestID == "score-"+r.ID {
					assert.Assert(d.t, a.StartedAt.After(lastEvent[r.ID]), "%s was scored before its text was complete", r.ID)
				}
			}
		}
	}
}

func TestResultsHaveTheirScores(t *testing.T) {
	d := newDeployment(t, 3)
	defer d.stopAll()
	var requests atomic.Int32
	for _, p := range d.plain {
		p.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			if strings.HasPrefix(r.Header.Get("X-Request-Id"), "score-") {
				requests.Add(1)
				assert.Check(t, r.Method == http.MethodPost && r.RequestURI == memberPath+"score?x=1" && r.Host == host, "%s %s %s", r.Method, r.RequestURI, r.Host)
				assert.Check(t, r.Header.Get("X-Deadline-Ms") != "")
				assert.Check(t, r.ContentLength == int64(len("text of "+strings.TrimPrefix(r.Header.Get("X-Request-Id"), "score-"))))
			}
			return false
		}
	}
	assert.Equal(t, d.submitScored(d.daemons[0], "job1", 10).status, http.StatusAccepted)
	got := d.results(d.daemons[1], "job1", 10)
	d.checkTexts(got)
	d.checkScores(got)
	assert.Equal(t, requests.Load(), int32(10))
	for _, n := range d.daemons {
		assert.DeepEqual(t, d.results(n, "job1", 10), got)
	}
}

// Failures of upstreams other than a response of 500 are repeated until there is a score.
func TestScoresSurviveFaultsOfUpstreams(t *testing.T) {
	for name, fault := range map[string]platform.Fault{
		"busy": platform.FaultBusy, "silent": platform.FaultHang, "lost": platform.FaultLose, "garbled": platform.FaultGarble, "cut": platform.FaultCut,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2)
			defer d.stopAll()
			for _, p := range d.plain {
				p.SetFault(fault)
			}
			assert.Equal(t, d.submitScored(d.daemons[0], "job1", 4).status, http.StatusAccepted)
			time.Sleep(1500 * time.Millisecond)
			for _, p := range d.plain {
				p.SetFault(platform.FaultNone)
			}
			got := d.results(d.daemons[1], "job1", 4)
			d.checkTexts(got)
			d.checkScores(got)
		})
	}
}

// An item whose reward call always fails is errored after the route's attempts. One more
// call may be made before the record of the last failure is read back.
func TestItemIsErroredWhenItsRewardFails(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	for _, p := range d.plain {
		p.SetFault(platform.FaultFail)
	}
	assert.Equal(t, d.submitScored(d.daemons[0], "job1", 2).status, http.StatusAccepted)
	got := d.results(d.daemons[1], "job1", 2)
	for _, r := range got.Results {
		assert.Equal(t, r.State, "errored")
		assert.Equal(t, r.Score, "")
		runs := 0
		for _, p := range d.plain {
			runs += p.RunCount("score-" + r.ID)
		}
		const attempts = 3 // of both routes
		assert.Assert(t, runs >= attempts && runs <= attempts+1, "%d reward calls", runs)
	}
}

// The reward calls of a killed daemon are made by the others.
func TestRewardsOfKilledDaemonAreTakenOver(t *testing.T) {
	d := newDeployment(t, 2)
	for _, p := range d.plain {
		p.SetFault(platform.FaultBusy)
	}
	assert.Equal(t, d.submitScored(d.daemons[0], "job1", 6).status, http.StatusAccepted)
	time.Sleep(time.Second) // the texts are complete
	d.kill(d.daemons[0])
	d.daemons = d.daemons[1:]
	defer d.stopAll()
	for _, p := range d.plain {
		p.SetFault(platform.FaultNone)
	}
	got := d.results(d.daemons[0], "job1", 6)
	d.checkTexts(got)
	d.checkScores(got)
}

// An ended job gets no further reward calls.
func TestEndedJobIsNotScored(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, p := range d.plain {
		p.SetFault(platform.FaultBusy)
	}
	assert.Equal(t, d.submitScored(d.daemons[0], "job1", 3).status, http.StatusAccepted)
	time.Sleep(time.Second)
	assert.Equal(t, d.call(d.daemons[0], http.MethodDelete, "/api/lots/job1", nil, nil).status, http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	for _, p := range d.plain {
		p.SetFault(platform.FaultNone)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, p := range d.plain {
		for i := range 3 {
			assert.Equal(t, p.RunCount(fmt.Sprint("score-job1-", i)), 0)
		}
	}
}

func TestMalformedScorerIsRefused(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for name, scorer := range map[string]string{
		"no path": `{"id":"r","host":"h","body":""}`, "no id": `{"host":"h","path":"/x"}`, "body": `{"id":"r","host":"h","path":"/x","body":"%"}`, "type": `7`,
	} {
		body := fmt.Sprintf(`{"model":%q,"items":[{"id":"i","path":%q,"headers":{},"body":"","scorer_url":%s}]}`, model, batchPath+"x", scorer)
		got := d.call(d.daemons[0], http.MethodPost, batchPath+"bad", []byte(body), map[string]string{"X-Request-Id": "bad", "X-Deadline-Ms": "1000"})
		assert.Equal(t, got.status, http.StatusBadRequest, name)
	}
	assert.Equal(t, d.call(d.daemons[0], http.MethodGet, "/api/lots/bad", nil, nil).status, http.StatusNotFound)
}

// Guards against an item that waits for its score long after upstreams crashed in series
// under its reward call.
func TestRewardCallRunsAfterCrashesInSeries(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	var crashed atomic.Int32
	for _, p := range d.plain {
		p.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			if strings.HasPrefix(r.Header.Get("X-Request-Id"), "score-") && crashed.Add(1) <= 12 {
				p.Restart(400*time.Millisecond, p.InstanceID())
				panic(http.ErrAbortHandler)
			}
			return false
		}
	}
	assert.Equal(t, d.submitScored(d.daemons[0], "job1", 2).status, http.StatusAccepted)
	got := d.results(d.daemons[1], "job1", 2)
	d.checkScores(got)
	assert.Assert(t, crashed.Load() > 12)
}
