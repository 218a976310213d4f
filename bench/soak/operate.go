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
	changeTimeout       = 4 * time.Second // of one call of an operator
	changeRetryInterval = 100 * time.Millisecond
	maxDrainDelay       = 3 * time.Second // during which a drained upstream, or one on a leaving host, may still get new work
	operatorName        = "soak"
)

// drainPeriod is a time during which an upstream must get no new work.
type drainPeriod struct {
	Upstream api.UpstreamID
	Accepted time.Time // when the mark was accepted
	Ended    time.Time // when the removal of the mark was requested
}

// operators makes concurrent configuration changes as several operators do.
type operators struct {
	deployment *deployment
	pool       *check.Pool // one thread per operator

	mu              sync.Mutex
	drains          []drainPeriod
	accepted        int               // number of accepted changes
	bothAccepted    int               // number of races in which both changes were accepted
	lastVersion     api.WeightVersion // the highest announced
	acceptedVersion api.WeightVersion // the highest accepted
	daemonOffset    int               // see nextDaemon
}

// racingOperators is the number of operators that make conflicting changes.
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

// publish publishes the first plan list and usage list. Errors: as fleet.Do.
func (o *operators) publish(ctx context.Context) error {
	base, plans := api.Revision(0), planList()
	if err := o.call(ctx, 0, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: &base, List: &plans}, nil); err != nil {
		return err
	}
	usage := o.deployment.usageList
	return o.call(ctx, 0, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: &base, List: &usage}, nil)
}

// race makes conflicting changes of two operators through two daemons at the same
// time. It returns the number of accepted changes and whether the outcome of any is
// unknown.
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

// nextDaemon returns the number of the daemon, modulo daemonCount, through which to
// make the next change to target. Each call returns another one, so that retries go
// through other daemons.
func (o *operators) nextDaemon(target int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.daemonOffset++
	return target + o.daemonOffset
}

// upstream returns the target of a fault.
func (o *operators) upstream(f fault) api.Upstream {
	return o.deployment.usageList.Upstreams[f.Target%len(o.deployment.usageList.Upstreams)]
}

// drainQueue names the queue of faults that drain an upstream.
func (o *operators) drainQueue(f fault) string { return "drain:" + string(o.upstream(f).ID) }

// reportHostLeaving marks an upstream's host as leaving in the platform's host list for
// the duration of the fault. It reports whether the list accepted both changes.
func (o *operators) reportHostLeaving(ctx context.Context, f fault) bool {
	u := o.upstream(f)
	setState := func(ctx context.Context, state string) bool {
		body := map[string]any{"id": u.ID, "address": u.Address, "state": state}
		return fleet.PostJSON(ctx, o.deployment.hostList.Address, "/v1/hosts", body) == nil
	}
	if !setState(ctx, "leaving") {
		return false
	}
	accepted := time.Now().Add(hostListLag) // when the list shows the change
	duty.Sleep(ctx, f.Duration)
	o.mu.Lock()
	o.drains = append(o.drains, drainPeriod{Upstream: u.ID, Accepted: accepted, Ended: time.Now()})
	o.mu.Unlock()
	return setState(context.WithoutCancel(ctx), "live")
}

// raceLists publishes conflicting usage lists with the same base revision. It reports
// whether any was accepted.
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
		request := adminapi.PutUsageListRequest{BaseRevision: &state.UsageRevision, List: &list}
		return o.call(ctx, daemon, http.MethodPut, adminapi.PathUsageList, request, nil)
	})
	return accepted > 0
}

// drain marks an upstream as draining, by two operators at the same time, and removes
// the mark after the fault's duration. marked is called after the mark was accepted.
// It reports whether the mark was accepted.
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
	acceptedAt := time.Now()
	if accepted > 0 {
		marked(ctx)
		duty.Sleep(ctx, f.Duration)
	}
	if accepted > 0 || unknown {
		o.undrain(ctx, target, id, acceptedAt, accepted > 0)
	}
	return accepted > 0
}

func (o *operators) mark(ctx context.Context, daemon int, id api.UpstreamID, base api.Revision, m api.Mark) error {
	path := adminapi.PathUpstreams + string(id) + "/mark"
	return o.call(ctx, daemon, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &base, Mark: m}, nil)
}

// undrain removes a mark; it retries until it succeeds or ctx ends.
func (o *operators) undrain(ctx context.Context, daemon int, id api.UpstreamID, acceptedAt time.Time, accepted bool) {
	if accepted {
		o.mu.Lock()
		o.drains = append(o.drains, drainPeriod{Upstream: id, Accepted: acceptedAt, Ended: time.Now()})
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

// highestAcceptedVersion returns the highest weight version whose announcement was
// accepted.
func (o *operators) highestAcceptedVersion() api.WeightVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptedVersion
}

// announce announces the next weight version. It reports whether it was accepted.
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
