package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/explain"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
)

// explainTimeout bounds the time until a duty answers.
const explainTimeout = 2 * time.Second

// serveExplanation responds with where a request, or the first item of a job, would go now. It
// sends nothing.
func (n *Node) serveExplanation(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	report, err := n.explain(ctx, r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Info("sending an explanation failed", zap.Error(err))
	}
}

// explain returns the explanation for the parameters of a question. Errors: those of the
// duties that decide.
func (n *Node) explain(ctx context.Context, p url.Values) (explain.Report, error) {
	view := n.View()
	report := explain.Report{Daemon: n.settings.Daemon, ConfigAsOf: view.ConfigAsOf, UpstreamsAsOf: view.UpstreamsAsOf, Customer: p.Get("customer")}
	refuse := func(reason string, after time.Duration) (explain.Report, error) {
		report.Decision = explain.Decision{Outcome: explain.Refused, Reason: reason, RetryAfterSeconds: after.Seconds()}
		return report, nil
	}
	if view.Table == nil {
		return refuse("configuration not loaded", retryAfter)
	}
	report.ConfigVersion = view.Table.Version()
	path, _, _ := strings.Cut(p.Get("path"), "?")
	route, ok := view.Table.Match(p.Get("host"), path)
	switch {
	case !ok:
		return refuse("no matching route", 0)
	case view.Customers.Required() && report.Customer == "" && !route.Public:
		return refuse("missing key", 0)
	case view.Customers.Required() && report.Customer != "" && !view.Customers.Has(report.Customer):
		return refuse("no such customer", 0)
	}
	report.Route, report.Service = route.Name, route.PickService(0)
	report.Priority = view.Customers.Priority(report.Customer, route.Priority)
	if !n.stopping.Load().Takes(time.Now(), time.Now().Add(route.Timeout)) {
		return refuse("the daemon is stopping", retryAfter)
	}
	if route.Kind == routes.KindBatch {
		return n.explainJob(ctx, report, p, route)
	}
	var err error
	report.Decision, err = n.relay.Explain(ctx, n.hypotheticalRequest(view, route, &report, p))
	return report, err
}

func (n *Node) hypotheticalRequest(view *directory.View, route *routes.Route, report *explain.Report, p url.Values) *opaque.Request {
	left := route.Timeout
	if ms, err := strconv.ParseFloat(p.Get("deadline_ms"), 64); err == nil {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	now := time.Now()
	return &opaque.Request{
		Method: p.Get("method"), RequestURI: p.Get("path"), Host: p.Get("host"), Route: route, Service: report.Service, Customer: report.Customer,
		Priority: report.Priority, Arrived: now, Deadline: now.Add(left), ConfigVersion: view.Table.Version(),
	}
}

// explainJob explains where the first item of a job would be placed.
func (n *Node) explainJob(ctx context.Context, report explain.Report, p url.Values, route *routes.Route) (explain.Report, error) {
	minVersion, err := strconv.ParseUint(p.Get("min_version"), 10, 64)
	if err != nil {
		minVersion = 0 // default: any version
	}
	job := &batch.Job{
		Host: p.Get("host"), Service: report.Service, Customer: report.Customer, Model: api.ModelName(p.Get("model")), MinVersion: api.WeightVersion(minVersion),
		SingleVersion: route.SingleVersion, MaxAttempts: route.MaxAttempts, Items: []batch.Item{{Path: p.Get("path")}},
	}
	placement, err := n.replica.Load().ExplainPlacement(ctx, job)
	if err != nil {
		return report, err
	}
	report.Placement = &placement
	report.Decision = explain.Decision{Outcome: explain.Placed, To: placement.Upstream}
	if placement.Upstream == "" {
		report.Decision = explain.Decision{Outcome: explain.Waits, Reason: "no upstream has room for the item"}
	}
	return report, nil
}
