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

// client calls one daemon after the other.
type client struct {
	http        http.Client
	daemons     []string
	daemonIndex int
	timeout     time.Duration
}

// retryPause keeps a trainer from asking failing daemons without a pause.
const retryPause = 50 * time.Millisecond

// statusError is an answer that is not a success.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.status) + ": " + e.body }

// call sends one request to the present daemon, and picks another one and
// pauses when it fails. Errors: *statusError, *api.Error.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	err := c.attempt(ctx, method, path, in, out)
	if err == nil {
		return nil
	}
	c.daemonIndex++
	c.http.CloseIdleConnections() // one of them may be silent
	pause := time.NewTimer(retryPause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return err
}

func (c *client) attempt(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return api.Errorf(api.CodeInternal, "request: %w", err)
	}
	url := "http://" + c.daemons[c.daemonIndex%len(c.daemons)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return api.Errorf(api.CodeInvalid, "request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return api.Errorf(api.CodeUpstreamFailed, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return api.Errorf(api.CodeTruncated, "answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode, body: string(raw)}
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return api.Errorf(api.CodeTruncated, "answer: %w", err)
	}
	return nil
}
