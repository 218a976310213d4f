package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/check"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/duty"
)

const (
	changeTimeout       = 4 * time.Second // one call of an operator
	changeRetryInterval = 100 * time.Millisecond
	maxDrainDelay       = 3 * time.Second // no new work later than this after a mark
	operatorName        = "soak"
)

// drainPeriod is a time in which an upstream must get no new work.
type drainPeriod struct {
	Upstream api.UpstreamID
	Accepted time.Time // the mark was accepted
	Ended    time.Time // the mark was asked to be taken away
}

// operators changes the configuration as several people do at once.
type operators struct {
	deployment *deployment
	pool       *check.Pool // one thread an operator

	mu              sync.Mutex
	drains          []drainPeriod
	accepted        int // changes
	bothAccepted    int // races in which both operators were told that theirs is in force
	lastVersion     api.WeightVersion
	acceptedVersion api.WeightVersion // the highest that was accepted
	daemonOffset    int
}

const racingOperators = 2

func newOperators(d *deployment) *operators {
	return &operators{deployment: d, pool: check.NewPool(racingOperators), lastVersion: 1}
}

func (o *operators) call(ctx context.Context, daemon int, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return fleet.Do(ctx, fleet.Request{
		Method: method, Address: o.deployment.callerAddresses[daemon%daemonCount], Path: path, Body: body,
		Header: http.Header{adminapi.HeaderOperator: {operatorName}},
	}, into)
}

func (o *operators) state(ctx context.Context, daemon int) (adminapi.StateView, error) {
	var v adminapi.StateView
	err := o.call(ctx, daemon, http.MethodGet, adminapi.PathState, nil, &v)
	return v, err
}

// publish puts both lists in force for the first time. Errors: as fleet.Do.
func (o *operators) publish(ctx context.Context) error {
	base, plans := api.Revision(0), planList()
	if err := o.call(ctx, 0, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: &base, List: &plans}, nil); err != nil {
		return err
	}
	usage := o.deployment.usageList
	return o.call(ctx, 0, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: &base, List: &usage}, nil)
}

// race lets two operators make conflicting changes through two daemons at the
// same moment. It returns how many were accepted and whether any may be.
func (o *operators) race(ctx context.Context, target int, change func(ctx context.Context, operator, daemon int) error) (accepted int, unknown bool) {
	errs := make([]error, racingOperators)
	jobs := make([]func(), racingOperators)
	for i := range jobs {
		jobs[i] = func() { errs[i] = change(ctx, i, target+i) }
	}
	if o.pool.Do(ctx, jobs) != nil {
		return 0, true
	}
	for _, err := range errs {
		var status *fleet.StatusError
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &status) || status.Status != http.StatusConflict:
			unknown = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted += accepted
	if accepted == racingOperators {
		o.bothAccepted++
	}
	return accepted, unknown
}

// nextDaemon returns the daemon to use next, so that a repeated change goes to another.
func (o *operators) nextDaemon(target int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.daemonOffset++
	return target + o.daemonOffset
}

// upstream returns the upstream that a fault hits.
func (o *operators) upstream(f fault) api.Upstream {
	return o.deployment.usageList.Upstreams[f.Target%len(o.deployment.usageList.Upstreams)]
}

func (o *operators) drainQueue(f fault) string { return "drain:" + string(o.upstream(f).ID) }

// reportHostLeaving has the platform's host list say that an upstream's host leaves.
func (o *operators) reportHostLeaving(ctx context.Context, f fault) bool {
	u := o.upstream(f)
	set := func(ctx context.Context, state string) bool {
		body := map[string]any{"id": u.ID, "address": u.Address, "state": state}
		return fleet.PostJSON(ctx, o.deployment.hostList.Address, "/v1/hosts", body) == nil
	}
	if !set(ctx, "leaving") {
		return false
	}
	accepted := time.Now().Add(hostListLag) // until then the list says nothing of it
	duty.Sleep(ctx, f.Duration)
	o.mu.Lock()
	o.drains = append(o.drains, drainPeriod{Upstream: u.ID, Accepted: accepted, Ended: time.Now()})
	o.mu.Unlock()
	return set(context.WithoutCancel(ctx), "live")
}

// raceLists publishes conflicting usage lists with one base.
func (o *operators) raceLists(ctx context.Context, target int) bool {
	target = o.nextDaemon(target)
	state, err := o.state(ctx, target)
	if err != nil {
		return false
	}
	accepted, _ := o.race(ctx, target, func(ctx context.Context, operator, daemon int) error {
		list := o.deployment.usageList
		list.Upstreams = slices.Clone(list.Upstreams)
		list.Upstreams[target%engineCount].Window = engineWindow + operator
		in := adminapi.PutUsageListRequest{BaseRevision: &state.UsageRevision, List: &list}
		return o.call(ctx, daemon, http.MethodPut, adminapi.PathUsageList, in, nil)
	})
	return accepted > 0
}

// drain marks an upstream, twice at once, and takes the mark away later.
// marked is called as soon as the mark was accepted.
func (o *operators) drain(ctx context.Context, f fault, marked func(context.Context)) bool {
	id, target := o.upstream(f).ID, o.nextDaemon(f.Target)
	state, err := o.state(ctx, target)
	if err != nil {
		return false
	}
	base := state.Mark(id).Revision
	accepted, unknown := o.race(ctx, target, func(ctx context.Context, _, daemon int) error {
		return o.mark(ctx, daemon, id, base, api.MarkDraining)
	})
	at := time.Now()
	if accepted > 0 {
		marked(ctx)
		duty.Sleep(ctx, f.Duration)
	}
	if accepted > 0 || unknown {
		o.undrain(ctx, target, id, at, accepted > 0)
	}
	return accepted > 0
}

func (o *operators) mark(ctx context.Context, daemon int, id api.UpstreamID, base api.Revision, m api.Mark) error {
	path := adminapi.PathUpstreams + string(id) + "/mark"
	return o.call(ctx, daemon, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &base, Mark: m}, nil)
}

// undrain takes a mark away, trying until it is gone.
func (o *operators) undrain(ctx context.Context, daemon int, id api.UpstreamID, at time.Time, accepted bool) {
	if accepted {
		o.mu.Lock()
		o.drains = append(o.drains, drainPeriod{Upstream: id, Accepted: at, Ended: time.Now()})
		o.mu.Unlock()
	}
	for ; ; daemon++ {
		state, err := o.state(ctx, daemon)
		if err == nil && o.mark(ctx, daemon, id, state.Mark(id).Revision, api.MarkActive) == nil {
			return
		}
		if !duty.Sleep(ctx, changeRetryInterval) {
			return
		}
	}
}

// knownVersion returns the highest weight version that was accepted.
func (o *operators) knownVersion() api.WeightVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptedVersion
}

// announce puts the next weight version in force. It reports whether it was accepted.
func (o *operators) announce(ctx context.Context, daemon int) bool {
	o.mu.Lock()
	o.lastVersion++
	v := o.lastVersion
	o.mu.Unlock()
	if o.call(ctx, o.nextDaemon(daemon), http.MethodPost, adminapi.PathWeights, adminapi.AnnounceWeightsRequest{Model: model, Version: v}, nil) != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acceptedVersion = max(o.acceptedVersion, v)
	return true
}
