package ledger

import (
	"maps"
	"slices"

	"dotterelmount.example/api"
)

// RecordIDRetentionMillis is how long record IDs are remembered, in milliseconds
// of log time. It exceeds the time for which appenders retry a record.
const RecordIDRetentionMillis = 24 * 60 * 60 * 1000

// seenRecord is the remembered verdict of a record.
type seenRecord struct {
	verdict    Verdict
	timeMillis int64
}

// ConfigFSM is the state machine of the configuration stream. Create it with
// NewConfigFSM; the zero value is not usable. It is not safe for concurrent use.
type ConfigFSM struct {
	state   State
	seen    map[api.RecordID]seenRecord
	idOrder []api.RecordID // IDs in offset order, for expiry
	// crashes holds the recent crashes of each upstream. Snapshots share it.
	crashes map[api.UpstreamID][]Crash
}

// NewConfigFSM returns the state machine before the first record.
func NewConfigFSM() *ConfigFSM {
	return &ConfigFSM{
		state:   State{Plans: &api.PlanList{}, Usage: &api.UsageList{}},
		seen:    make(map[api.RecordID]seenRecord),
		crashes: make(map[api.UpstreamID][]Crash),
	}
}

// Snapshot returns the current state. Records applied later do not change it.
func (c *ConfigFSM) Snapshot() *State {
	s := c.state
	s.Crashes = c.crashes
	return &s
}

// AppliedOffset returns the offset of the last record applied.
func (c *ConfigFSM) AppliedOffset() api.Offset { return c.state.AppliedOffset }

// VerdictOf returns the verdict on a record applied within
// RecordIDRetentionMillis.
func (c *ConfigFSM) VerdictOf(id api.RecordID) (Verdict, bool) {
	s, ok := c.seen[id]
	return s.verdict, ok
}

// Skip advances the applied offset past a record that could not be decoded. All
// daemons skip the same records.
func (c *ConfigFSM) Skip(offset api.Offset) { c.state.AppliedOffset = offset }

// Apply applies the next record; offset must be AppliedOffset()+1. timeMillis is
// its log time, in Unix milliseconds. A record with a known ID has no effect and
// gets the verdict of the first record with that ID.
func (c *ConfigFSM) Apply(offset api.Offset, timeMillis int64, r api.Record) Verdict {
	c.state.AppliedOffset = offset
	c.expireRecordIDs(timeMillis)
	if old, ok := c.seen[r.ID]; ok {
		return old.verdict
	}
	v := Verdict{ID: r.ID, Offset: offset, Err: c.applyBody(offset, timeMillis, r.Body)}
	c.seen[r.ID] = seenRecord{verdict: v, timeMillis: timeMillis}
	c.idOrder = append(c.idOrder, r.ID)
	return v
}

func (c *ConfigFSM) expireRecordIDs(nowMillis int64) {
	for len(c.idOrder) > 0 && c.seen[c.idOrder[0]].timeMillis < nowMillis-RecordIDRetentionMillis {
		delete(c.seen, c.idOrder[0])
		c.idOrder = c.idOrder[1:]
	}
}

func (c *ConfigFSM) applyBody(offset api.Offset, timeMillis int64, body api.RecordBody) error {
	switch b := body.(type) {
	case api.PublishPlanList:
		return c.publishPlans(offset, b)
	case api.PublishUsageList:
		return c.publishUsage(offset, b)
	case api.MarkUpstream:
		return c.markUpstream(offset, b)
	case api.AnnounceWeights:
		return c.announceWeights(offset, b)
	case api.Strike:
		c.recordStrike(timeMillis, b)
		return nil
	case api.LiftQuarantine:
		c.state.Strikes = withoutEntry(c.state.Strikes, b.Fingerprint)
		return nil
	case api.Checkpoint:
		return nil
	default:
		return api.Errorf(api.CodeInvalid, "record of type %T in the configuration stream", body)
	}
}

