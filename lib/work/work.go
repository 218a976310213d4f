// Package work defines the types with which a front end submits a request to the
// dispatcher and receives its result. It encodes no messages.
package work

import (
	"context"
	"time"

	"dotterelmount.example/api"
)

// Job is a request to an upstream. The dispatcher owns it from Submit until
// Sink.Finish.
type Job struct {
	ID       api.RequestID
	Customer api.CustomerID
	Plan     api.PlanName
	Model    api.ModelName
	Lane     api.Lane
	// Repeatable is false for a request that may run at most once: it is not
	// retried after a byte of it may have reached an upstream.
	Repeatable  bool
	Fingerprint api.Fingerprint
	Prefix      uint64    // hash of the prompt's prefix, for cache affinity; zero: none
	CostTokens  int       // maximum tokens of the response; 1 for a plain call
	Deadline    time.Time // time at which the request is aborted
	Call        Call
	// Stream requests chunks as they arrive; otherwise only Finish is called.
	Stream bool
	Sink   Sink
}

// Call is the content of a request. Exactly one field is set.
type Call struct {
	Generate *Generate
	Plain    *Plain
}

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Generate asks a model engine to continue a chat.
type Generate struct {
	Messages  []Message
	MaxTokens int
	// ResumeText is the text generated so far, which the engine continues.
	ResumeText string
}

// Plain is a call to a plain service.
type Plain struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Chunk is a part of a generated text with the weight version that generated it.
type Chunk struct {
	Text    string
	Version api.WeightVersion
	Tokens  int
}

// Result is the result of a job.
type Result struct {
	Outcome api.Outcome
	Err     error // nil if and only if Outcome is OutcomeComplete
	// Text is the complete text of an engine, even if chunks were sent.
	Text   string
	Tokens int
	// Versions are the weight versions that generated the text, oldest first,
	// without duplicates.
	Versions     []api.WeightVersion
	FinishReason string
	// Status, ContentType and Body are the response of a plain service.
	Status      int
	ContentType string
	Body        []byte
	Upstreams   []api.UpstreamID // in the order of the attempts
}

// Sink receives the result of a job.
type Sink interface {
	// WriteChunk delivers the next chunk, and blocks until there is space or ctx
	// ends. It is called in order on a worker thread, only for streamed jobs. It
	// returns an error if the receiver has disconnected.
	WriteChunk(ctx context.Context, c Chunk) error
	// Finish delivers the result. It is called exactly once and does not block.
	Finish(a Result)
}

// Submitter accepts jobs.
type Submitter interface {
	// Submit queues a job. If it returns nil, Sink.Finish is called exactly once;
	// otherwise the job has not run. Errors: *api.Error.
	Submit(j *Job) error
	// Cancel requests the early end of a job. Finish is still called.
	Cancel(id api.RequestID)
}
