package httpupstream

import (
	"bytes"
	"errors"
	"io"
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
