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
	warmUp          = 2 * time.Second // of a load, before it is measured
	changesMeasured = 5
	weightsMeasured = 3
	changeEvery     = 500 * time.Millisecond // in the phase of changes
	eventPoll       = 20 * time.Millisecond  // between two rounds of looks
	deathPoll       = 100 * time.Millisecond
)

// measure runs the phases that were asked for: at rest, changes at rest, short
// and long answers, and the times until events are known everywhere, under the
// short load.
func measure(ctx context.Context, o options, f *fleet, r *report) error {
	for _, name := range o.phases {
		var err error
		switch name {
		case "rest":
			err = f.phase(ctx, o, r, name, nil)
		case "changes":
			err = f.changes(ctx, o, r)
		case "short":
			err = f.answer(ctx, o, r, name, o.short)
		case "long":
			err = f.answer(ctx, o, r, name, o.long)
		case "events":
			err = f.underLoad(ctx, o, o.short, func() error { return f.times(ctx, r) })
		default:
			err = api.Errorf(api.CodeInvalid, "phase %q; allowed: rest, changes, short, long, events", name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// answer measures a phase of answers of some tokens.
func (f *fleet) answer(ctx context.Context, o options, r *report, name string, tokens int) error {
	l := f.startLoad(o.rate, tokens)
	err := pause(ctx, warmUp)
	if err == nil {
		err = f.phase(ctx, o, r, name, l)
	}
	return errors.Join(err, l.stop(ctx))
}

func (f *fleet) underLoad(ctx context.Context, o options, tokens int, do func() error) error {
	l := f.startLoad(o.rate, tokens)
	return errors.Join(do(), l.stop(ctx))
}

// phase measures for a while what each daemon spends.
func (f *fleet) phase(ctx context.Context, o options, r *report, name string, l *load) error {
	before, err := f.samples(ctx)
	if err != nil {
		return err
	}
	answered, failed := l.counts()
	if err := pause(ctx, o.phase); err != nil {
		return err
	}
	after, err := f.samples(ctx)
	if err != nil {
		return err
	}
	row := newRow(name, before, after)
	answeredNow, failedNow := l.counts()
	row.Requests = float64(answeredNow-answered) / o.phase.Seconds() / float64(len(f.daemons))
	row.Failed = failedNow - failed
	row.Load = loadAverage()
	r.add(row)
	return nil
}

func (l *load) counts() (answered, failed int64) {
	if l == nil {
		return 0, 0
	}
	return l.answered.Load(), l.failed.Load()
}

// marker toggles the mark of one upstream.
type marker struct {
	base api.Revision
	mark api.Mark
}

func (m *marker) change(ctx context.Context, f *fleet) (api.Revision, error) {
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

// changes measures the phase in which the configuration changes all the time.
func (f *fleet) changes(ctx context.Context, o options, r *report) error {
	before, err := f.samples(ctx)
	if err != nil {
		return err
	}
	m := &f.mark
	n := int(o.phase / changeEvery)
	n -= n % 2 // the upstream ends active
	for range n {
		if _, err := m.change(ctx, f); err != nil {
			return err
		}
		if err := pause(ctx, changeEvery); err != nil {
			return err
		}
	}
	after, err := f.samples(ctx)
	if err != nil {
		return err
	}
	row := newRow("changes", before, after)
	row.Changes = float64(n) / after[0].at.Sub(before[0].at).Seconds()
	row.Load = loadAverage()
	r.add(row)
	return nil
}

// times measures how long events take until they are known everywhere.
func (f *fleet) times(ctx context.Context, r *report) error {
	t := times{Daemons: len(f.daemons)}
	for range changesMeasured + 1 { // an even number: the upstream ends active
		took, err := f.timeChange(ctx)
		if err != nil {
			return err
		}
		t.Changes = append(t.Changes, took.Seconds())
	}
	for i := range weightsMeasured {
		took, err := f.timeWeights(ctx, api.WeightVersion(i+2))
		if err != nil {
			return err
		}
		t.Weights = append(t.Weights, took.Seconds())
	}
	took, err := f.timeDeath(ctx)
	if err != nil {
		return err
	}
	t.Death = took.Seconds()
	t.Load = loadAverage()
	r.Times = append(r.Times, t)
	return nil
}

// timeChange returns the time from the proposal until the last daemon has it in force.
func (f *fleet) timeChange(ctx context.Context) (time.Duration, error) {
	begin := time.Now()
	revision, err := f.mark.change(ctx, f)
	if err != nil {
		return 0, err
	}
	err = f.everywhere(ctx, eventPoll, func(s adminapi.Status) bool { return s.ConfigOffset >= revision })
	return time.Since(begin), err
}

// timeWeights returns the time from the announcement until every engine runs it.
func (f *fleet) timeWeights(ctx context.Context, v api.WeightVersion) (time.Duration, error) {
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
			if err := pause(ctx, eventPoll); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(begin), nil
}

// timeDeath kills the last daemon and returns the time until all others know.
func (f *fleet) timeDeath(ctx context.Context) (time.Duration, error) {
	last := len(f.daemons) - 1
	begin := time.Now()
	f.runner.Kill(f.daemons[last])
	f.daemons = f.daemons[:last]
	err := f.everywhere(ctx, deathPoll, func(s adminapi.Status) bool { return inState(s, adminapi.MemberDead) == 1 })
	return time.Since(begin), err
}

// everywhere waits until the condition holds of each daemon, one after the other.
func (f *fleet) everywhere(ctx context.Context, interval time.Duration, holds func(adminapi.Status) bool) error {
	for _, d := range f.daemons {
		for {
			s, err := f.status(ctx, d)
			if err != nil {
				return err
			}
			if holds(s) {
				break
			}
			if err := pause(ctx, interval); err != nil {
				return err
			}
		}
	}
	return nil
}
