package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLateRequestsAreTakenOnlyIfTheyEndBeforeTheStop(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	stop := &Plan{TakeAllUntil: at(102), End: at(107)}
	for name, c := range map[string]struct {
		plan          *Plan
		now, deadline time.Time
		want          bool
	}{
		"not stopping":                {nil, at(103), at(200), true},
		"early":                       {stop, at(101), at(200), true},
		"late, and may outlast":       {stop, at(102), at(108), false},
		"late, and ends in time":      {stop, at(106), at(107), true},
		"after the end, and outlasts": {stop, at(108), at(109), false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.plan.Takes(c.now, c.deadline), c.want) })
	}
}
