package httplog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
)

// Paths and headers of the log's HTTP API.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
	// HeaderNotAppended is "true" in a 503 response to an append without effect.
	HeaderNotAppended = "X-Log-Not-Appended"
)

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Stream  string            `json:"stream"`
	Records []eventlog.Record `json:"records"`
}

// AppendResponse is the body of the response to a successful append.
type AppendResponse struct {
	Offset api.Offset `json:"offset"` // of the first record
}

// ReadRequest is the body of a read request.
type ReadRequest struct {
	Positions  []eventlog.Position `json:"positions"`
	Limit      int                 `json:"limit"`
	WaitMillis int64               `json:"wait_millis"`
}

// ReadResponse is the body of the response to a successful read.
type ReadResponse struct {
	Batches []eventlog.Batch `json:"batches"`
}

// DecodeError is a response that violates the API.
type DecodeError struct {
	Detail string
	Cause  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Cause == nil {
		return "malformed response: " + e.Detail
	}
	return fmt.Sprintf("malformed response: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

func malformed(format string, args ...any) error {
	return &DecodeError{Detail: fmt.Sprintf(format, args...)}
}

// DecodeAppend decodes the response to an append. Errors: *DecodeError.
func DecodeAppend(body []byte) (api.Offset, error) {
	var resp AppendResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return 0, &DecodeError{Detail: "append", Cause: err}
	}
	if resp.Offset == 0 {
		return 0, malformed("append: offset is missing")
	}
	return resp.Offset, nil
}

// DecodeRead decodes the response to a read of the positions. It checks that each
// batch belongs to its position and that its offsets are consecutive. Errors:
// *DecodeError.
func DecodeRead(body []byte, positions []eventlog.Position) ([]eventlog.Batch, error) {
	var resp ReadResponse
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&resp); err != nil {
		return nil, &DecodeError{Detail: "read", Cause: err}
	}
	if len(resp.Batches) != len(positions) {
		return nil, malformed("read: %d batches for %d positions", len(resp.Batches), len(positions))
	}
	for i := range resp.Batches {
		if err := checkBatch(&resp.Batches[i], positions[i]); err != nil {
			return nil, err
		}
	}
	return resp.Batches, nil
}

func checkBatch(b *eventlog.Batch, p eventlog.Position) error {
	if b.Stream != p.Stream {
		return malformed("read: batch of stream %q, want %q", b.Stream, p.Stream)
	}
	if b.Oldest == 0 || b.Next < b.Oldest {
		return malformed("read: stream %q: oldest %d, next %d", b.Stream, b.Oldest, b.Next)
	}
	want := max(p.Offset, b.Oldest)
	for i := range b.Entries {
		if b.Entries[i].Offset != want {
			return malformed("read: stream %q: offset %d, want %d", b.Stream, b.Entries[i].Offset, want)
		}
		want++
	}
	if len(b.Entries) > 0 && want > b.Next {
		return malformed("read: stream %q: entries beyond next %d", b.Stream, b.Next)
	}
	return nil
}
