package check

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// Headers of the caller API.
const (
	headerCustomer       = "X-Customer"
	headerDeadline       = "X-Deadline-Ms"
	headerOutcome        = "X-Outcome"
	headerOnce           = "X-Once"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

const maxResponseBytes = 16 << 20 // of a response body that is read

// Caller sends requests to daemons as one customer.
type Caller struct {
	Customer api.CustomerID
	Client   *http.Client
	Deadline time.Duration // of each request
}

// ChatRequest is one chat completion request.
type ChatRequest struct {
	Model     api.ModelName
	Messages  []work.Message
	MaxTokens int
	Stream    bool
}

// Response holds what a daemon returned. Outcome is zero if the daemon reported none.
type Response struct {
	RequestID api.RequestID // empty if the daemon sent none
	Status    int
	Outcome   api.Outcome
	Text      string
	Versions  []api.WeightVersion // distinct, in order of first appearance
	Elapsed   time.Duration
}

// ResponseError reports a response that is missing, incomplete or unsuccessful.
type ResponseError struct {
	Status  int // zero if no response arrived
	Outcome api.Outcome
	Reason  string
	Cause   error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("status %d, outcome %s: %s: %v", e.Status, e.Outcome, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

type chatRequestBody struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream,omitempty"`
}

type chatResponseBody struct {
	Choices []struct {
		Message      work.Message `json:"message"`
		Delta        work.Message `json:"delta"`
		FinishReason string       `json:"finish_reason"`
	} `json:"choices"`
	WeightVersion  api.WeightVersion   `json:"weight_version"`
	WeightVersions []api.WeightVersion `json:"weight_versions"`
	Error          json.RawMessage     `json:"error"`
	Outcome        string              `json:"outcome"`
}

// Chat sends a chat completion to the daemon at address (ip:port) and checks the
// text of the response. Errors: *ResponseError, *WrongResponseError; the
// returned Response then holds what is known.
func (c *Caller) Chat(ctx context.Context, address string, chat ChatRequest) (Response, error) {
	body, err := json.Marshal(chatRequestBody(chat))
	if err != nil {
		return Response{}, &ResponseError{Reason: "encode", Cause: err}
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/chat/completions", body, nil)
	if err != nil {
		return Response{Elapsed: time.Since(begin)}, &ResponseError{Reason: "no response", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	response := Response{
		RequestID: api.RequestID(res.Header.Get(headerRequestID)),
		Status:    res.StatusCode, Outcome: parseOutcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return response, errorResponse(res, &response)
	}
	if chat.Stream {
		err = readStream(res, &response)
	} else {
		err = readBody(res, &response)
	}
	response.Elapsed = time.Since(begin)
	if err != nil {
		return response, err
	}
	return response, CheckText(chat.Messages, chat.MaxTokens, response.Text)
}

// OnceRequest is a call of a plain service that must run at most once.
type OnceRequest struct {
	Service string
	Path    string // without leading slash
	Body    []byte
	Key     string // idempotency key; may be empty
}

// CallOnce makes an at-most-once call through the daemon at address (ip:port) and
// returns the service's response. Errors: *ResponseError.
func (c *Caller) CallOnce(ctx context.Context, address string, once OnceRequest) (Response, error) {
	header := http.Header{headerOnce: {"true"}}
	if once.Key != "" {
		header.Set(headerIdempotencyKey, once.Key)
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/plain/"+once.Service+"/"+once.Path, once.Body, header)
	if err != nil {
		return Response{Elapsed: time.Since(begin)}, &ResponseError{Reason: "no response", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	response := Response{
		RequestID: api.RequestID(res.Header.Get(headerRequestID)),
		Status:    res.StatusCode, Outcome: parseOutcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return response, errorResponse(res, &response)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	response.Elapsed = time.Since(begin)
	response.Text = string(data)
	if err != nil {
		return response, &ResponseError{Status: res.StatusCode, Outcome: response.Outcome, Reason: "response truncated", Cause: err}
	}
	return response, requireComplete(&response)
}

func (c *Caller) post(ctx context.Context, address, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerCustomer, string(c.Customer))
	if c.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	return c.Client.Do(req)
}

// parseOutcome returns zero if the header is missing or has an unknown value.
func parseOutcome(h http.Header) api.Outcome {
	o, err := api.ParseOutcome(h.Get(headerOutcome))
	if err != nil {
		return 0
	}
	return o
}

func errorResponse(res *http.Response, response *Response) error {
	// A partly read body still helps to explain the error.
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	response.Text = string(data)
	return &ResponseError{Status: res.StatusCode, Outcome: response.Outcome, Reason: shorten(string(data))}
}

func readBody(res *http.Response, response *Response) error {
	var body chatResponseBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&body); err != nil {
		return &ResponseError{Status: res.StatusCode, Outcome: response.Outcome, Reason: "response truncated", Cause: err}
	}
	if len(body.Choices) != 1 {
		return &ResponseError{Status: res.StatusCode, Outcome: response.Outcome, Reason: "number of choices is not one"}
	}
	response.Text = body.Choices[0].Message.Content
	response.addVersions(body)
	return requireComplete(response)
}

func requireComplete(response *Response) error {
	if response.Outcome != api.OutcomeComplete {
		return &ResponseError{Status: response.Status, Outcome: response.Outcome, Reason: "status 200 without outcome complete"}
	}
	return nil
}

func (r *Response) addVersions(body chatResponseBody) {
	all := body.WeightVersions
	if body.WeightVersion != 0 {
		all = append(all, body.WeightVersion)
	}
	for _, v := range all {
		if !slices.Contains(r.Versions, v) {
			r.Versions = append(r.Versions, v)
		}
	}
}
