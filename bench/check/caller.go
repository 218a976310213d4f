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
	headerCustomer = "X-Customer"
	headerDeadline = "X-Deadline-Ms"
	headerOutcome  = "X-Outcome"
	headerOnce     = "X-Once"
	headerKey      = "Idempotency-Key"
	headerRequest  = "X-Request-Id"
)

const maxAnswerBytes = 16 << 20

// Caller asks daemons as one customer.
type Caller struct {
	Customer api.CustomerID
	Client   *http.Client
	Deadline time.Duration // of each request
}

// Chat is one chat completion to ask for.
type Chat struct {
	Model     api.ModelName
	Messages  []work.Message
	MaxTokens int
	Stream    bool
}

// Reply is what came back. Outcome is zero when the daemon did not say.
type Reply struct {
	RequestID api.RequestID // empty when the daemon gave none
	Status    int
	Outcome   api.Outcome
	Text      string
	Versions  []api.WeightVersion // those reported, each once, in order of appearance
	Took      time.Duration
}

// ReplyError reports a reply that is not a whole, successful answer.
type ReplyError struct {
	Status  int // zero: no answer came
	Outcome api.Outcome
	Reason  string
	Cause   error
}

// Error implements error.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("status %d, outcome %s: %s: %v", e.Status, e.Outcome, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ReplyError) Unwrap() error { return e.Cause }

type chatBody struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream,omitempty"`
}

type chatAnswer struct {
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

// Ask asks the daemon at address (ip:port) and checks the answer's text.
// Errors: *ReplyError, *WrongAnswerError; the reply holds what is known.
func (c *Caller) Ask(ctx context.Context, address string, chat Chat) (Reply, error) {
	body, err := json.Marshal(chatBody(chat))
	if err != nil {
		return Reply{}, &ReplyError{Reason: "encode", Cause: err}
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/chat/completions", body, nil)
	if err != nil {
		return Reply{Took: time.Since(begin)}, &ReplyError{Reason: "no answer", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	reply := Reply{
		RequestID: api.RequestID(res.Header.Get(headerRequest)),
		Status:    res.StatusCode, Outcome: outcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return reply, refused(res, &reply)
	}
	if chat.Stream {
		err = readStream(res, &reply)
	} else {
		err = readWhole(res, &reply)
	}
	reply.Took = time.Since(begin)
	if err != nil {
		return reply, err
	}
	return reply, Text(chat.Messages, chat.MaxTokens, reply.Text)
}

// Once is one call of a plain service that must not be repeated.
type Once struct {
	Service string
	Path    string // without leading slash
	Body    []byte
	Key     string // the customer's key; may be empty
}

// CallOnce makes a plain call and returns the service's answer. Errors: *ReplyError.
func (c *Caller) CallOnce(ctx context.Context, address string, once Once) (Reply, error) {
	header := http.Header{headerOnce: {"true"}}
	if once.Key != "" {
		header.Set(headerKey, once.Key)
	}
	begin := time.Now()
	res, err := c.post(ctx, address, "/v1/plain/"+once.Service+"/"+once.Path, once.Body, header)
	if err != nil {
		return Reply{Took: time.Since(begin)}, &ReplyError{Reason: "no answer", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	reply := Reply{
		RequestID: api.RequestID(res.Header.Get(headerRequest)),
		Status:    res.StatusCode, Outcome: outcome(res.Header),
	}
	if res.StatusCode != http.StatusOK {
		return reply, refused(res, &reply)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	reply.Took = time.Since(begin)
	reply.Text = string(data)
	if err != nil {
		return reply, &ReplyError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "answer cut short", Cause: err}
	}
	return reply, complete(&reply)
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

// outcome returns zero when the header is missing or unknown.
func outcome(h http.Header) api.Outcome {
	o, err := api.ParseOutcome(h.Get(headerOutcome))
	if err != nil {
		return 0
	}
	return o
}

func refused(res *http.Response, reply *Reply) error {
	// What came of the body is shown as it is.
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	reply.Text = string(data)
	return &ReplyError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: shorten(string(data))}
}

func readWhole(res *http.Response, reply *Reply) error {
	var answer chatAnswer
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return &ReplyError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "answer cut short", Cause: err}
	}
	if len(answer.Choices) != 1 {
		return &ReplyError{Status: res.StatusCode, Outcome: reply.Outcome, Reason: "not one choice"}
	}
	reply.Text = answer.Choices[0].Message.Content
	reply.addVersions(answer)
	return complete(reply)
}

func complete(reply *Reply) error {
	if reply.Outcome != api.OutcomeComplete {
		return &ReplyError{Status: reply.Status, Outcome: reply.Outcome, Reason: "status 200 without outcome complete"}
	}
	return nil
}

func (r *Reply) addVersions(a chatAnswer) {
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
