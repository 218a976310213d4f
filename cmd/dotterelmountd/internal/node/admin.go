package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/recordcodec"
	"dotterelmount.example/lib/weights"
	"dotterelmount.example/server/statereplica"
	"go.uber.org/zap"
)

// adminService implements adminapi.Service on a Node.
type adminService struct{ n *Node }

// State implements adminapi.Service.
func (a *adminService) State() *ledger.State { return a.n.replica.State() }

// Propose implements adminapi.Service.
func (a *adminService) Propose(ctx context.Context, body api.RecordBody, actor string) (ledger.Verdict, error) {
	if err := a.n.ready(); err != nil {
		return ledger.Verdict{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	v, err := a.n.replica.Propose(ctx, api.StreamConfig, body, actor)
	a.n.log.Info("change proposed", zap.String("actor", actor), zap.String("kind", recordcodec.KindOf(body)),
		zap.String("record", string(v.ID)), zap.Uint64("offset", uint64(v.Offset)),
		zap.NamedError("refused", v.Err), zap.Error(err))
	return v, err
}

// Audit implements adminapi.Service.
func (a *adminService) Audit(ctx context.Context, from api.Offset, limit int) ([]adminapi.AuditEntry, error) {
	entries, err := statereplica.Audit(ctx, a.n.eventLog, from, limit)
	if err != nil {
		return nil, err
	}
	out := make([]adminapi.AuditEntry, len(entries))
	for i, e := range entries {
		out[i] = auditEntry(e)
	}
	return out, nil
}

func auditEntry(e statereplica.AuditEntry) adminapi.AuditEntry {
	verdict := adminapi.VerdictInForce
	if e.Err != nil {
		verdict = string(api.CodeOf(e.Err))
	}
	return adminapi.AuditEntry{
		Offset: e.Offset, Time: time.UnixMilli(e.Record.CreatedMillis).UTC().Format(time.RFC3339Nano),
		Actor: e.Record.Actor, AppendedBy: e.Record.AppendedBy,
		Kind: recordcodec.KindOf(e.Record.Body), Subject: subject(e.Record.Body),
		RevisionBefore: e.RevisionBefore, RevisionAfter: e.RevisionAfter, Verdict: verdict,
	}
}

// subject returns what a record changes.
func subject(body api.RecordBody) string {
	switch b := body.(type) {
	case api.PublishPlanList:
		return "plan list"
	case api.PublishUsageList:
		return "usage list"
	case api.MarkUpstream:
		return string(b.Upstream) + " " + string(b.Mark)
	case api.AnnounceWeights:
		return string(b.Model) + " " + b.Version.String()
	case api.Strike:
		return b.Fingerprint.String() + " at " + string(b.Upstream)
	case api.LiftQuarantine:
		return b.Fingerprint.String()
	default:
		return ""
	}
}

// Status implements adminapi.Service.
func (a *adminService) Status(context.Context) adminapi.Status {
	n := a.n
	state := n.replica.State()
	s := adminapi.Status{
		Daemon: api.DaemonID(n.settings.Daemon), DataCentre: api.DataCentre(n.settings.DataCentre),
		Ready: true, ConfigOffset: state.AppliedOffset, Members: n.memberStatuses(),
		Duties: dutyStatus(n.replica.DutyStats(), n.dispatch.Load().Duties(), n.shares.Load().Duties()),
	}
	if err := n.ready(); err != nil {
		s.Ready, s.NotReadyReason = false, err.Error()
	}
	view := n.dispatch.Load().View()
	for _, u := range view.Upstreams {
		mark := api.MarkActive
		// InFlight of the view is conclusive only once the dispatcher has applied the mark.
		if u.Draining && state.Draining(u.ID) {
			mark = api.MarkDraining
		}
		s.Upstreams = append(s.Upstreams, adminapi.UpstreamStatus{
			ID: u.ID, Mark: mark, InFlight: u.InFlight, Window: u.Window, Slow: u.Slow, LoadedVersions: n.loadedVersions(u.ID),
		})
	}
	for lane := range api.LaneCount {
		s.Queues = append(s.Queues, adminapi.QueueStatus{Lane: lane.String(), Depth: view.Queued[lane]})
	}
	return s
}

func dutyStatus(groups ...[]duty.Stats) []adminapi.DutyStatus {
	var out []adminapi.DutyStatus
	for _, g := range groups {
		for _, d := range g {
			out = append(out, adminapi.DutyStatus(d))
		}
	}
	return out
}

// Alive implements sampler.Members. A run is no longer alive once its daemon was
// restarted.
func (n *Node) Alive(id api.DaemonID) bool {
	return slices.ContainsFunc(n.gossip.Load().Members(), func(m membership.Member) bool {
		return m.Status <= membership.Suspect && sameRun(id, m)
	})
}

// Live implements sampler.Members.
func (n *Node) Live() []api.DaemonID { return n.liveDaemons() }

// catalog implements sampler.Catalog on the configuration in force.
type catalog struct{ replica *statereplica.StateReplica }

// Plan implements sampler.Catalog.
func (c catalog) Plan(id api.CustomerID) (api.Plan, error) { return c.replica.State().CustomerPlan(id) }

// CheckModelAccess implements sampler.Catalog.
func (c catalog) CheckModelAccess(p api.PlanName, m api.ModelName) error {
	return c.replica.State().CheckModelAccess(p, m)
}

// WeightInForce implements sampler.Catalog.
func (c catalog) WeightInForce(m api.ModelName) api.WeightVersion {
	return c.replica.State().Weights[m].Version
}

func (n *Node) loadedVersions(id api.UpstreamID) map[api.ModelName]api.WeightVersion {
	return n.weights.LoadedVersions()[id]
}

// loadedVersion returns the version of a model that an engine last reported; zero
// if unknown. The dispatcher's duty calls it, also during the start.
func (n *Node) loadedVersion(id api.UpstreamID, m api.ModelName) api.WeightVersion {
	if !n.initialized.Load() {
		return 0
	}
	return n.loadedVersions(id)[m]
}

// onWeightOrder logs a load order. The weight planner's duty calls it.
func (n *Node) onWeightOrder(o weights.Order, err error) {
	n.log.Info("weights ordered", zap.String("upstream", string(o.Upstream)), zap.String("model", string(o.Model)),
		zap.Uint64("version", uint64(o.Version)), zap.Uint64("fence", uint64(o.Fence)), zap.Error(err))
}

const (
	strikeTimeout    = 5 * time.Second // of one attempt to record a strike
	strikeRetryDelay = time.Second     // before the next attempt
	// strikeShareDelay is the time within which a strike is in the log, unless the
	// log is slow or unavailable.
	strikeShareDelay = 200 * time.Millisecond
)

// strikeReport is a strike on its way into the log.
type strikeReport struct {
	api.Strike
	id     api.RecordID
	logged atomic.Bool
}

// onStrike logs and records a strike. If it is not in the log soon, it is also
// reported to the other daemons. The dispatcher's duty calls it.
func (n *Node) onStrike(s api.Strike) {
	n.log.Warn("upstream crashed during a request", zap.String("upstream", string(s.Upstream)),
		zap.String("fingerprint", s.Fingerprint.String()), zap.Bool("alone", s.Alone))
	r := &strikeReport{Strike: s, id: api.RecordID(newID())}
	n.recordStrike(r)
	time.AfterFunc(strikeShareDelay, func() { n.shareStrike(r) })
}

// shareStrike reports a strike to the other daemons unless the log has it.
func (n *Node) shareStrike(r *strikeReport) {
	if r.logged.Load() || n.stopping.Load() {
		return
	}
	err := n.gossip.Load().ShareStrike(r.Strike)
	n.log.Info("strike is not logged yet; reported to the other daemons", zap.String("upstream", string(r.Upstream)),
		zap.String("fingerprint", r.Fingerprint.String()), zap.Error(err))
}

// recordStrike proposes a strike and retries with the same record id until it is
// in the log or this daemon stops.
func (n *Node) recordStrike(r *strikeReport) {
	err := n.replica.ProposeAsync(statereplica.Proposal{
		ID: r.id, Stream: api.StreamConfig, Body: r.Strike, Actor: n.settings.Daemon, Deadline: time.Now().Add(strikeTimeout),
		Done: func(_ ledger.Verdict, err error) {
			if err != nil {
				n.recordStrikeLater(r)
				return
			}
			r.logged.Store(true)
			n.dispatch.Load().StrikeRecorded(r.Strike)
		},
	})
	if err != nil {
		n.log.Warn("recording a strike failed", zap.Error(err))
	}
}

func (n *Node) recordStrikeLater(r *strikeReport) {
	time.AfterFunc(strikeRetryDelay, func() {
		if !n.stopping.Load() {
			n.recordStrike(r)
		}
	})
}

// clearStrikes proposes to clear the strikes of a fingerprint. The dispatcher's
// duty calls it. It does not retry, because the next completed request with that
// fingerprint proposes it again.
func (n *Node) clearStrikes(f api.Fingerprint) {
	_ = n.replica.ProposeAsync(statereplica.Proposal{
		Stream: api.StreamConfig, Body: api.LiftQuarantine{Fingerprint: f}, Actor: n.settings.Daemon,
		Deadline: time.Now().Add(strikeTimeout), Done: func(ledger.Verdict, error) {},
	})
}
