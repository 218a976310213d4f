package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quarantine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	killer    = 1
	bystander = 2
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func loss(u api.UpstreamID, seconds float64) quarantine.Loss {
	return quarantine.Loss{Upstream: u, At: at(seconds)}
}

func TestContentIsRefusedAfterThreeLosses(t *testing.T) {
	c := quarantine.NewContents(0)
	for n, u := range []api.UpstreamID{"a", "b", "a"} {
		_, ok := c.Admit(killer, at(5*float64(n)))
		assert.Assert(t, ok, "loss %d", n)
		c.Add(killer, loss(u, 5*float64(n)))
	}
	wait, ok := c.Admit(killer, at(10))
	assert.Assert(t, !ok)
	assert.Equal(t, wait, quarantine.EvidenceDelay, "others' losses may still excuse it")
	wait, ok = c.Admit(killer, at(13))
	assert.Assert(t, !ok)
	assert.Equal(t, wait, quarantine.FirstRefusal-3*time.Second)
}

// Requests that run beside one that crashes upstreams are lost with them as often as they are
// repeated there.
func TestBystanderOfCrashesIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := quarantine.NewContents(0)
		n := rapid.IntRange(quarantine.RefusalStrikes, 6).Draw(t, "crashes")
		shared := rapid.IntRange(0, n-1).Draw(t, "shared")
		for i := range n {
			l := loss(api.UpstreamID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "upstream"))), 5*float64(i))
			c.Add(killer, l)
			if i < shared {
				l.At = l.At.Add(time.Duration(rapid.IntRange(-900, 900).Draw(t, "apart")) * time.Millisecond)
				c.Add(bystander, l)
			}
		}
		_, ok := c.Admit(killer, at(5*float64(n)))
		assert.Assert(t, !ok)
		_, ok = c.Admit(bystander, at(5*float64(n)))
		assert.Assert(t, ok)
	})
}

// With equally many losses neither is known as the cause: both run once more, and only then
// are both refused.
func TestContentsLostTogetherRunOnceMore(t *testing.T) {
	c := quarantine.NewContents(0)
	for n := range quarantine.RefusalStrikes {
		c.Add(killer, loss("a", 5*float64(n)))
		c.Add(bystander, loss("a", 5*float64(n)))
	}
	_, ok := c.Admit(killer, at(15))
	assert.Assert(t, ok)
	_, ok = c.Admit(bystander, at(15))
	assert.Assert(t, ok)
	c.Add(killer, loss("b", 20))
	_, ok = c.Admit(killer, at(23))
	assert.Assert(t, !ok)
	_, ok = c.Admit(bystander, at(23))
	assert.Assert(t, ok, "its losses are explained now")
	c.Clear(bystander)
	for n := range quarantine.RefusalStrikes + 1 {
		c.Add(bystander, loss("c", 100+5*float64(n)))
		c.Add(3, loss("c", 100+5*float64(n)))
	}
	_, ok = c.Admit(bystander, at(120))
	assert.Assert(t, !ok, "two contents don't excuse each other for good")
}

// Upstreams that fail one after another take the request along that is repeated on them.
func TestLossInSeriesIsExcusedOnce(t *testing.T) {
	c := quarantine.NewContents(0)
	for n, u := range []api.UpstreamID{"a", "b", "c"} {
		c.Add(bystander, loss(u, float64(n)/10))
	}
	c.Add(10, loss("d", 0.3))
	c.Add(11, loss("e", 0.4))
	_, ok := c.Admit(bystander, at(5))
	assert.Assert(t, ok)
	c.Add(bystander, loss("f", 0.5))
	_, ok = c.Admit(bystander, at(5))
	assert.Assert(t, !ok)
}

func TestTrialsAfterRefusalRunSingly(t *testing.T) {
	early, late := quarantine.NewContents(0), quarantine.NewContents(0.5)
	for _, c := range []*quarantine.Contents{early, late} {
		for n := range quarantine.RefusalStrikes {
			c.Add(killer, loss("a", -5*float64(n)))
		}
	}
	end := quarantine.FirstRefusal.Seconds()
	_, ok := early.Admit(killer, at(end))
	assert.Assert(t, ok)
	wait, ok := early.Admit(killer, at(end))
	assert.Assert(t, !ok, "a trial runs")
	assert.Equal(t, wait, quarantine.TrialInterval)
	_, ok = late.Admit(killer, at(end))
	assert.Assert(t, !ok, "another daemon's trial comes first")
	early.Add(killer, loss("b", end))
	wait, ok = early.Admit(killer, at(end))
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 2*quarantine.FirstRefusal)
}

func TestWithdrawnLossesDoNotCount(t *testing.T) {
	c := quarantine.NewContents(0)
	for n := range quarantine.RefusalStrikes {
		c.Add(bystander, loss("a", 5*float64(n)))
	}
	c.Withdraw(bystander, loss("a", 5))
	_, ok := c.Admit(bystander, at(15))
	assert.Assert(t, ok)
	c.Withdraw(bystander, loss("a", 0))
	c.Withdraw(bystander, loss("a", 10))
	assert.Assert(t, !c.Known(bystander))
}

func TestContentExpires(t *testing.T) {
	c := quarantine.NewContents(1)
	c.Add(bystander, loss("a", 0))
	c.Expire(at(quarantine.FirstRefusal.Seconds()))
	assert.Assert(t, c.Known(bystander))
	c.Expire(at(quarantine.FirstRefusal.Seconds() + 1))
	assert.Assert(t, !c.Known(bystander))
}

// An owed request is never refused, and the pause before it runs again is bounded.
func TestPauseIsBounded(t *testing.T) {
	assert.Equal(t, quarantine.Pause(0), time.Duration(0))
	assert.Equal(t, quarantine.Pause(1), time.Duration(0))
	for n := 2; n < 100; n++ {
		p := quarantine.Pause(n)
		assert.Assert(t, p > 0 && p >= quarantine.Pause(n-1) && p <= 3*time.Second, "%d: %s", n, p)
	}
}
