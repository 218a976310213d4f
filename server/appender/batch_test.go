package appender

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") } // default; the command line overrides it

// recordCounts returns how often each record ID is in the log.
func recordCounts(t assert.TestingT, l *memlog.Log) map[api.RecordID]int {
	ids := make(map[api.RecordID]int)
	for _, name := range l.Streams() {
		batches, err := l.Read(context.Background(), []eventlog.Position{{Stream: name, Offset: 1}}, 1<<20, 0)
		assert.NilError(t, err)
		for _, e := range batches[0].Entries {
			ids[e.ID]++
		}
	}
	return ids
}

// Every request gets exactly one result, and the result matches the log.
func TestBatcherResultsMatchLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := memlog.New(memlog.Options{})
		b := newBatcher(rapid.IntRange(1, 4).Draw(t, "batch"), time.Millisecond)
		now := time.Unix(1000, 0)
		results := make(map[api.RecordID]error)
		counts := make(map[api.RecordID]int)
		added := 0
		complete := func(requests []*pendingRequest, result func(*pendingRequest) error) {
			for _, p := range requests {
				counts[p.Record.ID]++
				results[p.Record.ID] = result(p)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := api.RecordID(fmt.Sprintf("r%d", added))
				added++
				ttl := time.Duration(rapid.IntRange(1, 200).Draw(t, "ttl")) * time.Millisecond
				stream := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "stream")
				b.add(Request{Stream: stream, Record: eventlog.Record{ID: id}, Deadline: now.Add(ttl)})
			},
			"attempt": func(t *rapid.T) {
				q, batch := b.next(now)
				if q == nil {
					return
				}
				log.SetOutage(rapid.Bool().Draw(t, "outage"))
				log.DropResponses(rapid.IntRange(0, 1).Draw(t, "lose"))
				_, err := log.Append(t.Context(), q.name, records(batch))
				log.SetOutage(false)
				if err == nil {
					done := append([]*pendingRequest(nil), batch...)
					b.appended(q, len(batch), now)
					complete(done, func(*pendingRequest) error { return nil })
					return
				}
				var unavailable *eventlog.UnavailableError
				b.failed(q, len(batch), !errors.As(err, &unavailable), now)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				complete(b.takeExpired(now), func(p *pendingRequest) error { return p.failure("deadline") })
				b.dropIdle(now)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(results)+b.pending, added)
				ids := recordCounts(t, log)
				for id, err := range results {
					assert.Equal(t, counts[id], 1)
					switch api.CodeOf(err) {
					case "":
						assert.Assert(t, ids[id] > 0, "%s is not in the log", id)
					case api.CodeLogUnavailable:
						assert.Equal(t, ids[id], 0)
					default:
						assert.Equal(t, api.CodeOf(err), api.CodeUnknownResult)
					}
				}
			},
		})
	})
}
