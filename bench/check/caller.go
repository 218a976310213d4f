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

// The headers of the callers' interface.
const (
	headerCustomer       = "X-Customer"
	headerDeadline       = "X-Deadline-Ms"
	headerOutcome        = "X-Outcome"
	headerOnce           = "X-Once"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

const maxResponseBytes = 16 << 20

// Caller asks daemons as one customer.
type Caller struct {
	Customer api.CustomerID
	Client   *http.Client
	Deadline time.Duration // of each request
}

// ChatRequest is one chat completion to ask for.
type ChatRequest struct {
	Model     api.ModelName
	Messages  []work.Message
	MaxTokens int
	Stream    bool
}

// Response is what came back. Outcome is zero when the daemon did not say.
type Response struct {
	RequestID api.RequestID // empty when the daemon gave none
	Status    int
	Outcome   api.Outcome
	Text      string
	Versions  []api.WeightVersion // those reported, each once, in order of appearance
	Elapsed   time.Duration
}

// ResponseError reports a reply that is not a whole, successful answer.
type ResponseError struct {
	Status  int // zero: no answer came
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

// Chat asks the daemon at address (ip:port) and checks the answer's text.
// Errors: *ReplyError, *WrongAnswerError; the reply holds what is known.
func (c *Caller) Chat(ctx context.Context, address string, chat ChatRequest) (Response, error) {
	body, err := json.Marshal(chatRequestBody(chat))
	if err != nil {
		return Response{}, &ResponseError{Reason: "encode", Cause: err}
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/chat/completions", body, nil)
	if err != nil {
		return Response{Elapsed: time.Since(begin)}, &ResponseError{Reason: "no answer", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	reply := Response{
		RequestID: api.RequestID(res.Header.Get(headerRequestID)),
		Status:    res.StatusCode, Outcome: parseOutcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return reply, errorResponse(res, &reply)
	}
	if chat.Stream {
		err = readStream(res, &reply)
	} else {
		err = readBody(res, &reply)
	}
	reply.Elapsed = time.Since(begin)
	if err != nil {
		return reply, err
	}
	return reply, CheckText(chat.Messages, chat.MaxTokens, reply.Text)
}

// OnceRequest is one call of a plain service that must not be repeated.
type OnceRequest struct {
	Service string
	Path    string // without leading slash
	Body    []byte
	Key     string // the customer's key; may be empty
}

// CallOnce makes a plain call and returns the service's answer. Errors: *ReplyError.
func (c *Caller) CallOnce(ctx context.Context, address string, once OnceRequest) (Response, error) {
	header := http.Header{headerOnce: {"true"}}
	if once.Key != "" {
		header.Set(headerIdempotencyKey, once.Key)
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/plain/"+once.Service+"/"+once.Path, once.Body, header)
	if err != nil {
		return Response{Elapsed: time.Since(begin)}, &ResponseError{Reason: "no answer", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	reply := Response{
		RequestID: api.RequestID(res.Header.Get(headerRequestID)),
		Status:    res.StatusCode, Outcome: parseOutcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return reply, errorResponse(res, &reply)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	reply.Elapsed = time.Since(begin)
	reply.Text = string(data)
	if err != nil {
		return reply, &ResponseError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "answer cut short", Cause: err}
	}
	return reply, requireComplete(&reply)
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

// parseOutcome returns zero when the header is missing or unknown.
func parseOutcome(h http.Header) api.Outcome {
	o, err := api.ParseOutcome(h.Get(headerOutcome))
	if err != nil {
		return 0
	}
	return o
}

func errorResponse(res *http.Response, reply *Response) error {
	// What came of the body is shown as it is.
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	reply.Text = string(data)
	return &ResponseError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: shorten(string(data))}
}

func readBody(res *http.Response, reply *Response) error {
	var answer chatResponseBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return &ResponseError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "answer cut short", Cause: err}
	}
	if len(answer.Choices) != 1 {
		return &ResponseError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "not one choice"}
	}
	reply.Text = answer.Choices[0].Message.Content
	reply.addVersions(answer)
	return requireComplete(reply)
}

func requireComplete(reply *Response) error {
	if reply.Outcome != api.OutcomeComplete {
		return &ResponseError{Status: reply.Status, Outcome: reply.Outcome, Reason: "status 200 without outcome complete"}
	}
	return nil
}

func (r *Response) addVersions(a chatResponseBody) {
	all := a.WeightVersions
	if a.WeightVersion != 0 {
		all = append(all, a.WeightVersion)
	}
	for _, v := range all {
		if !slices.Contains(r.Versions, v) {
			r.Versions = append(r.Versions, v)
		}
	}
}
