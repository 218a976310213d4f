package statereplica

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
)

// AuditEntry is a record of the configuration stream and its effect.
type AuditEntry struct {
	Offset                        api.Offset
	TimeMillis                    int64 // the log's wall clock, in Unix milliseconds
	Record                        api.Record
	RevisionBefore, RevisionAfter api.Revision // of the record's subject
	Err                           error        // why it had no effect; nil if it had one
}

// auditReadLimit is the maximum number of entries in one read.
const auditReadLimit = 1000

// Audit reads the configuration stream from its oldest retained record and
// returns up to limit entries from an offset on, with their verdicts. It needs only
// the log, so the audit trail outlives every daemon. Retained records are omitted if
// the state before them is unknown.
// Errors: CodeLogUnavailable.
func Audit(ctx context.Context, log eventlog.Log, from api.Offset, limit int) ([]AuditEntry, error) {
	s := &streamState{fsm: ledger.NewConfigFSM(), restore: restoreConfig}
	var out []AuditEntry
	s.onApply = func(e eventlog.Entry, r api.Record, before, after api.Revision, v ledger.Verdict) {
		if e.Offset < from || len(out) >= limit {
			return
		}
		out = append(out, AuditEntry{
			Offset: e.Offset, TimeMillis: e.TimeMillis, Record: r, Err: v.Err,
			RevisionBefore: before, RevisionAfter: after,
		})
	}
	for len(out) < limit {
		position := []eventlog.Position{{Stream: api.StreamConfig, Offset: s.nextOffset()}}
		batches, err := log.Read(ctx, position, auditReadLimit, 0)
		if err != nil {
			return nil, api.Errorf(api.CodeLogUnavailable, "audit: %w", err)
		}
		if len(batches) == 0 || len(batches[0].Entries) == 0 {
			return out, nil
		}
		s.applyRead(batches[0].Entries, batches[0].Oldest)
	}
	return out, nil
}

// revisionOf returns the revision of a record's subject; zero if it has none.
func revisionOf(s *ledger.State, body api.RecordBody) api.Revision {
	switch b := body.(type) {
	case api.PublishPlanList:
		return s.PlansRevision
	case api.PublishUsageList:
		return s.UsageRevision
	case api.MarkUpstream:
		return s.Marks[b.Upstream].Revision
	case api.AnnounceWeights:
		return s.Weights[b.Model].Revision
	default:
		return 0
	}
}
