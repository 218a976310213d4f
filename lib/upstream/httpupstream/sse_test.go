package httpupstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

func FuzzStream(f *testing.F) {
	f.Add([]byte(`data: {"id":"r","choices":[{"delta":{"content":"a "},"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\ndata: {\r\ndata: }\r\n\r\n"))
	f.Add([]byte("data: [DONE]"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		a := &responseAssembler{id: "r"}
		tokens := 0
		err := deliver(newEventReader(bytes.NewReader(stream)), a, func(c work.Chunk) error {
			tokens += c.Tokens
			return nil
		})
		if err == nil {
			finish, finishErr := a.finish()
			assert.NilError(t, finishErr)
			assert.Equal(t, finish.Tokens, tokens)
			return
		}
		var coded *api.Error
		assert.Assert(t, errors.As(err, &coded) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	})
}

// Guards against generations that are complete though bytes which are no event stood among
// their events.
func TestWrongBytesEndTheGeneration(t *testing.T) {
	const first = `data: {"id":"r","choices":[{"delta":{"content":"a "}}]}` + "\n\n"
	const rest = `data: {"id":"r","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n"
	ignore := func(work.Chunk) error { return nil }
	for _, sound := range []string{"", ": comment\n\n", "retry: 10\n\n", "\r\n"} {
		assert.NilError(t, deliver(newEventReader(strings.NewReader(first+sound+rest)), &responseAssembler{id: "r"}, ignore), "%q", sound)
	}
	for _, wrong := range []string{"panic: runtime error\n\n", "Killed\n", "HTTP/1.1 200 OK\r\n\r\n", "\x00\xff\n\n", "id: 4\n\n", "dat\n", "level: error\n"} {
		err := deliver(newEventReader(strings.NewReader(first+wrong+rest)), &responseAssembler{id: "r"}, ignore)
		assert.Equal(t, api.CodeOf(err), api.CodeInvalid, "%q: %v", wrong, err)
	}
}
