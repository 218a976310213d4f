package statereplica

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

// replicaModel drives several replicas of one log whose oldest records expire.
// The reference applies every record, starting with the first.
type replicaModel struct {
	entries    []eventlog.Entry // all that were ever appended
	oldest     api.Offset
	reference  *ledger.ConfigFSM
	images     []string // the reference's state after each offset
	replicas   []*streamState
	lastStates []ledger.State // the last state of each replica
}

const modelReplicas = 3

func newReplicaModel() *replicaModel {
	m := &replicaModel{oldest: 1, reference: ledger.NewConfigFSM(), lastStates: make([]ledger.State, modelReplicas)}
	m.images = append(m.images, m.image(m.reference))
	for range modelReplicas {
		m.replicas = append(m.replicas, newConfigState())
	}
	return m
}

func newConfigState() *streamState {
	return &streamState{fsm: ledger.NewConfigFSM(), restore: restoreConfig}
}

func (m *replicaModel) image(c *ledger.ConfigFSM) string {
	raw, err := json.Marshal(c.Image())
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func (m *replicaModel) append(id api.RecordID, body api.RecordBody) {
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

func (m *replicaModel) between(from, limit int) []eventlog.Entry {
	start := min(max(from, int(m.oldest))-1, len(m.entries))
	return m.entries[start:min(start+limit, len(m.entries))]
}

// check compares synced replicas with the reference and with their last state.
func (m *replicaModel) check(t *rapid.T) {
	for i, s := range m.replicas {
		if !s.synced {
			continue
		}
		c := s.fsm.(*ledger.ConfigFSM)
		assert.Equal(t, m.image(c), m.images[c.AppliedOffset()], "replica %d at offset %d", i, c.AppliedOffset())
		now := c.Snapshot()
		before := &m.lastStates[i]
		assert.Assert(t, now.AppliedOffset >= before.AppliedOffset && now.PlansRevision >= before.PlansRevision)
		assert.Assert(t, now.Weights["m"].Version >= before.Weights["m"].Version)
		m.lastStates[i] = *now
	}
}

// Synced replicas agree with the reference, whatever they missed.
func TestSyncedReplicasMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicaModel()
		pick := func() int { return rapid.IntRange(0, modelReplicas-1).Draw(t, "replica") }
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
				s := m.replicas[pick()]
				if !s.synced {
					return
				}
				c := s.fsm.(*ledger.ConfigFSM)
				m.append(api.RecordID(fmt.Sprint("c", len(m.entries))),
					api.Checkpoint{AppliedOffset: c.AppliedOffset(), State: []byte(m.image(c))})
			},
			"expire": func(t *rapid.T) {
				m.oldest += api.Offset(rapid.IntRange(0, len(m.entries)+1-int(m.oldest)).Draw(t, "records"))
			},
			"read": func(t *rapid.T) {
				s := m.replicas[pick()]
				s.applyRead(m.between(int(s.nextOffset()), rapid.IntRange(1, 4).Draw(t, "limit")), m.oldest)
			},
			"read to the end": func(t *rapid.T) {
				s := m.replicas[pick()]
				s.applyRead(m.between(int(s.nextOffset()), len(m.entries)), m.oldest)
				assert.Assert(t, !s.synced || int(s.fsm.AppliedOffset()) == len(m.entries))
			},
			"offer": func(t *rapid.T) {
				s := m.replicas[pick()]
				from := rapid.IntRange(1, len(m.entries)+1).Draw(t, "from")
				s.applyOffered(m.entries[from-1 : min(from+2, len(m.entries))])
			},
			"adopt": func(*rapid.T) {
				to, from := m.replicas[pick()], m.replicas[pick()]
				if from.synced {
					to.installImage([]byte(m.image(from.fsm.(*ledger.ConfigFSM))))
				}
			},
			"replace": func(*rapid.T) {
				i := pick()
				m.replicas[i], m.lastStates[i] = newConfigState(), ledger.State{}
			},
			"": m.check,
		})
	})
}
