package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/httplog"
	"dotterelmount.example/lib/eventlog/memlog"
	"gotest.tools/v3/assert"
)

func TestLogOverHTTP(t *testing.T) {
	server := httptest.NewServer(newHandler(memlog.New(memlog.Options{})))
	defer server.Close()
	control := func(body string) {
		r, err := http.Post(server.URL+"/control", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, r.Body.Close())
		assert.Equal(t, r.StatusCode, http.StatusNoContent)
	}
	log := httplog.New(strings.TrimPrefix(server.URL, "http://"), nil)
	group := []eventlog.Record{{ID: "a", Payload: []byte("1")}, {ID: "b"}}
	offset, err := log.Append(t.Context(), "s", group)
	assert.NilError(t, err)
	assert.Equal(t, uint64(offset), uint64(1))

	control(`{"lose_answers":1}`)
	_, err = log.Append(t.Context(), "s", group)
	var ambiguous *eventlog.AmbiguousError
	assert.Assert(t, errors.As(err, &ambiguous))
	batches, err := log.Read(t.Context(), []eventlog.Position{{Stream: "s", Offset: 2}, {Stream: "none", Offset: 1}}, 10, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(batches[0].Entries), 3)
	assert.Equal(t, uint64(batches[1].Next), uint64(1))

	control(`{"outage":true}`)
	var unavailable *eventlog.UnavailableError
	_, err = log.Append(t.Context(), "s", group)
	assert.Assert(t, errors.As(err, &unavailable))
	_, err = log.Read(t.Context(), []eventlog.Position{{Stream: "s", Offset: 1}}, 10, 0)
	assert.Assert(t, errors.As(err, &unavailable))
}
