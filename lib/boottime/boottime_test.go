package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNowAdvancesAsTheSteadyClock(t *testing.T) {
	before, start := Now(), time.Now()
	<-time.After(20 * time.Millisecond)
	took := Now() - before
	assert.Assert(t, took >= 19*time.Millisecond && took <= time.Since(start)+time.Millisecond, "%v", took)
}
