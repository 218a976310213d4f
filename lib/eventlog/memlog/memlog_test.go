package memlog_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
	"gotest.tools/v3/assert"
)

func read(t *testing.T, l *memlog.Log, stream string, from uint64) eventlog.Batch {
	t.Helper()
	p := eventlog.Position{Stream: stream, Offset: api.Offset(from)}
	batches, err := l.Read(t.Context(), []eventlog.Position{p}, 100, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batches), 1)
	return batches[0]
}

func TestAppendKeepsRecordsAdjacent(t *testing.T) {
	l := memlog.New(memlog.Options{})
	first, err := l.Append(t.Context(), "s", []eventlog.Record{{ID: "a"}, {ID: "b"}})
	assert.NilError(t, err)
	assert.Equal(t, uint64(first), uint64(1))
	first, err = l.Append(t.Context(), "s", []eventlog.Record{{ID: "c"}})
	assert.NilError(t, err)
	assert.Equal(t, uint64(first), uint64(3))
	b := read(t, l, "s", 2)
	assert.Equal(t, len(b.Entries), 2)
	assert.Equal(t, string(b.Entries[1].ID), "c")
	assert.Equal(t, uint64(read(t, l, "other", 1).Next), uint64(1))
}

func TestRetentionAdvancesOldest(t *testing.T) {
	now := time.UnixMilli(1000)
	l := memlog.New(memlog.Options{Clock: func() time.Time { return now }, Retention: time.Second})
	_, err := l.Append(t.Context(), "s", []eventlog.Record{{ID: "a"}})
	assert.NilError(t, err)
	now = now.Add(2 * time.Second)
	b := read(t, l, "s", 1)
	assert.Equal(t, len(b.Entries), 0)
	assert.Equal(t, uint64(b.Oldest), uint64(2))
	assert.Equal(t, uint64(b.Next), uint64(2))
}

func TestFaultInjection(t *testing.T) {
	l := memlog.New(memlog.Options{})
	l.DropResponses(1)
	_, err := l.Append(t.Context(), "s", []eventlog.Record{{ID: "a"}})
	var ambiguous *eventlog.AmbiguousError
	assert.Assert(t, errors.As(err, &ambiguous))
	assert.Equal(t, len(read(t, l, "s", 1).Entries), 1)
	l.SetOutage(true)
	_, err = l.Append(t.Context(), "s", []eventlog.Record{{ID: "b"}})
	var unavailable *eventlog.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	_, err = l.Read(t.Context(), nil, 1, time.Hour)
	assert.Assert(t, errors.As(err, &unavailable))
	l.SetOutage(false)
	l.SetDelay(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = l.Append(ctx, "s", nil)
	assert.Assert(t, errors.As(err, &unavailable))
}
