package jobreplica

import (
	"dotterelmount.example/lib/batch"
	"go.uber.org/zap"
)

// logRecord logs an applied record, except renewals and accepted texts.
func (j *JobReplica) logRecord(at batch.Offset, r batch.Record, changed bool) {
	offset, effect := zap.Uint64("offset", uint64(at)), zap.Bool("effect", changed)
	switch r := r.(type) {
	case *batch.JobAccepted:
		j.log.Info("job accepted", zap.String("job", string(r.Job.ID)), zap.String("model", string(r.Job.Model)),
			zap.Uint64("min_version", uint64(r.Job.MinVersion)), zap.Int("items", len(r.Job.Items)), offset, effect)
	case *batch.JobRerouted:
		j.log.Info("job rerouted", zap.String("job", string(r.Job)), zap.String("service", r.Service), zap.Uint64("config", r.ConfigVersion), offset, effect)
	case *batch.TextDropped:
		j.log.Info("stranded text dropped", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)), zap.Int("events", r.EventCount), offset, effect)
	case *batch.HomesSwapped:
		j.log.Info("assigned models swapped", zap.String("first", string(r.First)), zap.String("model", string(r.FirstModel)),
			zap.String("second", string(r.Second)), zap.String("second_model", string(r.SecondModel)), offset, effect)
	case *batch.JobEnded:
		j.log.Info("job ended", zap.String("job", string(r.ID)), offset, effect)
	case *batch.LeaseAcquired:
		j.log.Info("lease acquired", zap.String("upstream", string(r.Upstream)), zap.String("daemon", string(r.Daemon)),
			zap.Uint64("previous", uint64(r.PreviousLease)), offset, effect)
	case *batch.UpstreamRemoved:
		j.log.Info("upstream removed", zap.String("upstream", string(r.Upstream)), zap.String("daemon", string(r.Daemon)), offset, effect)
	case *batch.UpstreamChanged:
		j.log.Info("upstream changed", zap.String("upstream", string(r.Upstream)), zap.Stringer("condition", r.Condition),
			zap.Any("versions", r.Versions), offset, effect)
	case *batch.RequestCrashed:
		j.log.Info("upstreams lost during a request", zap.Uint64("content", r.ContentHash), zap.Int("lost", r.UpstreamsLost),
			zap.String("process", r.Process), offset)
	case *batch.RequestLimitNamed:
		j.log.Info("request limit in force", zap.String("upstream", string(r.Upstream)), zap.Float64("per_second", r.PerSecond), offset, effect)
	case *batch.DaemonLeft:
		j.log.Info("daemon left", zap.String("daemon", string(r.Daemon)), offset, effect)
	case *batch.ItemFailed:
		j.log.Info("item failed", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)),
			zap.Int("status", r.Status), zap.Bool("final", r.Final), offset, effect)
	case *batch.RewardFailed:
		j.log.Info("reward failed", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)),
			zap.Int("status", r.Status), offset, effect)
	case *batch.ItemExpired:
		j.log.Info("item expired", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)), offset, effect)
	case *batch.TextAdded:
		if !changed {
			j.log.Info("text record ignored", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)),
				zap.Int("from", r.FirstEvent), zap.Int("events", r.EventCount), offset)
		}
	}
}
