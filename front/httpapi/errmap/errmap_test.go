package errmap

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
)

func TestWriteMapsEveryCode(t *testing.T) {
	for code, want := range statuses {
		rec := httptest.NewRecorder()
		Write(rec, api.Errorf(code, "because %d", 7), api.OutcomeNotRun)
		assert.Equal(t, rec.Code, want)
		assert.Equal(t, rec.Header().Get(HeaderOutcome), "not-run")
		assert.Equal(t, rec.Header().Get("Retry-After") != "", want == http.StatusTooManyRequests, code)
		var b Body
		assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &b))
		assert.Equal(t, b.Error.Code, code)
		assert.Equal(t, b.Error.Message, "because 7")
		assert.Assert(t, b.Error.Type != "")
		assert.Equal(t, b.Outcome, "not-run")
	}
}

func TestUnknownCodeIsInternal(t *testing.T) {
	assert.Equal(t, Status("no-such-code"), http.StatusInternalServerError)
}
