package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// A run that makes no progress must end although its server sends bytes now and then:
// only events count. Its item is completed by another server.
func TestCommentsDoNotKeepStalledRunAlive(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	var stalled atomic.Int32
	d.models[0].Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		if !strings.HasPrefix(id, "job1-") {
			return false
		}
		stalled.Add(1)
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Signature", "signed-"+id)
		w.Header().Set("X-Weight-Versions", "1")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", platform.EventData(platform.FirstSoftware, id, 1))
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ": still here\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		return true
	}
	assert.Equal(t, d.submit(d.daemons[0], "job1", 6, 1).status, http.StatusAccepted)
	begin := time.Now()
	d.checkTexts(d.results(d.daemons[0], "job1", 12))
	assert.Assert(t, stalled.Load() > 0, "no run reached the stalled server")
	assert.Assert(t, time.Since(begin) < 10*time.Second)
}

// A run that is slow but sound is not cut: its events come late, each within the time
// limit between two events.
func TestSlowSoundRunIsNotCut(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 6, runnerConfig.EventTimeout*7/10
	}
	assert.Equal(t, d.submit(d.daemons[0], "job1", 1, 1).status, http.StatusAccepted)
	got := d.results(d.daemons[0], "job1", 2)
	d.checkTexts(got)
	for _, r := range got.Results {
		runs := 0
		for _, m := range d.models {
			runs += m.RunCount(r.ID)
		}
		assert.Equal(t, runs, 1, "%s ran again", r.ID)
	}
}
