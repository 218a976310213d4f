package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
)

const (
	warmUpTime         = 2 * time.Second // load before a measurement
	changeMeasurements = 5               // one more is made, so that an even number leaves the engine active
	weightMeasurements = 3
	changeInterval     = 500 * time.Millisecond // between changes in the changes phase
	eventPollInterval  = 20 * time.Millisecond
	deathPollInterval  = 100 * time.Millisecond
)

// measure runs the selected phases: rest, configuration changes at rest, load with
// short responses, load with long responses, and, under the load with short
// responses, the times until events are known everywhere. Errors: CodeInvalid for
// an unknown phase.
func measure(ctx context.Context, o options, d *deployment, r *report) error {
	for _, name := range o.phases {
		var err error
		switch name {
		case "rest":
			err = d.measurePhase(ctx, o, r, name, nil)
		case "changes":
			err = d.measureChanges(ctx, o, r)
		case "short":
			err = d.measureLoad(ctx, o, r, name, o.shortTokens)
		case "long":
			err = d.measureLoad(ctx, o, r, name, o.longTokens)
		case "events":
			err = d.runUnderLoad(ctx, o, o.shortTokens, func() error { return d.measureEventTimes(ctx, r) })
		default:
			err = api.Errorf(api.CodeInvalid, "phase %q; allowed: rest, changes, short, long, events", name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLoad measures a phase under load with responses of the given number of
// tokens.
func (d *deployment) measureLoad(ctx context.Context, o options, r *report, name string, tokens int) error {
	l := d.startLoad(o.requestRate, tokens)
	err := sleep(ctx, warmUpTime)
	if err == nil {
		err = d.measurePhase(ctx, o, r, name, l)
	}
	return errors.Join(err, l.stop(ctx))
}

// runUnderLoad runs action during a load.
func (d *deployment) runUnderLoad(ctx context.Context, o options, tokens int, action func() error) error {
	l := d.startLoad(o.requestRate, tokens)
	return errors.Join(action(), l.stop(ctx))
}

// measurePhase measures each daemon's resource usage for o.phaseDuration and adds
// the mean to the report. A nil load means that the daemons are at rest.
func (d *deployment) measurePhase(ctx context.Context, o options, r *report, name string, l *load) error {
	before, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	succeeded, failed := l.counts()
	if err := sleep(ctx, o.phaseDuration); err != nil {
		return err
	}
	after, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	row := newRow(name, before, after)
	succeededNow, failedNow := l.counts()
	row.RequestRate = float64(succeededNow-succeeded) / o.phaseDuration.Seconds() / float64(len(d.daemons))
	row.FailedRequests = failedNow - failed
	row.LoadAverage = loadAverage()
	r.add(row)
	return nil
}

// counts returns the numbers of requests so far, zero for a nil load.
func (l *load) counts() (succeeded, failed int64) {
	if l == nil {
		return 0, 0
	}
	return l.succeeded.Load(), l.failed.Load()
}

// marker toggles the mark of the first engine.
type marker struct {
	base api.Revision // of the current mark
	mark api.Mark
}

// change toggles the mark between active and draining and returns the revision of
// the change.
func (m *marker) change(ctx context.Context, d *deployment) (api.Revision, error) {
	if m.mark == api.MarkDraining {
		m.mark = api.MarkActive
	} else {
		m.mark = api.MarkDraining
	}
	path := adminapi.PathUpstreams + string(engineID(0)) + "/mark"
	revision, err := d.change(ctx, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &m.base, Mark: m.mark})
	m.base = revision
	return revision, err
}

// measureChanges measures resource usage while the configuration changes every
// changeInterval.
func (d *deployment) measureChanges(ctx context.Context, o options, r *report) error {
	before, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	m := &d.marker
	n := int(o.phaseDuration / changeInterval)
	n -= n % 2 // an even number, after which the engine is active again
	for range n {
		if _, err := m.change(ctx, d); err != nil {
			return err
		}
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	after, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	row := newRow("changes", before, after)
	row.ChangeRate = float64(n) / after[0].takenAt.Sub(before[0].takenAt).Seconds()
	row.LoadAverage = loadAverage()
	r.add(row)
	return nil
}

// measureEventTimes measures how long it takes until configuration changes, weight
// versions and the death of a daemon are known everywhere, and adds the times to
// the report.
func (d *deployment) measureEventTimes(ctx context.Context, r *report) error {
	t := eventTimes{Daemons: len(d.daemons)}
	for range changeMeasurements + 1 { // an even number, after which the engine is active again
		elapsed, err := d.timeChange(ctx)
		if err != nil {
			return err
		}
		t.ChangeSeconds = append(t.ChangeSeconds, elapsed.Seconds())
	}
	for i := range weightMeasurements {
		elapsed, err := d.timeWeights(ctx, api.WeightVersion(i+2)) // the engines start with version 1
		if err != nil {
			return err
		}
		t.WeightsSeconds = append(t.WeightsSeconds, elapsed.Seconds())
	}
	elapsed, err := d.timeDeath(ctx)
	if err != nil {
		return err
	}
	t.DeathSeconds = elapsed.Seconds()
	t.LoadAverage = loadAverage()
	r.Times = append(r.Times, t)
	return nil
}

// timeChange returns the time from the request of a change until it is in force on
// all daemons.
func (d *deployment) timeChange(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	revision, err := d.marker.change(ctx, d)
	if err != nil {
		return 0, err
	}
	err = d.awaitAll(ctx, eventPollInterval, func(s adminapi.Status) bool { return s.ConfigOffset >= revision })
	return time.Since(start), err
}

// timeWeights returns the time from the announcement of a weight version until all
// engines have loaded it.
func (d *deployment) timeWeights(ctx context.Context, v api.WeightVersion) (time.Duration, error) {
	start := time.Now()
	if _, err := d.change(ctx, http.MethodPost, adminapi.PathWeights, adminapi.AnnounceWeightsRequest{Model: model, Version: v}); err != nil {
		return 0, err
	}
	for _, e := range d.engines {
		for {
			var weights struct {
				Models []struct {
					Version api.WeightVersion `json:"version"`
				} `json:"models"`
			}
			if err := d.call(ctx, http.MethodGet, e.Address, "/v1/weights", nil, &weights); err != nil {
				return 0, err
			}
			if len(weights.Models) == 1 && weights.Models[0].Version == v {
				break
			}
			if err := sleep(ctx, eventPollInterval); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(start), nil
}

// timeDeath kills the last daemon and returns the time until all others know that
// it is dead.
func (d *deployment) timeDeath(ctx context.Context) (time.Duration, error) {
	last := len(d.daemons) - 1
	start := time.Now()
	d.runner.Kill(d.daemons[last])
	d.daemons = d.daemons[:last]
	err := d.awaitAll(ctx, deathPollInterval, func(s adminapi.Status) bool { return countMembers(s, adminapi.MemberDead) == 1 })
	return time.Since(start), err
}

// awaitAll waits until the condition holds for each daemon, one after another.
// Errors: those of status, ctx.Err().
func (d *deployment) awaitAll(ctx context.Context, interval time.Duration, condition func(adminapi.Status) bool) error {
	for _, daemon := range d.daemons {
		for {
			s, err := d.status(ctx, daemon)
			if err != nil {
				return err
			}
			if condition(s) {
				break
			}
			if err := sleep(ctx, interval); err != nil {
				return err
			}
		}
	}
	return nil
}
