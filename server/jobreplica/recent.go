package jobreplica

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dotterelmount.example/lib/batch"
)

const (
	recentDuration = 2 * time.Minute // for which crashes and demands count at most
	maxRecent      = 4096            // records
)

// recentRecords are the records that don't change the state but count for a time. A daemon
// that starts from a checkpoint doesn't read them in the journal.
type recentRecords struct {
	newest map[string]recentRecord // by what they replace
	count  int                     // records added
}

type recentRecord struct {
	number int
	at     time.Time // zero: it counts until it is replaced
	record batch.Record
}

func newRecentRecords() recentRecords { return recentRecords{newest: make(map[string]recentRecord)} }

// add adds a record if it is one of these.
func (l *recentRecords) add(r batch.Record, now time.Time) {
	var key string
	var at time.Time
	switch r := r.(type) {
	case *batch.RequestCrashed:
		key, at = "crash/"+strconv.Itoa(l.count), now
	case *batch.DemandReported:
		key, at = "demand/"+string(r.Daemon), now
	case *batch.RequestLimitNamed:
		key = "limit/" + string(r.Upstream)
	case *batch.UpstreamLeaving:
		key = "leaving/" + string(r.Upstream)
	case *batch.UpstreamRemoved:
		delete(l.newest, "limit/"+string(r.Upstream))
		delete(l.newest, "leaving/"+string(r.Upstream))
		return
	default:
		return
	}
	l.count++
	l.newest[key] = recentRecord{number: l.count, at: at, record: r}
	if len(l.newest) >= 2*maxRecent {
		l.prune(now)
	}
}

// prune forgets old records, and the oldest ones beyond maxRecent.
func (l *recentRecords) prune(now time.Time) {
	kept := l.sorted(now)
	l.newest = make(map[string]recentRecord, len(kept))
	for _, k := range kept {
		l.newest[k.key] = k.recentRecord
	}
}

type keyedRecent struct {
	recentRecord
	key string
}

// sorted returns the records that still count, the oldest first.
func (l *recentRecords) sorted(now time.Time) []keyedRecent {
	var out []keyedRecent
	for key, r := range l.newest {
		if r.at.IsZero() || now.Sub(r.at) < recentDuration {
			out = append(out, keyedRecent{r, key})
		}
	}
	slices.SortFunc(out, func(a, b keyedRecent) int { return cmp.Compare(a.number, b.number) })
	return out[max(0, len(out)-maxRecent):]
}

// list returns the records that still count, the oldest first, and forgets the others.
func (l *recentRecords) list(now time.Time) []batch.Record {
	l.prune(now)
	var out []batch.Record
	for _, r := range l.sorted(now) {
		out = append(out, r.record)
	}
	return out
}
