package httpupstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
)

const pathCompletions = "/v1/chat/completions"

// completionBody is the request body of a generation.
type completionBody struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	// The following fields are only sent to continue a response.
	ContinueFinalMessage *bool `json:"continue_final_message,omitempty"`
	AddGenerationPrompt  *bool `json:"add_generation_prompt,omitempty"`
}

func newCompletionBody(model api.ModelName, g *work.Generate) completionBody {
	b := completionBody{Model: model, Messages: g.Messages, MaxTokens: g.MaxTokens, Stream: true}
	if g.ResumeText == "" {
		return b
	}
	last := work.Message{Role: "assistant", Content: g.ResumeText}
	b.Messages = append(g.Messages[:len(g.Messages):len(g.Messages)], last)
	b.ContinueFinalMessage = new(bool)
	*b.ContinueFinalMessage = true
	b.AddGenerationPrompt = new(bool)
	return b
}

// Generate implements upstream.Client.
func (c *Client) Generate(ctx context.Context, t upstream.Target, id api.RequestID, model api.ModelName,
	g *work.Generate, delta func(work.Chunk) error,
) (upstream.Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := c.newCall(ctx, t)
	body, err := json.Marshal(newCompletionBody(model, g))
	if err != nil {
		return upstream.Finish{}, k.fail(api.Errorf(api.CodeInvalid, "request: %w", err))
	}
	resp, err := k.do(request{method: http.MethodPost, path: pathCompletions, contentType: "application/json", id: id, body: body})
	if err != nil {
		return upstream.Finish{}, k.fail(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return upstream.Finish{}, k.failStatus(resp)
	}
	events := newEventReader(resp.Body)
	a := &responseAssembler{id: id}
	if err := deliver(events, a, delta); err != nil {
		return upstream.Finish{}, k.fail(err)
	}
	finish, err := a.finish()
	if err != nil {
		return upstream.Finish{}, k.fail(err)
	}
	drain(resp.Body, cancel)
	return finish, nil
}

// deliver passes chunks to delta until the end marker. Errors: those of add, delta
// and the connection.
func deliver(events *eventReader, a *responseAssembler, delta func(work.Chunk) error) error {
	for !a.done {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			_, err = a.finish()
			return err
		}
		if err != nil {
			return err
		}
		chunk, err := a.add(data)
		if err != nil {
			return err
		}
		if chunk.Tokens == 0 {
			continue
		}
		if err := delta(chunk); err != nil {
			return receiverError(err)
		}
	}
	return nil
}

// receiverError adds CodeCancelled to an error of the receiver that has no code.
func receiverError(err error) error {
	var coded *api.Error
	if errors.As(err, &coded) {
		return err
	}
	return api.Errorf(api.CodeCancelled, "receiver: %w", err)
}

// drain reads the rest of a complete response, so that its connection can be
// reused. If the response does not end within drainTimeout, the connection is
// closed.
func drain(body io.Reader, cancel context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEventBytes))
}

func (c *call) failStatus(resp *http.Response) error {
	body, err := c.readAll(resp)
	if err != nil {
		return c.fail(err)
	}
	return c.fail(statusError(resp.StatusCode, body))
}
