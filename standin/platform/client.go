package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client calls daemons as the platform's clients and trainers do. It may be
// used from any thread.
type Client struct {
	HTTP *http.Client
	Host string // whose routes are asked
}

// Call is one attempt of a client.
type Call struct {
	Method, Path string
	RequestID    string // of the attempt; empty: the call has none
	Model        string // empty for a plain service
	Body         []byte
	Deadline     time.Duration
	Wait         time.Duration // how long the answer may be kept waiting for news
}

// Response is what came of a call. With an error set, no whole answer came.
type Response struct {
	Status    int
	RequestID string // that the answer echoes
	Signature string // empty: the answer is the daemon's own
	Body      []byte
	Err       error
}

// PromisesNotRun reports whether the answer promises that the call never runs.
func (a Response) PromisesNotRun() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Send makes a call at a daemon (ip:port).
func (c *Client) Send(ctx context.Context, address string, call Call) Response {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{Err: err}
	}
	r.Host = c.Host
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	for name, value := range map[string]string{"X-Request-Id": call.RequestID, "X-Model": call.Model} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if call.Wait > 0 {
		r.Header.Set("X-Wait-Ms", strconv.FormatInt(call.Wait.Milliseconds(), 10))
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	a := Response{Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"), Signature: response.Header.Get("X-Response-Signature")}
	a.Body, a.Err = io.ReadAll(response.Body)
	return a
}

// Job is a trainer's job of one step.
type Job struct {
	ID           string `json:"-"`
	Step         int    `json:"step"`
	Model        string `json:"model"`
	MinVersion   int    `json:"min_version"`
	TargetGroups int    `json:"target_groups"`
	Items        []Item `json:"items"`
}

// Item is one item of a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// NewItem returns an item for a model.
func NewItem(id, path, model, group string) Item {
	return Item{ID: id, Path: path, Headers: map[string]string{"X-Model": model}, Body: []byte("prompt of " + id), Tokens: 10, Group: group}
}

// SubmitJob hands a job in under a path.
func (c *Client) SubmitJob(ctx context.Context, address, path string, deadline time.Duration, j Job) Response {
	data, err := json.Marshal(j)
	if err != nil {
		return Response{Err: err}
	}
	return c.Send(ctx, address, Call{Method: http.MethodPost, Path: path + j.ID, RequestID: j.ID, Body: data, Deadline: deadline})
}

// Result is one result of a job.
type Result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
}

// Completed reports whether the result is a whole text.
func (r Result) Completed() bool { return r.State == "completed" }

// ResultPage are the results of a job from a position on.
type ResultPage struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// ReadResults reads the results of a job from a position on. Without a success the
// answer alone counts.
func (c *Client) ReadResults(ctx context.Context, address, id string, after int, wait, deadline time.Duration) (ResultPage, Response) {
	a := c.Send(ctx, address, Call{
		Method: http.MethodGet, Path: fmt.Sprintf("/api/lots/%s?after=%d", id, after), Deadline: deadline, Wait: wait,
	})
	var out ResultPage
	if a.Err == nil && a.Status == http.StatusOK {
		a.Err = json.Unmarshal(a.Body, &out)
	}
	return out, a
}

// EndJob ends a job.
func (c *Client) EndJob(ctx context.Context, address, id string, deadline time.Duration) Response {
	return c.Send(ctx, address, Call{Method: http.MethodDelete, Path: "/api/lots/" + id, Deadline: deadline})
}

// Ready reports whether a daemon says at its readiness address that it is ready.
func (c *Client) Ready(ctx context.Context, address string, deadline time.Duration) bool {
	a := c.Send(ctx, address, Call{Method: http.MethodGet, Path: "/api/ready", Deadline: deadline})
	return a.Err == nil && a.Status == http.StatusOK
}

// StreamError reports a stream that is not the one of its request.
type StreamError struct {
	RequestID           string
	GotBytes, WantBytes int // bytes
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("the stream of %s has %d bytes that are not its %d", e.RequestID, e.GotBytes, e.WantBytes)
}

// CheckStream compares a whole stream with the events that a server makes for
// a request. Errors: *StreamError.
func CheckStream(id string, events int, body []byte) error {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, EventData(id, n))
	}
	var got strings.Builder
	for _, line := range strings.SplitAfter(string(body), "\n") {
		if !strings.HasPrefix(line, "x-weight-versions:") {
			got.WriteString(line)
		}
	}
	if got.String() != want.String() {
		return &StreamError{RequestID: id, GotBytes: len(body), WantBytes: want.Len()}
	}
	return nil
}

// ItemText returns the whole text of an item.
func ItemText(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, EventData(id, n))
	}
	return strings.Join(lines, "\n")
}
