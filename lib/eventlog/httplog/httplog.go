// Package httplog implements eventlog.Log over HTTP and JSON.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/netcount"
	"dotterelmount.example/lib/stricthttp"
)

const (
	// readTimeoutMargin is added to the wait of a read; after that time the
	// connection counts as stalled.
	readTimeoutMargin = 3 * time.Second
	// appendTimeout is the maximum duration of an append.
	appendTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
)

// StatusError is a response with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// TooLargeError is a response that exceeds the limit, in bytes.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("response exceeds %d bytes", e.Limit) }

type log struct {
	base          string
	client        *http.Client
	timeoutMargin time.Duration
}

// Metrics of this process: appends and reads sent, and bytes_in and bytes_out of
// the connections of clients created by New.
var (
	counters = expvar.NewMap("platform_log")
	traffic  = netcount.New(counters)
)

// maxIdleConns is the number of idle connections kept open to the log. The reader,
// the appender and the trainers' readers call concurrently.
const maxIdleConns = 8

func countedTransport() *stricthttp.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = traffic.Dial(t.DialContext)
	t.MaxIdleConnsPerHost = maxIdleConns
	return stricthttp.New(t)
}

// New returns a client of the log at address (host:port). If client is nil, New
// creates one with its own connection pool, whose bytes are counted.
func New(address string, client *http.Client) eventlog.Log {
	return newLog(address, client, readTimeoutMargin)
}

func newLog(address string, client *http.Client, margin time.Duration) *log {
	if client == nil {
		client = &http.Client{Transport: countedTransport()}
	}
	return &log{base: "http://" + address, client: client, timeoutMargin: margin}
}

// Append implements eventlog.Log.
func (l *log) Append(ctx context.Context, stream string, records []eventlog.Record) (api.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	counters.Add("appends", 1)
	resp, err := l.post(ctx, PathAppend, AppendRequest{Stream: stream, Records: records})
	if err == nil && resp.status == http.StatusOK {
		offset, err := DecodeAppend(resp.body)
		if err != nil {
			return 0, &eventlog.AmbiguousError{Cause: err}
		}
		return offset, nil
	}
	if err == nil {
		err = &StatusError{Status: resp.status}
	}
	if !resp.sent || resp.notAppended() {
		return 0, &eventlog.UnavailableError{Op: "append", Cause: err}
	}
	return 0, &eventlog.AmbiguousError{Cause: err}
}

// Read implements eventlog.Log.
func (l *log) Read(ctx context.Context, positions []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+l.timeoutMargin)
	defer cancel()
	counters.Add("reads", 1)
	request := ReadRequest{Positions: positions, Limit: limit, WaitMillis: wait.Milliseconds()}
	resp, err := l.post(ctx, PathRead, request)
	if err == nil && resp.status != http.StatusOK {
		err = &StatusError{Status: resp.status}
	}
	var batches []eventlog.Batch
	if err == nil {
		batches, err = DecodeRead(resp.body, positions)
	}
	if err != nil {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: err}
	}
	return batches, nil
}

// logResponse is the response to a request. sent is true if a byte of the request
// may have reached the log.
type logResponse struct {
	sent   bool
	status int
	header http.Header
	body   []byte
}

func (r *logResponse) notAppended() bool {
	return r.status == http.StatusServiceUnavailable && r.header.Get(HeaderNotAppended) == "true"
}

// post sends a request at most once. After an error it closes the idle connections,
// which may have stalled as well, so that the next call opens a new one.
func (l *log) post(ctx context.Context, path string, payload any) (logResponse, error) {
	body, err := json.Marshal(payload)
	if err != nil {
		return logResponse{}, err
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, l.base+path, bytes.NewReader(body))
	if err != nil {
		return logResponse{}, err
	}
	request.GetBody = nil // prevents net/http from retrying the request
	request.Header.Set("Content-Type", "application/json")
	resp, err := l.exchange(request)
	resp.sent = sent.Load()
	if err != nil {
		l.client.CloseIdleConnections()
	}
	return resp, err
}

func (l *log) exchange(request *http.Request) (logResponse, error) {
	response, err := l.client.Do(request)
	if err != nil {
		return logResponse{}, err
	}
	defer response.Body.Close()
	out := logResponse{status: response.StatusCode, header: response.Header}
	out.body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(out.body) > maxResponseBytes {
		err = &TooLargeError{Limit: maxResponseBytes}
	}
	return out, err
}
