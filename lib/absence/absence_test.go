package absence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAbsenceNeedsALaterRead(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	var tracker Tracker[string]
	assert.Equal(t, len(tracker.Confirm([]string{"a"}, at(9), at(10))), 0, "the view is older than the key")
	assert.Equal(t, len(tracker.Confirm([]string{"a", "b"}, at(9), at(30))), 0, "time alone confirms nothing")
	assert.Equal(t, len(tracker.Confirm([]string{"a", "b"}, at(10), at(31))), 0, "the read may have begun before the key was seen")
	assert.DeepEqual(t, tracker.Confirm([]string{"a", "b", "a"}, at(20), at(32)), []string{"a"})
	assert.DeepEqual(t, tracker.Confirm([]string{"b"}, at(31), at(33)), []string{"b"})
	assert.Equal(t, len(tracker.Confirm([]string{"a"}, at(31), at(34))), 0, "found in between")
}
