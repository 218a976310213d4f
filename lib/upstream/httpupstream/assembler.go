package httpupstream

import (
	"encoding/json"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
)

// doneMarker is the data of the last event of a stream.
const doneMarker = "[DONE]"

// chunkBody is an event of a generation.
type chunkBody struct {
	ID            string            `json:"id"`
	WeightVersion api.WeightVersion `json:"weight_version"`
	Choices       []choice          `json:"choices"`
	Usage         *usage            `json:"usage"`
	Error         *errorBody        `json:"error"`
}

type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// responseAssembler checks that the events of a generation form a complete response.
type responseAssembler struct {
	id             api.RequestID
	receivedTokens int    // one per chunk with content
	finishReason   string // empty until the last chunk
	declaredTokens int    // number of tokens declared by the last chunk
	done           bool
}

// add processes the next event and returns its chunk; the chunk of an event
// without text has no tokens. Errors: CodeInvalid for a malformed event or one of
// another request, CodeTruncated for a premature end, CodeUpstreamFailed for an
// error reported by the engine.
func (a *responseAssembler) add(data []byte) (work.Chunk, error) {
	if string(data) == doneMarker {
		a.done = true
		_, err := a.finish()
		return work.Chunk{}, err
	}
	var c chunkBody
	if err := json.Unmarshal(data, &c); err != nil {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "event: %w", err)
	}
	if c.Error != nil {
		return work.Chunk{}, api.Errorf(api.CodeUpstreamFailed, "engine error %q: %s", c.Error.Code, c.Error.Message)
	}
	if c.ID != string(a.id) {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "event has request id %q, want %q", c.ID, a.id)
	}
	if a.finishReason != "" {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "event after the last chunk")
	}
	return a.addChunk(&c)
}

func (a *responseAssembler) addChunk(c *chunkBody) (work.Chunk, error) {
	if len(c.Choices) != 1 {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "event has %d choices, want 1", len(c.Choices))
	}
	choice := c.Choices[0]
	chunk := work.Chunk{Text: choice.Delta.Content, Version: c.WeightVersion}
	if chunk.Text != "" {
		chunk.Tokens = 1
		a.receivedTokens++
	}
	if choice.FinishReason == nil {
		return chunk, nil
	}
	if r := *choice.FinishReason; r != "stop" && r != "length" {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "finish reason %q; allowed: stop, length", r)
	}
	if c.Usage == nil {
		return work.Chunk{}, api.Errorf(api.CodeInvalid, "last chunk has no usage")
	}
	a.finishReason, a.declaredTokens = *choice.FinishReason, c.Usage.CompletionTokens
	return chunk, nil
}

// finish returns the end of a complete response. Errors: CodeTruncated.
func (a *responseAssembler) finish() (upstream.Finish, error) {
	if !a.done {
		return upstream.Finish{}, api.Errorf(api.CodeTruncated, "stream ended without end marker after %d tokens", a.receivedTokens)
	}
	if a.finishReason == "" {
		return upstream.Finish{}, api.Errorf(api.CodeTruncated, "stream ended without last chunk after %d tokens", a.receivedTokens)
	}
	if a.declaredTokens != a.receivedTokens {
		return upstream.Finish{}, api.Errorf(api.CodeTruncated, "received %d of %d tokens", a.receivedTokens, a.declaredTokens)
	}
	return upstream.Finish{Reason: a.finishReason, Tokens: a.receivedTokens}, nil
}
