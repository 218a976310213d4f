// Package absence decides when something that a view lacks does not exist. A view is read
// from time to time and may be older than the one on which another process has acted, so
// that what the other has seen is missing only here. The package does no I/O.
package absence

import "time"

// Tracker remembers since when each key is missing from a view. The zero value is ready to
// use. It is not safe for concurrent use.
type Tracker[K comparable] struct{ missingSince map[K]time.Time }

// Confirm returns those of the keys missing now that were already missing when the read of
// the view began, at readAt. Whatever another process had seen before it mentioned such a
// key is older than that read. Keys that are not missing any more are forgotten.
func (t *Tracker[K]) Confirm(missing []K, readAt, now time.Time) []K {
	since := make(map[K]time.Time, len(missing))
	var confirmed []K
	for _, k := range missing {
		if _, ok := since[k]; ok {
			continue
		}
		since[k] = now
		if at, ok := t.missingSince[k]; ok {
			since[k] = at
		}
		if readAt.After(since[k]) {
			confirmed = append(confirmed, k)
		}
	}
	t.missingSince = since
	return confirmed
}
