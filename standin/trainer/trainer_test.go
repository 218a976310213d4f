package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/front/trainerapi"
	"gotest.tools/v3/assert"
)

// fakeDaemon delivers one step, one group per pull.
type fakeDaemon struct {
	t             *testing.T
	step          trainerapi.OpenStepRequest
	pulls         []uint64 // pull numbers received
	failures      int      // how many of the following requests fail
	repeatsGroups bool     // deliver each group twice
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.failures > 0 {
		d.failures--
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/steps") {
		assert.Check(d.t, json.NewDecoder(r.Body).Decode(&d.step) == nil)
		_, _ = w.Write([]byte(`{}`))
		return
	}
	var request trainerapi.PullRequest
	assert.Check(d.t, json.NewDecoder(r.Body).Decode(&request) == nil)
	d.pulls = append(d.pulls, request.PullNumber)
	response := trainerapi.PullResponse{FromOffset: request.Cursor, NextOffset: request.Cursor + 1, PullNumber: request.PullNumber}
	i := int(request.Cursor)
	if d.repeatsGroups {
		i /= 2
	}
	if i < len(d.step.Groups) {
		g := trainerapi.GroupResponse{Step: d.step.Step, ID: d.step.Groups[i].ID}
		for n := range d.step.Groups[i].N {
			g.Samples = append(g.Samples, trainerapi.SampleResponse{Index: n, Versions: []api.WeightVersion{1}})
		}
		response.Groups = append(response.Groups, g)
	}
	assert.Check(d.t, json.NewEncoder(w).Encode(response) == nil)
}

// runTrainer runs the program against the daemon and returns the printed report.
func runTrainer(t *testing.T, d *fakeDaemon, file string) (report, error) {
	d.t = t
	server := httptest.NewServer(d)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out bytes.Buffer
	c := command()
	c.Writer = &out
	err := c.Run(t.Context(), []string{
		"trainer", "--daemons", address + "," + address, "--trainer", "t", "--customer", "c",
		"--model", "m", "--file", file, "--groups", "3", "--samples", "2",
	})
	var r report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
	return r, err
}

func TestStepIsDeliveredOnceDespiteFailedCalls(t *testing.T) {
	r, err := runTrainer(t, &fakeDaemon{failures: 2}, filepath.Join(t.TempDir(), "journal"))
	assert.NilError(t, err)
	assert.Equal(t, r.Delivered, 6)
	assert.Equal(t, r.Missing, 0)
	assert.Equal(t, r.FailedCalls, 2)
}

func TestDuplicatesAreReported(t *testing.T) {
	r, err := runTrainer(t, &fakeDaemon{repeatsGroups: true}, filepath.Join(t.TempDir(), "journal"))
	assert.Equal(t, api.CodeOf(err), api.CodeInternal)
	assert.Equal(t, r.Delivered, 6)
	assert.Assert(t, r.Duplicated > 0)
}

// A trainer that is killed while it writes leaves an incomplete last line. The next
// run must ignore it and continue with the cursor and pull number before it.
func TestRestartContinuesAfterIncompleteLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "journal")
	lines := `{"pull":41}
{"cursor":1,"used":[{"step":"step-00000","group":"group-0000","index":0},{"step":"step-00000","group":"group-0000","index":1}]}
{"pull":42}
{"cursor":2,"used":[{"st`
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	d := &fakeDaemon{}
	r, err := runTrainer(t, d, file)
	assert.NilError(t, err)
	assert.Equal(t, r.Delivered, 6)
	assert.Equal(t, r.Duplicated, 0)
	assert.DeepEqual(t, d.pulls, []uint64{43, 44, 45})
}
