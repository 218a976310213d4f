package checkpoint_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/journal"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// topic keeps the newest record of each key.
type topic map[string][]byte

func (t topic) apply(records []journal.KeyedRecord) {
	for _, r := range records {
		t[r.Key] = r.Value
		if len(r.Value) == 0 {
			delete(t, r.Key)
		}
	}
}

func (t topic) records() []journal.KeyedRecord {
	var out []journal.KeyedRecord
	for key, v := range t {
		out = append(out, journal.KeyedRecord{Key: key, Value: v})
	}
	return out
}

// Guards against a checkpoint that is read as whole though a daemon died while it wrote
// it: after any number of its records, the one before counts, then this one. Parts that no
// checkpoint names are deleted.
func TestCheckpointCountsOnlyWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := topic{}
		var head *checkpoint.Head
		var want []byte
		for n := range rapid.IntRange(1, 6).Draw(t, "checkpoints") {
			data := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "data")
			limit := rapid.IntRange(20, 200).Draw(t, "limit")
			records, next, err := checkpoint.Split(head, journal.Offset(n+1), data, limit)
			assert.NilError(t, err)
			for _, r := range records[:len(records)-1] {
				assert.Assert(t, len(r.Key)+len(r.Value)+1 <= limit)
			}
			records = append(checkpoint.Surplus(checkpoint.Keys(nil, stored.records()), next), records...)
			cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
			stored.apply(records[:cut])
			got, read, err := checkpoint.Join(stored.records())
			if cut < len(records) {
				if head == nil {
					var missing *checkpoint.MissingError
					assert.Assert(t, errors.As(err, &missing))
					continue
				}
				assert.NilError(t, err)
				assert.DeepEqual(t, read, want)
				continue // the next writer follows the same head
			}
			assert.NilError(t, err)
			assert.Equal(t, got, next)
			assert.DeepEqual(t, read, data)
			head, want = &next, data
		}
	})
}

func TestDamagedCheckpointsAreRefused(t *testing.T) {
	whole := topic{}
	records, _, err := checkpoint.Split(nil, 7, bytes.Repeat([]byte("x"), 100), 40)
	assert.NilError(t, err)
	whole.apply(records)
	for name, spoil := range map[string]func(topic){
		"part missing":   func(t topic) { delete(t, "a/1") },
		"part cut":       func(t topic) { t["a/0"] = t["a/0"][:3] },
		"part differs":   func(t topic) { t["a/0"] = bytes.Repeat([]byte("y"), len(t["a/0"])) },
		"head cut":       func(t topic) { t["head"] = t["head"][:9] },
		"negative parts": func(t topic) { t["head"] = []byte(`{"parts":-1}`) },
		"endless parts":  func(t topic) { t["head"] = []byte(`{"parts":1000000000}`) },
	} {
		stored := topic{}
		stored.apply(whole.records())
		spoil(stored)
		_, _, err := checkpoint.Join(stored.records())
		var damaged *checkpoint.DamagedError
		assert.Assert(t, errors.As(err, &damaged), "%s: %v", name, err)
	}
	_, _, err = checkpoint.Split(nil, 7, make([]byte, 1<<16), 20)
	var tooLarge *checkpoint.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge))
}

func TestAppendsAreLimited(t *testing.T) {
	records := []journal.KeyedRecord{{Key: "a", Value: make([]byte, 94)}, {Key: "b", Value: make([]byte, 94)}, {Key: "c", Value: make([]byte, 500)}}
	assert.Equal(t, checkpoint.Batch(records, 200), 2)
	assert.Equal(t, checkpoint.Batch(records, 199), 1)
	assert.Equal(t, checkpoint.Batch(records[2:], 199), 1)
	assert.Equal(t, checkpoint.Batch(records, 1000), 3)
}

func FuzzJoin(f *testing.F) {
	f.Add([]byte(`{"next":1,"slot":"a","parts":1,"bytes":1,"hash":"1"}`), []byte("x"))
	f.Fuzz(func(t *testing.T, head, part []byte) {
		_, data, err := checkpoint.Join([]journal.KeyedRecord{{Key: "head", Value: head}, {Key: "a/0", Value: part}})
		var damaged *checkpoint.DamagedError
		var missing *checkpoint.MissingError
		assert.Assert(t, err == nil || errors.As(err, &damaged) || errors.As(err, &missing), "%v %v", data, err)
	})
}

func members(now time.Time, daemons map[api.DaemonID]batch.Daemon) checkpoint.Members {
	m := checkpoint.Members{Daemons: daemons, Live: make(map[api.DaemonID]bool), LastRenewals: make(map[api.DaemonID]time.Time)}
	for id := range daemons {
		m.Live[id], m.LastRenewals[id] = true, now
	}
	return m
}

func TestOldestLiveProcessWrites(t *testing.T) {
	now := time.Unix(1000, 0)
	p := checkpoint.Policy{Interval: 10 * time.Second}
	m := members(now, map[api.DaemonID]batch.Daemon{
		"a": {StartMillis: 30, ImageLevel: 1}, "b": {StartMillis: 20, ImageLevel: 1}, "c": {StartMillis: 10}, "d": {StartMillis: 5, ImageLevel: 2},
	})
	assert.Equal(t, p.Writer(m), api.DaemonID("b"), "c writes none, d writes what the others can't read")
	assert.Assert(t, p.Due("b", m, now.Add(-10*time.Second), now))
	assert.Assert(t, !p.Due("b", m, now.Add(-9*time.Second), now))
	assert.Assert(t, !p.Due("a", m, now.Add(-time.Hour), now))
	m.Live["b"] = false
	assert.Equal(t, p.Writer(m), api.DaemonID("a"))
	assert.Equal(t, p.Writer(checkpoint.Members{}), api.DaemonID(""))
	assert.Assert(t, !checkpoint.Policy{}.Due("a", m, time.Time{}, now))
}

// Guards against a second state beside the first: whoever has renewed lately may have it.
func TestResetOnlyAfterSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	p := checkpoint.Policy{Silence: 40 * time.Second}
	assert.Assert(t, p.MayReset(checkpoint.Members{}, now.Add(-40*time.Second), now))
	assert.Assert(t, !p.MayReset(checkpoint.Members{}, now.Add(-39*time.Second), now))
	m := members(now.Add(-39*time.Second), map[api.DaemonID]batch.Daemon{"old": {}})
	assert.Assert(t, !p.MayReset(m, now.Add(-time.Hour), now))
	m.LastRenewals["old"] = now.Add(-40 * time.Second)
	assert.Assert(t, p.MayReset(m, now.Add(-time.Hour), now))
}
