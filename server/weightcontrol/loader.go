package weightcontrol

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/weights"
)

// loaderTask is one action for the loader with the given index.
type loaderTask struct {
	loader int
	action weights.Action
}

// event is a message to the planner duty.
type event interface{ event() }

type startMsg struct{}

// readResult is the result of a read-back that started at startedAt.
type readResult struct {
	loader    int
	upstream  api.UpstreamID
	loaded    map[api.ModelName]api.WeightVersion
	startedAt time.Time
	err       error
}

// loadResult is the result of an order.
type loadResult struct {
	loader int
	order  weights.Order
	result weights.Result
	err    error
}

func (startMsg) event()   {}
func (readResult) event() {}
func (loadResult) event() {}

// loader makes one blocking call at a time.
type loader struct {
	cfg       Config
	client    upstream.Client
	postEvent func(event)
}

// Handle implements duty.Handler.
func (l *loader) Handle(ctx context.Context, j loaderTask) {
	switch a := j.action.(type) {
	case weights.Read:
		l.postEvent(l.read(ctx, j.loader, a))
	case weights.Load:
		l.postEvent(l.load(ctx, j.loader, a))
	}
}

func (l *loader) read(ctx context.Context, index int, a weights.Read) event {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ReadTimeout)
	defer cancel()
	startedAt := time.Now()
	target := upstream.Target{ID: a.Upstream, Address: a.Address}
	loaded, err := l.client.LoadedVersions(ctx, target)
	return readResult{loader: index, upstream: a.Upstream, loaded: loaded, startedAt: startedAt, err: err}
}

func (l *loader) load(ctx context.Context, index int, a weights.Load) event {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LoadTimeout)
	defer cancel()
	o := a.Order
	if !o.Valid(time.Now()) {
		err := api.Errorf(api.CodeDeadlineExceeded, "load order of %s %s for %s has expired", o.Model, o.Version, o.Upstream)
		return loadResult{loader: index, order: o, result: weights.Expired, err: err}
	}
	target := upstream.Target{ID: o.Upstream, Address: a.Address}
	order := upstream.LoadOrder{Model: o.Model, Version: o.Version, Fence: o.Fence}
	if err := l.client.LoadWeights(ctx, target, order); err != nil {
		return loadResult{loader: index, order: o, result: weights.Failed, err: err}
	}
	return loadResult{loader: index, order: o, result: weights.Accepted}
}
