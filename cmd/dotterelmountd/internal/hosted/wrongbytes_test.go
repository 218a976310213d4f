package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// spoil makes the first response to each request whose id begins with prefix end after two
// events with wrong bytes, after which the connection is closed.
func (d *deployment) spoil(prefix, wrong string) *requestCounts {
	sends := &requestCounts{}
	for _, s := range d.models {
		s.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			if !strings.HasPrefix(id, prefix) || sends.next(id) > 1 {
				return false
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Response-Signature", "signed-"+id)
			w.Header().Set("X-Weight-Versions", fmt.Sprint(s.WeightVersion(model)))
			for n := 1; n <= 2; n++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, platform.EventData(s.Software(), id, n))
			}
			_, _ = fmt.Fprint(w, wrong)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	return sends
}

const crashText = "panic: runtime error: index out of range [5] with length 5\n\n"

// Guards against completed items whose text lacks an event, since a crash's text after the
// event's id counted as the event (review/14).
func TestCrashTextIsNoEventOfItem(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	d.spoil("job1-", "id: 3\n"+crashText)
	assert.Equal(t, d.submit(d.daemons[0], "job1", 3, 1).status, http.StatusAccepted)
	d.checkTexts(d.results(d.daemons[0], "job1", 6))
}

// Guards against streams that lack an event and end as complete, since a crash's text between
// two events counted as one and the stream was resumed after it (review/15).
func TestCrashTextIsNoEventOfStream(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	for _, m := range d.models {
		m.EventsPerItem = 5
	}
	sends := d.spoil("s1", crashText)
	resp := d.call(d.daemons[0], http.MethodPost, streamPath+"x", []byte("hello"), map[string]string{"X-Request-Id": "s1", "X-Deadline-Ms": "5000", "X-Model": model})
	assert.Equal(t, resp.status, http.StatusOK)
	var want strings.Builder
	for n := 1; n <= 5; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, platform.EventData(platform.FirstSoftware, "s1", n))
	}
	assert.Equal(t, resp.body, want.String())
	assert.Equal(t, sends.next("s1"), 3, "one run, and one that resumed it")
}
