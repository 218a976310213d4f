// Package fleet holds what programs that start a whole deployment share: asking
// its processes over HTTP, waiting until daemons are ready and reading their
// invariants.
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

// AnyPort is the listen address of programs whose port does not matter.
const AnyPort = "127.0.0.1:0"

// readyInterval is the pause between two looks whether a daemon is ready.
const readyInterval = 20 * time.Millisecond

// AwaitReady waits until a daemon has read its configuration. Errors: CodeNotReady.
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

// Violations sums a daemon's counts of broken invariants; a missing map is an
// error, not zero. Errors: as Ask, CodeInternal.
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

// GetJSON reads a JSON body. Errors: as Ask.
func GetJSON(ctx context.Context, address, path string, into any) error {
	return Do(ctx, Request{Method: http.MethodGet, Address: address, Path: path}, into)
}

// PostJSON sends a JSON body and drops the answer's. Errors: as Ask.
func PostJSON(ctx context.Context, address, path string, body any) error {
	return Do(ctx, Request{Method: http.MethodPost, Address: address, Path: path, Body: body}, nil)
}

// Request is one HTTP request with JSON bodies.
type Request struct {
	Method  string
	Address string // ip:port
	Path    string
	Body    any // nil: none
	Header  http.Header
}

// StatusError reports an answer whose status is not a success.
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
	maxErrorBodyBytes = 300 // bytes of a failed answer kept
	successClass      = http.StatusOK / 100
)

// Do sends a question and decodes the answer into into unless it is nil.
// Errors: *StatusError, those of net/http and of the JSON codec.
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
		return fmt.Errorf("ask %s: %w", q.Path, err)
	}
	defer func() { _ = res.Body.Close() }()
	return decode(q.Path, res, into)
}

func decode(path string, res *http.Response, into any) error {
	if res.StatusCode/100 != successClass {
		// What came of the body is shown as it is.
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
