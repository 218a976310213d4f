// Package fleet has helpers for programs that start a whole deployment: they send
// HTTP requests to its processes, wait until daemons are ready and read their
// counts of invariant violations.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/proc"
)

// AnyPort is a loopback listen address with a port chosen by the system.
const AnyPort = "127.0.0.1:0"

// readyInterval is the time between two readiness checks.
const readyInterval = 20 * time.Millisecond

// AwaitReady waits until a daemon is ready, that is, has read its configuration.
// Errors: CodeNotReady if it exits or ctx ends first.
func AwaitReady(ctx context.Context, p *proc.Process) error {
	for {
		if Ready(ctx, p.Address) {
			return nil
		}
		timer := time.NewTimer(readyInterval)
		select {
		case <-timer.C:
		case <-p.Exited():
			timer.Stop()
			return api.Errorf(api.CodeNotReady, "%s ended with status %d", p.Name, p.ExitCode())
		case <-ctx.Done():
			timer.Stop()
			return api.Errorf(api.CodeNotReady, "%s is not ready: %w", p.Name, ctx.Err())
		}
	}
}

// Ready reports whether the daemon at address (ip:port) is ready.
func Ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusNoContent
}

// Violations returns the sum of a daemon's counts of invariant violations.
// Errors: as Do, and CodeInternal if the counts are missing.
func Violations(ctx context.Context, address string) (int64, error) {
	var vars struct {
		Violations *map[string]int64 `json:"invariant_violations"`
	}
	if err := GetJSON(ctx, address, "/debug/vars", &vars); err != nil {
		return 0, err
	}
	if vars.Violations == nil {
		return 0, api.Errorf(api.CodeInternal, "/debug/vars has no invariant_violations")
	}
	var sum int64
	for _, n := range *vars.Violations {
		sum += n
	}
	return sum, nil
}

// GetJSON sends a GET request and decodes the JSON response. Errors: as Do.
func GetJSON(ctx context.Context, address, path string, into any) error {
	return Do(ctx, Request{Method: http.MethodGet, Address: address, Path: path}, into)
}

// PostJSON posts a JSON body and ignores the response body. Errors: as Do.
func PostJSON(ctx context.Context, address, path string, body any) error {
	return Do(ctx, Request{Method: http.MethodPost, Address: address, Path: path, Body: body}, nil)
}

// Request is an HTTP request with JSON bodies.
type Request struct {
	Method  string
	Address string // ip:port
	Path    string
	Body    any // nil for none
	Header  http.Header
}

// StatusError reports a response whose status is not 2xx.
type StatusError struct {
	Path   string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

const (
	maxErrorBodyBytes = 300 // of an unsuccessful response, kept in the error
	successClass      = http.StatusOK / 100
)

// Do sends a request and decodes the response into into unless it is nil.
// Errors: *StatusError, those of net/http and of encoding/json.
func Do(ctx context.Context, q Request, into any) error {
	var body io.Reader
	if q.Body != nil {
		data, err := json.Marshal(q.Body)
		if err != nil {
			return fmt.Errorf("encode %s: %w", q.Path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Address+q.Path, body)
	if err != nil {
		return fmt.Errorf("request %s: %w", q.Path, err)
	}
	for name, values := range q.Header {
		req.Header[name] = values
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send %s: %w", q.Path, err)
	}
	defer func() { _ = res.Body.Close() }()
	return decode(q.Path, res, into)
}

func decode(path string, res *http.Response, into any) error {
	if res.StatusCode/100 != successClass {
		// A partly read body still helps to explain the error.
		shown, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
		return &StatusError{Path: path, Status: res.StatusCode, Body: string(shown)}
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
