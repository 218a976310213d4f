package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
)

func TestMissingViolationCountsAreAnError(t *testing.T) {
	body, status := `{"invariant_violations":{"a":2,"b":3}}`, http.StatusOK
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(json.RawMessage(body))
	}))
	defer srv.Close()
	n, err := Violations(context.Background(), srv.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, n, int64(5))
	body = `{}`
	_, err = Violations(context.Background(), srv.Listener.Addr().String())
	assert.Equal(t, api.CodeOf(err), api.CodeInternal)
	status = http.StatusConflict
	var failed *StatusError
	assert.Assert(t, errors.As(PostJSON(context.Background(), srv.Listener.Addr().String(), "/x", 1), &failed))
	assert.Equal(t, failed.Status, http.StatusConflict)
}