func (c *ConfigFSM) publishPlans(offset api.Offset, b api.PublishPlanList) error {
	if b.Base != c.state.PlansRevision {
		return conflictError("plan list", b.Base, c.state.PlansRevision)
	}
	if err := b.List.Validate(); err != nil {
		return err
	}
	c.state.Plans = &b.List
	c.state.PlansRevision = offset
	return nil
}

func (c *ConfigFSM) publishUsage(offset api.Offset, b api.PublishUsageList) error {
	if b.Base != c.state.UsageRevision {
		return conflictError("usage list", b.Base, c.state.UsageRevision)
	}
	if err := b.List.Validate(); err != nil {
		return err
	}
	if err := c.checkRemovals(&b.List); err != nil {
		return err
	}
	c.state.Usage = &b.List
	c.state.UsageRevision = offset
	c.removeStaleMarks()
	return nil
}

// checkRemovals rejects a list that removes an upstream that is not draining, or
// changes its address while requests may be running on it. Errors:
// CodeStillInUse.
func (c *ConfigFSM) checkRemovals(next *api.UsageList) error {
	for _, u := range c.state.Usage.Upstreams {
		if c.state.Draining(u.ID) {
			continue
		}
		i := slices.IndexFunc(next.Upstreams, func(n api.Upstream) bool { return n.ID == u.ID })
		if i < 0 {
			return api.Errorf(api.CodeStillInUse, "usage list removes upstream %q, which is not marked draining", u.ID)
		}
		if next.Upstreams[i].Address != u.Address {
			return api.Errorf(api.CodeStillInUse, "usage list moves upstream %q, which is not marked draining", u.ID)
		}
	}
	return nil
}

// removeStaleMarks removes the marks of upstreams that are not in the usage list.
func (c *ConfigFSM) removeStaleMarks() {
	kept := make(map[api.UpstreamID]MarkState, len(c.state.Marks))
	for _, u := range c.state.Usage.Upstreams {
		if m, ok := c.state.Marks[u.ID]; ok {
			kept[u.ID] = m
		}
	}
	c.state.Marks = kept
}

func (c *ConfigFSM) markUpstream(offset api.Offset, b api.MarkUpstream) error {
	if b.Mark != api.MarkActive && b.Mark != api.MarkDraining {
		return api.Errorf(api.CodeInvalid, "mark %q; allowed: active, draining", b.Mark)
	}
	if _, err := c.state.Upstream(b.Upstream); err != nil {
		return err
	}
	if now := c.state.Marks[b.Upstream].Revision; b.Base != now {
		return conflictError("mark of "+string(b.Upstream), b.Base, now)
	}
	c.state.Marks = withEntry(c.state.Marks, b.Upstream, MarkState{Mark: b.Mark, Revision: offset})
	return nil
}

func (c *ConfigFSM) announceWeights(offset api.Offset, b api.AnnounceWeights) error {
	if b.Model == "" {
		return api.Errorf(api.CodeInvalid, "weights of an unnamed model")
	}
	if now := c.state.Weights[b.Model].Version; b.Version <= now {
		return api.Errorf(api.CodeStaleVersion, "weights %d of model %q are not above %d", b.Version, b.Model, now)
	}
	c.state.Weights = withEntry(c.state.Weights, b.Model, WeightState{Version: b.Version, Revision: offset})
	return nil
}

func conflictError(what string, base, inForce api.Revision) error {
	return api.Errorf(api.CodeConflict, "%s: base revision is %d, in force is %d", what, base, inForce)
}

// withEntry returns a copy of m with m[k] = v, because snapshots share the old map.
func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	next := make(map[K]V, len(m)+1)
	maps.Copy(next, m)
	next[k] = v
	return next
}

func withoutEntry[K comparable, V any](m map[K]V, k K) map[K]V {
	next := maps.Clone(m)
	delete(next, k)
	return next
}
