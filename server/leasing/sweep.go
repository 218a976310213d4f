package leasing

import (
	"context"
	"maps"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

// sweep proposes the expiry of items past their deadline or without a route, the rerouting of
// jobs whose route was moved, and the removal of texts that strand their items. Each live
// daemon does this for its share of the jobs, and swaps the homes of models for its share of
// the services.
func (m *Manager) sweep(ctx context.Context, live map[api.DaemonID]bool, now time.Time) {
	v, s := m.deps.View(), m.deps.Snapshot()
	if v.Table == nil || !live[m.cfg.Self] {
		return
	}
	level := s.LevelInForce(m.cfg.Levels, m.deps.LastFullRead())
	m.swapHomes(s, v, live, level, now)
	m.raiseRules(s, live, level, now)
	open, err := m.deps.OpenItems(ctx)
	if err != nil {
		m.log.Warn("read of open items failed", zap.Error(err))
		return
	}
	m.expired.forget(now, m.cfg.ProposalTimeout)
	m.rerouted.forget(now, m.cfg.ProposalTimeout)
	m.dropped.forget(now, m.cfg.ProposalTimeout)
	unrouted := m.unroutedItems(open, v, now)
	rerouted := m.reroutes(open, v, now)
	for _, i := range open {
		if !leases.Responsible(m.cfg.Self, live, string(i.Job)) {
			continue
		}
		if (unrouted[i.ItemKey] || i.Age.Milliseconds() >= i.TimeoutMillis) && m.expired.due(i.ItemKey, now, m.cfg.ProposalTimeout) {
			m.log.Info("item expiry proposed", zap.String("job", string(i.Job)), zap.String("item", string(i.Item)), zap.Bool("routed", !unrouted[i.ItemKey]),
				zap.Uint64("config", v.Table.Version()), zap.Time("config_as_of", v.ConfigAsOf), zap.Duration("age", i.Age), zap.Int64("timeout_ms", i.TimeoutMillis))
			m.propose(&batch.ItemExpired{Job: i.Job, Item: i.Item})
		}
		if r := rerouted[i.Job]; r != nil && m.rerouted.due(i.Job, now, m.cfg.ProposalTimeout) {
			m.log.Info("job rerouting due", zap.Bool("proposed", level >= batch.LevelJobRerouted), zap.String("job", string(i.Job)), zap.String("from", i.Service), zap.String("to", r.Service),
				zap.Uint64("config", r.ConfigVersion), zap.Time("config_as_of", v.ConfigAsOf), zap.Int("level_in_force", level))
			if level >= batch.LevelJobRerouted {
				m.propose(r)
			}
		}
		if i.Stranded && m.dropped.due(i.ItemKey, now, m.cfg.ProposalTimeout) {
			m.log.Info("text drop due", zap.Bool("proposed", level >= batch.LevelTextDropped), zap.String("job", string(i.Job)), zap.String("item", string(i.Item)), zap.Int("events", i.EventCount),
				zap.Int("level_in_force", level))
			if level >= batch.LevelTextDropped {
				m.propose(&batch.TextDropped{Job: i.Job, Item: i.Item, EventCount: i.EventCount})
			}
		}
	}
}

// swapHomes proposes to give models an ordinary home that have only reclaimable ones.
func (m *Manager) swapHomes(s *jobreplica.Snapshot, v *directory.View, live map[api.DaemonID]bool, level int, now time.Time) {
	m.swapped.forget(now, m.cfg.ProposalTimeout)
	for service, r := range leases.SwapHomes(s.Upstreams, v.Upstreams) {
		if !leases.Responsible(m.cfg.Self, live, "homes/"+service) || !m.swapped.due(service, now, m.cfg.ProposalTimeout) {
			continue
		}
		m.log.Info("swap of assigned models due", zap.Bool("proposed", level >= batch.LevelHomesSwapped), zap.String("service", service),
			zap.Any("record", r), zap.Int("level_in_force", level))
		if level >= batch.LevelHomesSwapped {
			m.propose(r)
		}
	}
}

// raiseRules proposes to bring the rules of placement of this build into force.
func (m *Manager) raiseRules(s *jobreplica.Snapshot, live map[api.DaemonID]bool, level int, now time.Time) {
	if m.cfg.Rules <= s.Rules || level < batch.LevelRulesRaised || !leases.Responsible(m.cfg.Self, live, "rules") || now.Sub(m.rulesProposedAt) < m.cfg.ProposalTimeout {
		return
	}
	m.rulesProposedAt = now
	m.log.Info("rules of placement raised", zap.Int("from", s.Rules), zap.Int("to", m.cfg.Rules))
	m.propose(&batch.RulesRaised{Rules: m.cfg.Rules})
}

// proposals are the times at which a record on each key was last proposed.
type proposals[K comparable] map[K]time.Time

// due reports whether a record on a key may be proposed: none was within the timeout, after
// which a proposal is lost. The record counts as proposed then.
func (p proposals[K]) due(key K, now time.Time, timeout time.Duration) bool {
	if at, ok := p[key]; ok && now.Sub(at) < timeout {
		return false
	}
	p[key] = now
	return true
}

func (p proposals[K]) forget(now time.Time, timeout time.Duration) {
	maps.DeleteFunc(p, func(_ K, at time.Time) bool { return now.Sub(at) >= timeout })
}

// unroutedItems returns the open items whose routes were removed. The configuration may be
// older than the one under which another daemon accepted an item: until it is read again, an
// item without a route is kept.
func (m *Manager) unroutedItems(open []batch.OpenItem, v *directory.View, now time.Time) map[batch.ItemKey]bool {
	var missing []batch.ItemKey
	for _, i := range open {
		if _, ok := v.Table.Match(i.Host, i.Path); !ok {
			missing = append(missing, i.ItemKey)
		}
	}
	out := make(map[batch.ItemKey]bool)
	for _, key := range m.unrouted.Confirm(missing, v.ConfigAsOf, now) {
		out[key] = true
	}
	if kept := len(missing) - len(out); kept > 0 {
		m.log.Info("items without a route kept until the configuration is read again", zap.Int("items", kept),
			zap.Uint64("config", v.Table.Version()), zap.Time("config_as_of", v.ConfigAsOf))
	}
	return out
}

// reroutes returns the records that move jobs to the service of their routes. Like an item
// without a route, a job stays until the configuration is read again.
func (m *Manager) reroutes(open []batch.OpenItem, v *directory.View, now time.Time) map[batch.JobID]*batch.JobRerouted {
	all := planReroutes(open, v.Table)
	var moved []batch.JobID
	for id := range all {
		moved = append(moved, id)
	}
	out := make(map[batch.JobID]*batch.JobRerouted)
	for _, id := range m.misrouted.Confirm(moved, v.ConfigAsOf, now) {
		out[id] = all[id]
	}
	return out
}

// planReroutes returns a record for each job whose route leads to other services than the
// job's. If the routes of its items differ, that of the first item by ID decides.
func planReroutes(open []batch.OpenItem, table *routes.Table) map[batch.JobID]*batch.JobRerouted {
	first := make(map[batch.JobID]batch.OpenItem)
	for _, i := range open {
		if f, ok := first[i.Job]; !ok || strings.Compare(string(i.Item), string(f.Item)) < 0 {
			first[i.Job] = i
		}
	}
	out := make(map[batch.JobID]*batch.JobRerouted)
	for id, i := range first {
		route, ok := table.Match(i.Host, i.Path)
		if !ok || route.RoutesTo(i.Service) {
			continue
		}
		if service := route.PickService(0); service != "" {
			out[id] = &batch.JobRerouted{Job: id, Service: service, ConfigVersion: table.Version()}
		}
	}
	return out
}
