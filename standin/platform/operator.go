package platform

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMillis                         int
	LatencyTargetMillis                   int // full_value_ms in the configuration
	Attempts                              int
	Resumable                             bool
	ItemTimeoutSeconds                    float64 // timeout of an item of a job; zero: the route is not for jobs
	ResultTargetMillis                    int     // latency target of results; only on routes for jobs
	SingleVersion                         bool    // one weight version generates the whole text of an item
	Public                                bool    // the route takes requests without a key
}

// Tenant is a tenant of the operator's configuration, whose clients identify themselves by
// one of its keys.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Service is a service of the operator's configuration. If it has models, its
// servers are engines.
type Service struct {
	Name   string
	Models []string
}

const (
	maxConnections = 100
	// defaultMaxBodyBytes is that of Store.MaxBodyBytes.
	defaultMaxBodyBytes = 1 << 20
	engineSlots         = 4
	operatorTopic       = "keyed.op"
)

// PublishConfig publishes a version of the configuration as the operator does. Without
// tenants, clients need no keys.
func (s *Store) PublishConfig(version int, routes []Route, services []Service, tenants ...Tenant) {
	routeRows := []map[string]any{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.PathPrefix, "type": r.Kind, "service": r.Service,
			"timeout_ms": r.TimeoutMillis, "full_value_ms": r.LatencyTargetMillis, "attempts": r.Attempts, "resumable": r.Resumable, "public": r.Public,
		}
		if r.ItemTimeoutSeconds > 0 {
			row["max_queue_s"], row["result_target_ms"] = r.ItemTimeoutSeconds, r.ResultTargetMillis
			row["single_version"] = r.SingleVersion
		}
		routeRows = append(routeRows, row)
	}
	serviceRows := []map[string]any{}
	for _, v := range services {
		row := map[string]any{"name": v.Name, "max_conns": maxConnections}
		if len(v.Models) > 0 {
			models := []map[string]any{}
			for _, m := range v.Models {
				models = append(models, map[string]any{"name": m})
			}
			row["engine"] = map[string]any{"slots": engineSlots, "models": models}
		}
		serviceRows = append(serviceRows, row)
	}
	config := map[string]any{
		"version": version, "routes": routeRows, "services": serviceRows, "limits": map[string]any{"max_body_bytes": s.MaxBodyBytes, "max_header_bytes": s.MaxHeaderBytes},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	s.PutJSON(operatorTopic, "config", config)
}

// PublishVersion announces a model's next weight version as its trainer does.
func (s *Store) PublishVersion(model string, version int) {
	s.PutJSON(operatorTopic, "version/"+model, map[string]any{"model": model, "version": version})
}
