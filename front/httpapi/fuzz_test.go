package httpapi

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":""}],"stream":true,"n":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		in, err := parseChat(body)
		if err != nil {
			assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
			return
		}
		var j work.Job
		fillChat(&j, in)
		assert.Assert(t, j.Call.Generate.MaxTokens >= 1 && j.CostTokens == j.Call.Generate.MaxTokens)
		assert.Assert(t, len(j.Call.Generate.Messages) > 0 && j.Model != "")
	})
}
