// Package work holds the types with which a front end hands a request to the
// dispatcher and gets its answer back. It encodes no message.
package work

import (
	"context"
	"time"

	"dotterelmount.example/api"
)

// Job is one request on its way to an upstream. The dispatcher owns it from
// Submit until Sink.Finish.
type Job struct {
	ID       api.RequestID
	Customer api.CustomerID
	Plan     api.PlanName
	Model    api.ModelName
	Lane     api.Lane
	// Repeatable is false for a request that may run at most once: it is never
	// sent again once a byte of it may have reached an upstream.
	Repeatable  bool
	Fingerprint api.Fingerprint
	Prefix      uint64    // hash of the prompt's prefix, for cache affinity; zero: none
	CostTokens  int       // tokens the answer may have at most; 1 for a plain call
	Deadline    time.Time // the request is given up then
	Call        Call
	// Stream asks for chunks as they come; otherwise only Finish is called.
	Stream bool
	Sink   Sink
}

// Call is what goes to the upstream: exactly one of the two is set.
type Call struct {
	Generate *Generate
	Plain    *Plain
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Generate asks a model engine to continue a chat.
type Generate struct {
	Messages  []Message
	MaxTokens int
	// ResumeText is the answer's text so far, which the engine continues.
	ResumeText string
}

// Plain is a call of a plain service.
type Plain struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Chunk is a piece of an answer with the weight version that made it.
type Chunk struct {
	Text    string
	Version api.WeightVersion
	Tokens  int
}

// Result ends a job.
type Result struct {
	Outcome api.Outcome
	Err     error // nil if and only if Outcome is complete
	// Text is the whole answer of an engine, also when chunks were sent.
	Text   string
	Tokens int
	// Versions that made the tokens, oldest first, each once.
	Versions     []api.WeightVersion
	FinishReason string
	// Status, ContentType and Body are a plain service's answer.
	Status      int
	ContentType string
	Body        []byte
	Upstreams   []api.UpstreamID // in the order in which they were tried
}

// Sink receives a job's answer.
type Sink interface {
	// WriteChunk delivers the next piece, waiting for room until ctx ends. It is
	// called on a carrier's thread, in order, only for streamed jobs.
	// Errors: those of the receiver that went away.
	WriteChunk(ctx context.Context, c Chunk) error
	// Finish delivers the end exactly once and never blocks.
	Finish(a Result)
}

// Submitter takes jobs.
type Submitter interface {
	// Submit queues the job or refuses it as not run; after a nil return
	// Sink.Finish is called exactly once. Errors: *api.Error.
	Submit(j *Job) error
	// Cancel asks to end a job early; Finish still follows.
	Cancel(id api.RequestID)
}
