package logbook

import (
	"encoding/json"
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/recordcodec"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// logMachine drives several followers over one log that forgets its front.
// The reference folds every record from the first one on.
type logMachine struct {
	entries   []eventlog.Entry // all ever appended
	oldest    api.Offset
	reference *ledger.ConfigFSM
	images    []string // the reference's state after each offset
	followers []*streamState
	last      []ledger.State // the newest state each follower had in force
}

const machineFollowers = 3

func newLogMachine() *logMachine {
	m := &logMachine{oldest: 1, reference: ledger.NewConfigFSM(), last: make([]ledger.State, machineFollowers)}
	m.images = append(m.images, m.image(m.reference))
	for range machineFollowers {
		m.followers = append(m.followers, newConfigFollower())
	}
	return m
}

func newConfigFollower() *streamState {
	return &streamState{fold: ledger.NewConfigFSM(), restore: restoreConfig}
}

func (m *logMachine) image(c *ledger.ConfigFSM) string {
	raw, err := json.Marshal(c.Image())
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func (m *logMachine) append(id api.RecordID, body api.RecordBody) {
	payload, err := recordcodec.Encode(api.Record{ID: id, Body: body})
	if err != nil {
		panic(err)
	}
	offset := api.Offset(len(m.entries) + 1)
	m.entries = append(m.entries, eventlog.Entry{
		Offset: offset, TimeMillis: int64(offset), Record: eventlog.Record{ID: id, Payload: payload},
	})
	m.reference.Apply(offset, int64(offset), api.Record{ID: id, Body: body})
	m.images = append(m.images, m.image(m.reference))
}

func (m *logMachine) between(from, limit int) []eventlog.Entry {
	start := min(max(from, int(m.oldest))-1, len(m.entries))
	return m.entries[start:min(start+limit, len(m.entries))]
}

func (m *logMachine) check(t *rapid.T) {
	for i, f := range m.followers {
		if !f.synced {
			continue
		}
		c := f.fold.(*ledger.ConfigFSM)
		assert.Equal(t, m.image(c), m.images[c.AppliedOffset()], "follower %d at %d", i, c.AppliedOffset())
		now := c.Snapshot()
		before := &m.last[i]
		assert.Assert(t, now.AppliedOffset >= before.AppliedOffset && now.PlansRevision >= before.PlansRevision)
		assert.Assert(t, now.Weights["m"].Version >= before.Weights["m"].Version)
		m.last[i] = *now
	}
}

func TestFollowersAgreeWhateverTheyMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogMachine()
		pick := func() int { return rapid.IntRange(0, machineFollowers-1).Draw(t, "follower") }
		t.Repeat(map[string]func(*rapid.T){
			"plans": func(t *rapid.T) {
				base := rapid.SampledFrom([]api.Revision{0, m.reference.Snapshot().PlansRevision}).Draw(t, "base")
				id := api.RecordID(fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "id")))
				m.append(id, api.PublishPlanList{Base: base, List: api.PlanList{Plans: []api.Plan{{Name: api.PlanName(id)}}}})
			},
			"weights": func(t *rapid.T) {
				v := api.WeightVersion(rapid.IntRange(1, 20).Draw(t, "version"))
				m.append(api.RecordID(fmt.Sprint("w", len(m.entries))), api.AnnounceWeights{Model: "m", Version: v})
			},
			"checkpoint": func(t *rapid.T) {
				f := m.followers[pick()]
				if !f.synced {
					return
				}
				c := f.fold.(*ledger.ConfigFSM)
				m.append(api.RecordID(fmt.Sprint("c", len(m.entries))),
					api.Checkpoint{AppliedOffset: c.AppliedOffset(), State: []byte(m.image(c))})
			},
			"expire": func(t *rapid.T) {
				m.oldest += api.Offset(rapid.IntRange(0, len(m.entries)+1-int(m.oldest)).Draw(t, "records"))
			},
			"read": func(t *rapid.T) {
				f := m.followers[pick()]
				f.feed(m.between(int(f.next()), rapid.IntRange(1, 4).Draw(t, "limit")), m.oldest)
			},
			"read to the end": func(t *rapid.T) {
				f := m.followers[pick()]
				f.feed(m.between(int(f.next()), len(m.entries)), m.oldest)
				assert.Assert(t, !f.synced || int(f.fold.AppliedOffset()) == len(m.entries))
			},
			"offer": func(t *rapid.T) {
				f := m.followers[pick()]
				from := rapid.IntRange(1, len(m.entries)+1).Draw(t, "from")
				f.offer(m.entries[from-1 : min(from+2, len(m.entries))])
			},
			"adopt": func(*rapid.T) {
				to, from := m.followers[pick()], m.followers[pick()]
				if from.synced {
					to.installImage([]byte(m.image(from.fold.(*ledger.ConfigFSM))))
				}
			},
			"replace": func(*rapid.T) {
				i := pick()
				m.followers[i], m.last[i] = newConfigFollower(), ledger.State{}
			},
			"": m.check,
		})
	})
}
