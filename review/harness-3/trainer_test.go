package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	rolloutPath = "/rollout/"
	model       = "m-feeding"
	// stepDeadline is the deadline of the kinds of rollouts in the sheets.
	stepDeadline = 12 * time.Second
)

// engineConfig is a configuration with one route of kind rollout.
func engineConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "rollout", "host": host, "path_prefix": rolloutPath, "type": "rollout", "timeout_ms": 10000, "full_value_ms": 400, "priority": 0, "service": "coach-models",
			"attempts": attempts, "max_queue_s": 40.0, "result_target_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "coach-models", "health_path": "/health", "max_conns": 170, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 12, "kv_capacity": 96986, "models": []any{map[string]any{"name": model}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

func newItem(id, group string) item {
	return item{
		ID: id, Path: rolloutPath + "3/" + id, Headers: map[string]string{"X-Model": model, "X-Token-Usage": "540,400", "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
		Body: []byte("prompt of " + id), Tokens: 940, Group: group,
	}
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
}

// submit hands in a batch job, at one daemon after the other, until it is accepted.
func (r *rig) submit(id string, step, minVersion, targetGroups int, items []item) error {
	body := mustJSON(map[string]any{"step": step, "model": model, "min_version": minVersion, "target_groups": targetGroups, "items": items})
	for n := range 20 {
		d := r.daemons[n%len(r.daemons)]
		a := d.call(http.MethodPost, host, rolloutPath+id, map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body, 3*time.Second)
		r.rec.printf("trainer: batch job %s with %d items to %s: %v", id, len(items), d.name, a)
		if a.err == nil && a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("batch job %s was not accepted", id)
}

// results reads a batch job's results from a position on. It returns false without an answer.
func (d *daemon) results(id string, from int) (out []result, ok bool) {
	a := d.call(http.MethodGet, host, fmt.Sprintf("/api/lots/%s?after=%d", id, from), map[string]string{"X-Wait-Ms": "400"}, nil, 3*time.Second)
	if a.err != nil || a.status != http.StatusOK {
		d.rig.rec.printf("trainer: results of %s after %d at %s: %v", id, from, d.name, a)
		return nil, false
	}
	var doc struct{ Results []result }
	if err := json.Unmarshal(a.body, &doc); err != nil {
		d.rig.rec.printf("trainer: results of %s at %s: %v", id, d.name, err)
		return nil, false
	}
	return doc.Results, true
}

// read reads the results of a batch job until done says so or a time has passed.
func (r *rig) read(id string, limit time.Duration, done func(map[string]result) bool) map[string]result {
	all := make(map[string]result)
	next := 0
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end) && !done(all); n++ {
		found, _ := r.daemons[n%len(r.daemons)].results(id, next)
		for _, f := range found {
			all[f.ID] = f
			r.rec.printf("trainer: %s position %d: %s %s, %d bytes", id, next, f.ID, f.State, len(f.Text))
			next++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return all
}

// end ends a batch job.
func (r *rig) end(id string) {
	for n := range 10 {
		d := r.daemons[n%len(r.daemons)]
		a := d.call(http.MethodDelete, host, "/api/lots/"+id, nil, nil, 3*time.Second)
		r.rec.printf("trainer: end of %s to %s: %v", id, d.name, a)
		if a.err == nil && a.status == http.StatusOK {
			return
		}
	}
}

// nameVersion names a version of the model, as a trainer does.
func (r *rig) nameVersion(v int) {
	r.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": v})
	r.rec.printf("trainer: version %d is named", v)
}
