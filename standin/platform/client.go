package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client calls daemons as the platform's clients and trainers do. It is safe for
// concurrent use.
type Client struct {
	HTTP *http.Client
	Host string // Host header of the calls
	Key  string // of a tenant; empty: the calls have none
}

// Call is one attempt to send a request.
type Call struct {
	Method, Path string
	RequestID    string // of the attempt; empty: no header is sent
	Model        string // empty for a plain service
	Body         []byte
	Deadline     time.Duration // timeout of the attempt, also sent to the daemon
	Resumes      string        // attempt that brought the first event of a stream that is resumed
	LeaveAfter   int           // the caller disconnects after this many events; zero: it stays
	LastEventID  int           // number of the last event of that stream; zero: no header is sent
	Wait         time.Duration // how long the daemon may wait for new results; zero: no header is sent
}

// Response is the outcome of a call. If Err is set, no complete response arrived.
type Response struct {
	Status    int
	RequestID string // as echoed by the daemon
	Signature string // of the server that ran the request; empty: the daemon responded itself
	Body      []byte
	Err       error
}

// PromisesNotRun reports whether the status promises that the call was not run and
// never will be.
func (r Response) PromisesNotRun() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Send sends a call to the daemon at address (ip:port).
func (c *Client) Send(ctx context.Context, address string, call Call) Response {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{Err: err}
	}
	request.Host = c.Host
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	for name, value := range map[string]string{"X-Request-Id": call.RequestID, "X-Model": call.Model, "Resumes": call.Resumes} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Token "+c.Key)
	}
	if call.LastEventID > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(call.LastEventID))
	}
	if call.Wait > 0 {
		request.Header.Set("X-Wait-Ms", strconv.FormatInt(call.Wait.Milliseconds(), 10))
	}
	httpResponse, err := c.HTTP.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer httpResponse.Body.Close()
	response := Response{Status: httpResponse.StatusCode, RequestID: httpResponse.Header.Get("X-Request-Id"), Signature: httpResponse.Header.Get("X-Response-Signature")}
	response.Body, response.Err = readBody(httpResponse.Body, call.LeaveAfter)
	return response
}

// LeftError reports that the caller disconnected as the call asked for.
type LeftError struct{ Events int }

// Error implements error.
func (e *LeftError) Error() string { return fmt.Sprintf("left after %d events", e.Events) }

// readBody reads a body to its end or until it has the given number of events; zero: to its
// end. Errors: *LeftError, those of body.
func readBody(body io.Reader, events int) ([]byte, error) {
	if events == 0 {
		return io.ReadAll(body)
	}
	var got []byte
	part := make([]byte, 256)
	for bytes.Count(got, []byte("\n\n")) < events {
		n, err := body.Read(part)
		got = append(got, part[:n]...)
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
	return got, &LeftError{Events: events}
}

// Job is a job that a trainer submits for one of its steps.
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
	Scorer  *Scorer           `json:"scorer_url,omitempty"`
}

// Scorer is the request that scores an item's text.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// NewItem returns an item for a model, with a body derived from its id.
func NewItem(id, path, model, group string) Item {
	return Item{ID: id, Path: path, Headers: map[string]string{"X-Model": model}, Body: []byte("prompt of " + id), Tokens: 10, Group: group}
}

// SubmitJob submits a job; its id is appended to path.
func (c *Client) SubmitJob(ctx context.Context, address, path string, deadline time.Duration, j Job) Response {
	data, err := json.Marshal(j)
	if err != nil {
		return Response{Err: err}
	}
	return c.Send(ctx, address, Call{Method: http.MethodPost, Path: path + j.ID, RequestID: j.ID, Body: data, Deadline: deadline})
}

// Result is the result of one item of a job.
type Result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

// Completed reports whether the result has a complete text.
func (r Result) Completed() bool { return r.State == "completed" }

// ResultPage holds the results of a job from a position on.
type ResultPage struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"` // position for the following call
	Results []Result `json:"results"`
}

// ReadResults reads the results of a job after a position. The page is valid only
// if the response has status 200 and no error.
func (c *Client) ReadResults(ctx context.Context, address, id string, after int, wait, deadline time.Duration) (ResultPage, Response) {
	response := c.Send(ctx, address, Call{
		Method: http.MethodGet, Path: fmt.Sprintf("/api/lots/%s?after=%d", id, after), Deadline: deadline, Wait: wait,
	})
	var page ResultPage
	if response.Err == nil && response.Status == http.StatusOK {
		response.Err = json.Unmarshal(response.Body, &page)
	}
	return page, response
}

// EndJob ends a job.
func (c *Client) EndJob(ctx context.Context, address, id string, deadline time.Duration) Response {
	return c.Send(ctx, address, Call{Method: http.MethodDelete, Path: "/api/lots/" + id, Deadline: deadline})
}

// Ready reports whether the daemon whose readiness endpoint is at address is ready.
func (c *Client) Ready(ctx context.Context, address string, deadline time.Duration) bool {
	response := c.Send(ctx, address, Call{Method: http.MethodGet, Path: "/api/ready", Deadline: deadline})
	return response.Err == nil && response.Status == http.StatusOK
}

// StreamError reports a stream that differs from the one expected for its request.
type StreamError struct {
	RequestID           string
	GotBytes, WantBytes int
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream of request %s: got %d bytes that differ from the %d expected", e.RequestID, e.GotBytes, e.WantBytes)
}

// CheckStream compares a complete stream with the events that a server of any one
// software version generates for a request; lines with weight versions are ignored.
// Errors: *StreamError.
func CheckStream(id string, events int, body []byte) error {
	var want strings.Builder
	software := softwareOf(string(body))
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, EventData(software, id, n))
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

// softwareOf returns the software version that generated the first event of a text.
func softwareOf(text string) string {
	_, rest, _ := strings.Cut(text, "@")
	software, _, _ := strings.Cut(rest, "\n")
	return software
}

// ItemText returns the complete text of an item as generated by a software version.
func ItemText(software, id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, EventData(software, id, n))
	}
	return strings.Join(lines, "\n")
}

// IsItemText reports whether a text is the complete text of an item as generated by any
// one software version.
func IsItemText(id string, events int, text string) bool {
	return text == ItemText(softwareOf(text), id, events)
}
