package weightkeeper

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/weights"
)

// loaderTask is one action for a loader; number says which loader reports back.
type loaderTask struct {
	loader int
	action weights.Action
}

// event is what the planner duty receives: begin or one of the results.
type event interface{ event() }

type startMsg struct{}

// readResult is the end of a read-back that started at startedAt.
type readResult struct {
	loader    int
	upstream  api.UpstreamID
	loaded    map[api.ModelName]api.WeightVersion
	startedAt time.Time
	err       error
}

// loadResult is the end of an order.
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

func (l *loader) read(ctx context.Context, number int, a weights.Read) event {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ReadTimeout)
	defer cancel()
	startedAt := time.Now()
	target := upstream.Target{ID: a.Upstream, Address: a.Address}
	loaded, err := l.client.LoadedVersions(ctx, target)
	return readResult{loader: number, upstream: a.Upstream, loaded: loaded, startedAt: startedAt, err: err}
}

func (l *loader) load(ctx context.Context, number int, a weights.Load) event {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LoadTimeout)
	defer cancel()
	o := a.Order
	if !o.Valid(time.Now()) {
		err := api.Errorf(api.CodeDeadlineExceeded, "order of %s %s for %s is too old", o.Model, o.Version, o.Upstream)
		return loadResult{loader: number, order: o, result: weights.Expired, err: err}
	}
	target := upstream.Target{ID: o.Upstream, Address: a.Address}
	order := upstream.LoadOrder{Model: o.Model, Version: o.Version, Fence: o.Fence}
	if err := l.client.LoadWeights(ctx, target, order); err != nil {
		return loadResult{loader: number, order: o, result: weights.Failed, err: err}
	}
	return loadResult{loader: number, order: o, result: weights.Accepted}
}
