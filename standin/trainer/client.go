package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dotterelmount.example/api"
)

// client calls one daemon and switches to the next one after a failure.
type client struct {
	http        http.Client
	daemons     []string
	daemonIndex int           // modulo len(daemons): the daemon in use
	timeout     time.Duration // of one call
}

// retryPause is the delay after a failed call, so that a trainer does not retry
// in a busy loop.
const retryPause = 50 * time.Millisecond

// statusError reports a response with a status other than 200.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.status) + ": " + e.body }

// call sends one request to the current daemon. If it fails, call switches to the
// next daemon and pauses. Errors: *statusError, *api.Error.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	err := c.attempt(ctx, method, path, in, out)
	if err == nil {
		return nil
	}
	c.daemonIndex++
	c.http.CloseIdleConnections() // their peer may no longer respond
	pause := time.NewTimer(retryPause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return err
}

// attempt sends one request to the current daemon. Errors: as those of call.
func (c *client) attempt(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return api.Errorf(api.CodeInternal, "encode request: %w", err)
	}
	url := "http://" + c.daemons[c.daemonIndex%len(c.daemons)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return api.Errorf(api.CodeInvalid, "create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return api.Errorf(api.CodeUpstreamFailed, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return api.Errorf(api.CodeTruncated, "read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode, body: string(raw)}
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return api.Errorf(api.CodeTruncated, "decode response: %w", err)
	}
	return nil
}
