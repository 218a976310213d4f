package hosted

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/explain"
	"go.uber.org/zap"
)

// keyPolicy says how long keys are valid without a new read of the configuration.
func (n *Node) keyPolicy() access.Policy {
	return access.Policy{MaxAge: maxConfigAge, FailClosed: n.settings.Keys.FailClosed, Revoke: n.settings.Keys.Revoke}
}

// metricsHandler serves the metrics and, below /debug/, what this daemon knows of the keys of
// customers and where a request would go.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", expvar.Handler())
	mux.HandleFunc("GET "+access.ReportPath, n.serveKeys)
	mux.HandleFunc("GET "+explain.Path, n.serveExplanation)
	return mux
}

func (n *Node) serveKeys(w http.ResponseWriter, _ *http.Request) {
	view := n.View()
	report := access.Report{
		Daemon: n.settings.Daemon, AsOf: view.ConfigAsOf, AgeSeconds: time.Since(view.ConfigAsOf).Seconds(), Required: view.Customers.Required(),
		FailClosed: n.settings.Keys.FailClosed, Customers: view.Customers.Report(), Ignored: view.Customers.Ignored(),
	}
	if view.Table != nil {
		report.ConfigVersion = view.Table.Version()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Info("sending the report of keys failed", zap.Error(err))
	}
}
