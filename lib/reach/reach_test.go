package reach

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testConfig = Config{
	FailureLimit: 2, Probes: 4, MinProbes: 2, Stagger: 50 * time.Millisecond, RoundInterval: 2 * time.Second, CutOffInterval: 500 * time.Millisecond,
}

func listed(n int) []*directory.Upstream {
	var out []*directory.Upstream
	for i := range n {
		out = append(out, &directory.Upstream{ID: api.UpstreamID(fmt.Sprint("u", i))})
	}
	return out
}

// links is a simulation of a daemon's links on a simulated clock.
type links struct {
	*Tracker
	now    time.Time
	probes int
}

func newLinks() *links { return &links{Tracker: NewTracker(testConfig), now: time.Unix(1000, 0)} }

// advance plays a duration in steps of 50 ms; a probe takes one step.
func (l *links) advance(d time.Duration, upstreams []*directory.Upstream, up bool) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(50 * time.Millisecond) {
		for range l.NextProbes(upstreams, l.now) {
			l.probes++
			l.ProbeEnded(up)
		}
	}
}

func TestDaemonWithoutAnyLinkIsCutOffUntilItConnects(t *testing.T) {
	l := newLinks()
	l.Observe(Unresponsive, l.now)
	assert.Equal(t, l.State(), Reachable, "one upstream may be down")
	l.Observe(ConnectFailed, l.now)
	assert.Equal(t, l.State(), Suspected)
	l.advance(time.Second, listed(14), false)
	assert.Equal(t, l.State(), CutOff)
	l.Observe(Responded, l.now)
	assert.Equal(t, l.State(), CutOff, "open connections may live on")
	l.advance(testConfig.CutOffInterval+250*time.Millisecond, listed(14), true)
	assert.Equal(t, l.State(), Reachable)
	assert.Assert(t, l.Calm())
}

func TestSoundDaemonProbesOneUpstreamARound(t *testing.T) {
	l := newLinks()
	for range 100 {
		l.Observe(ConnectFailed, l.now)
		l.advance(100*time.Millisecond, listed(14), true)
		assert.Equal(t, l.State(), Reachable)
	}
	assert.Assert(t, l.probes <= 5, "%d probes in ten seconds", l.probes)
}

func TestTimeoutsBetweenResponsesAreNoCutOff(t *testing.T) {
	l := newLinks()
	for range 10 {
		l.Observe(Unresponsive, l.now)
		l.Observe(Responded, l.now)
	}
	assert.Equal(t, l.State(), Reachable)
	l.Observe(ConnectFailed, l.now)
	l.Observe(Responded, l.now)
	l.Observe(ConnectFailed, l.now)
	assert.Equal(t, l.State(), Suspected, "new connections fail while open ones live on")
}

func TestSingleUpstreamProvesNothing(t *testing.T) {
	l := newLinks()
	l.Observe(ConnectFailed, l.now)
	l.Observe(ConnectFailed, l.now)
	l.advance(5*time.Second, listed(1), false)
	assert.Equal(t, l.State(), Reachable)
}

// Whatever comes before, a daemon whose probes succeed is reachable within two rounds, and
// one whose probes fail is cut off after two further failures.
func TestStateFollowsTheLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLinks()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "observe") {
				l.Observe(Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), l.now)
			}
			l.advance(50*time.Millisecond, listed(rapid.IntRange(0, 6).Draw(t, "listed")), rapid.Bool().Draw(t, "up"))
		}
		l.advance(3*time.Second, listed(5), true)
		assert.Equal(t, l.State(), Reachable)
		l.Observe(ConnectFailed, l.now)
		l.Observe(ConnectFailed, l.now)
		l.advance(time.Second, listed(5), false)
		assert.Equal(t, l.State(), CutOff)
	})
}
