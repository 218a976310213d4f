package logbook

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
)

// AuditEntry is one record of the configuration stream with what it did.
type AuditEntry struct {
	Offset                        api.Offset
	TimeMillis                    int64 // the log's wall clock, in Unix milliseconds
	Record                        api.Record
	RevisionBefore, RevisionAfter api.Revision // of the thing the record is about
	Err                           error        // why it did not take effect
}

// auditReadLimit is the number of entries read at a time.
const auditReadLimit = 1000

// Audit reads the configuration stream from its oldest retained record and
// returns up to limit entries from an offset on, with their verdicts. It needs
// nothing but the log, so the trail outlives every daemon. A record that the
// log retains, but whose state before is not known any more, is left out.
// Errors: CodeLogUnavailable.
func Audit(ctx context.Context, log eventlog.Log, from api.Offset, limit int) ([]AuditEntry, error) {
	f := &streamState{fold: ledger.NewConfigFSM(), restore: restoreConfig}
	var out []AuditEntry
	f.trace = func(e eventlog.Entry, r api.Record, was, is api.Revision, v ledger.Verdict) {
		if e.Offset < from || len(out) >= limit {
			return
		}
		out = append(out, AuditEntry{
			Offset: e.Offset, TimeMillis: e.TimeMillis, Record: r, Err: v.Err,
			RevisionBefore: was, RevisionAfter: is,
		})
	}
	for len(out) < limit {
		position := []eventlog.Position{{Stream: api.StreamConfig, Offset: f.next()}}
		batches, err := log.Read(ctx, position, auditReadLimit, 0)
		if err != nil {
			return nil, api.Errorf(api.CodeLogUnavailable, "audit: %w", err)
		}
		if len(batches) == 0 || len(batches[0].Entries) == 0 {
			return out, nil
		}
		f.feed(batches[0].Entries, batches[0].Oldest)
	}
	return out, nil
}

// revisionOf returns the revision of the thing that a record is about.
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
