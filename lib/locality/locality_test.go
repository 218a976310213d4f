package locality

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var policy = Policy{MinGain: 0.2, LeaseExcess: 1.5}

const target = 150 * time.Millisecond

func TestRequestLeavesOnlyForAGain(t *testing.T) {
	assert.Assert(t, !policy.Leaves(50*time.Millisecond, 25*time.Millisecond, target), "callers don't notice the difference")
	assert.Assert(t, policy.Leaves(100*time.Millisecond, 25*time.Millisecond, target))
	assert.Assert(t, !policy.Leaves(0, 25*time.Millisecond, target), "nothing says that it is slow here")
}

func TestExpectedTimeCountsWhatIsUnderWay(t *testing.T) {
	assert.Equal(t, Expected(20*time.Millisecond, 0, 6), 20*time.Millisecond)
	assert.Equal(t, Expected(20*time.Millisecond, 6, 6), 40*time.Millisecond)
	assert.Equal(t, Expected(0, 6, 6), time.Duration(0))
}

// play sends requests at a rate to two upstreams, one here and one elsewhere, that work on
// slots requests at a time for a millisecond each. It returns the shares that left and that
// took longer than the latency target.
func play(p Policy, perMilli, slots, millis int) (left, late float64) {
	var backlogHere, backlogThere float64 // milliseconds of work waiting
	total, sent, slow := 0, 0, 0
	for range millis {
		for range perMilli {
			total++
			const crossing = 2.0
			here, there := backlogHere+1, backlogThere+1+crossing
			took := here
			if p.Leaves(time.Duration(here*1e6), time.Duration(there*1e6), target) {
				sent++
				took = there
				backlogThere += 1 / float64(slots)
			} else {
				backlogHere += 1 / float64(slots)
			}
			if took > float64(target.Milliseconds()) {
				slow++
			}
		}
		backlogHere, backlogThere = max(0, backlogHere-1), max(0, backlogThere-1)
	}
	return float64(sent) / float64(total), float64(slow) / float64(total)
}

// The surplus of a data centre leaves it, and nothing else.
func TestOnlyTheSurplusLeaves(t *testing.T) {
	left, late := play(policy, 4, 6, 5000)
	assert.Equal(t, left, 0.0, "there is room here")
	assert.Equal(t, late, 0.0)
	left, late = play(policy, 9, 6, 5000)
	assert.Assert(t, left > 0.30 && left < 0.37, "a third is too much here: %v", left)
	assert.Equal(t, late, 0.0)
	_, late = play(Policy{MinGain: 1e9}, 9, 6, 5000)
	assert.Assert(t, late > 0.9, "without leaving: %v", late)
}

// Neither data centre's load changes the preference for the nearer of two daemons that are
// equally loaded, and no daemon is preferred beyond the excess.
func TestHolderIsChosenByLoadWithinTheExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := rapid.IntRange(1, 50).Draw(t, "near"), rapid.IntRange(1, 50).Draw(t, "far")
		capacity := rapid.IntRange(100, 1000).Draw(t, "capacity")
		takesNear := policy.HolderLoad(near, capacity, true) < policy.HolderLoad(far, capacity, false)
		assert.Equal(t, takesNear, float64(near) < 1.5*float64(far))
	})
	assert.Equal(t, Policy{}.HolderLoad(2, 4, true), Policy{}.HolderLoad(2, 4, false))
}
