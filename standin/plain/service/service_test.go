package service

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func post(t *testing.T, srv *httptest.Server, path, id, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(HeaderRequestID, id)
	res, err := srv.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

func TestExecutionsAreCountedByRequestIDAndBody(t *testing.T) {
	s := New(0, func() {}, nil)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for want := 1; want <= 2; want++ {
		_, body, err := post(t, srv, PathSlips, "r1", "x")
		assert.NilError(t, err)
		var a Response
		assert.NilError(t, json.Unmarshal([]byte(body), &a))
		assert.Equal(t, a.Executions, want)
		assert.Equal(t, a.Slip, uint64(want))
	}
	_, body, err := post(t, srv, "/other", "r1", "y")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, `"executions":1`), body)
	assert.Equal(t, len(s.journal.Executions()), 3)
}

func TestModes(t *testing.T) {
	crashed := false
	s := New(0, func() { crashed = true }, nil)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for _, c := range []struct {
		mode     string
		status   int
		executed bool
		complete bool // the response
	}{
		{"refuse", 503, false, true},
		{"cut", 200, true, false},
		{"slow", 200, true, true},
		{"crash", 200, true, true},
		{"normal", 200, true, true},
	} {
		before := len(s.journal.Executions())
		res, _, err := post(t, srv, "/control", "", `{"mode":"`+c.mode+`"}`)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, 200)
		res, _, err = post(t, srv, "/a", "r", "x")
		assert.Equal(t, res.StatusCode, c.status)
		assert.Equal(t, err == nil, c.complete, c.mode)
		assert.Equal(t, len(s.journal.Executions()) > before, c.executed, c.mode)
	}
	assert.Assert(t, crashed)
	res, _, err := post(t, srv, "/control", "", `{"mode":"other"}`)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}
