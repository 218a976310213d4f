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
	warmUpTime         = 2 * time.Second // of a load, before it is measured
	changeMeasurements = 5
	weightMeasurements = 3
	changeInterval     = 500 * time.Millisecond // in the phase of changes
	eventPollInterval  = 20 * time.Millisecond  // between two rounds of looks
	deathPollInterval  = 100 * time.Millisecond
)

// measure runs the phases that were asked for: at rest, changes at rest, short
// and long answers, and the times until events are known everywhere, under the
// short load.
func measure(ctx context.Context, o options, f *deployment, r *report) error {
	for _, name := range o.phases {
		var err error
		switch name {
		case "rest":
			err = f.measurePhase(ctx, o, r, name, nil)
		case "changes":
			err = f.measureChanges(ctx, o, r)
		case "short":
			err = f.measureLoad(ctx, o, r, name, o.shortTokens)
		case "long":
			err = f.measureLoad(ctx, o, r, name, o.longTokens)
		case "events":
			err = f.runUnderLoad(ctx, o, o.shortTokens, func() error { return f.measureEventTimes(ctx, r) })
		default:
			err = api.Errorf(api.CodeInvalid, "phase %q; allowed: rest, changes, short, long, events", name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLoad measures a phase of answers of some tokens.
func (f *deployment) measureLoad(ctx context.Context, o options, r *report, name string, tokens int) error {
	l := f.startLoad(o.requestRate, tokens)
	err := sleep(ctx, warmUpTime)
	if err == nil {
		err = f.measurePhase(ctx, o, r, name, l)
	}
	return errors.Join(err, l.stop(ctx))
}

func (f *deployment) runUnderLoad(ctx context.Context, o options, tokens int, do func() error) error {
	l := f.startLoad(o.requestRate, tokens)
	return errors.Join(do(), l.stop(ctx))
}

// measurePhase measures for a while what each daemon spends.
func (f *deployment) measurePhase(ctx context.Context, o options, r *report, name string, l *load) error {
	before, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	answered, failed := l.counts()
	if err := sleep(ctx, o.phaseDuration); err != nil {
		return err
	}
	after, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	row := newRow(name, before, after)
	answeredNow, failedNow := l.counts()
	row.RequestRate = float64(answeredNow-answered) / o.phaseDuration.Seconds() / float64(len(f.daemons))
	row.FailedRequests = failedNow - failed
	row.LoadAverage = loadAverage()
	r.add(row)
	return nil
}

func (l *load) counts() (answered, failed int64) {
	if l == nil {
		return 0, 0
	}
	return l.succeeded.Load(), l.failed.Load()
}

// marker toggles the mark of one upstream.
type marker struct {
	base api.Revision
	mark api.Mark
}

func (m *marker) change(ctx context.Context, f *deployment) (api.Revision, error) {
	if m.mark == api.MarkDraining {
		m.mark = api.MarkActive
	} else {
		m.mark = api.MarkDraining
	}
	path := adminapi.PathUpstreams + string(engineID(0)) + "/mark"
	revision, err := f.change(ctx, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &m.base, Mark: m.mark})
	m.base = revision
	return revision, err
}

// measureChanges measures the phase in which the configuration changes all the time.
func (f *deployment) measureChanges(ctx context.Context, o options, r *report) error {
	before, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	m := &f.marker
	n := int(o.phaseDuration / changeInterval)
	n -= n % 2 // the upstream ends active
	for range n {
		if _, err := m.change(ctx, f); err != nil {
			return err
		}
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	after, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	row := newRow("changes", before, after)
	row.ChangeRate = float64(n) / after[0].at.Sub(before[0].at).Seconds()
	row.LoadAverage = loadAverage()
	r.add(row)
	return nil
}

// measureEventTimes measures how long events take until they are known everywhere.
func (f *deployment) measureEventTimes(ctx context.Context, r *report) error {
	t := eventTimes{Daemons: len(f.daemons)}
	for range changeMeasurements + 1 { // an even number: the upstream ends active
		took, err := f.timeChange(ctx)
		if err != nil {
			return err
		}
		t.ChangeSeconds = append(t.ChangeSeconds, took.Seconds())
	}
	for i := range weightMeasurements {
		took, err := f.timeWeights(ctx, api.WeightVersion(i+2))
		if err != nil {
			return err
		}
		t.WeightsSeconds = append(t.WeightsSeconds, took.Seconds())
	}
	took, err := f.timeDeath(ctx)
	if err != nil {
		return err
	}
	t.DeathSeconds = took.Seconds()
	t.LoadAverage = loadAverage()
	r.Times = append(r.Times, t)
	return nil
}

// timeChange returns the time from the proposal until the last daemon has it in force.
func (f *deployment) timeChange(ctx context.Context) (time.Duration, error) {
	begin := time.Now()
	revision, err := f.marker.change(ctx, f)
	if err != nil {
		return 0, err
	}
	err = f.awaitAll(ctx, eventPollInterval, func(s adminapi.Status) bool { return s.ConfigOffset >= revision })
	return time.Since(begin), err
}

// timeWeights returns the time from the announcement until every engine runs it.
func (f *deployment) timeWeights(ctx context.Context, v api.WeightVersion) (time.Duration, error) {
	begin := time.Now()
	if _, err := f.change(ctx, http.MethodPost, adminapi.PathWeights, adminapi.AnnounceWeightsRequest{Model: model, Version: v}); err != nil {
		return 0, err
	}
	for _, e := range f.engines {
		for {
			var loaded struct {
				Models []struct {
					Version api.WeightVersion `json:"version"`
				} `json:"models"`
			}
			if err := f.call(ctx, http.MethodGet, e.Address, "/v1/weights", nil, &loaded); err != nil {
				return 0, err
			}
			if len(loaded.Models) == 1 && loaded.Models[0].Version == v {
				break
			}
			if err := sleep(ctx, eventPollInterval); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(begin), nil
}

// timeDeath kills the last daemon and returns the time until all others know.
func (f *deployment) timeDeath(ctx context.Context) (time.Duration, error) {
	last := len(f.daemons) - 1
	begin := time.Now()
	f.runner.Kill(f.daemons[last])
	f.daemons = f.daemons[:last]
	err := f.awaitAll(ctx, deathPollInterval, func(s adminapi.Status) bool { return countMembers(s, adminapi.MemberDead) == 1 })
	return time.Since(begin), err
}

// awaitAll waits until the condition holds of each daemon, one after the other.
func (f *deployment) awaitAll(ctx context.Context, interval time.Duration, holds func(adminapi.Status) bool) error {
	for _, d := range f.daemons {
		for {
			s, err := f.status(ctx, d)
			if err != nil {
				return err
			}
			if holds(s) {
				break
			}
			if err := sleep(ctx, interval); err != nil {
				return err
			}
		}
	}
	return nil
}
