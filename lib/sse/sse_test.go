package sse

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"dotterelmount.example/lib/bounded"
	"gotest.tools/v3/assert"
)

const maxEvent = 1 << 10

func newReader(stream string) *Reader {
	return NewReader(bounded.NewBudget(1<<20).NewLineReader(strings.NewReader(stream), maxEvent, "event"), "version")
}

func readAll(r *Reader) (events []Event, rest string, err error) {
	for {
		e, err := r.Next()
		if err != nil {
			return events, string(e.Raw), err
		}
		events = append(events, e)
	}
}

// Guards against streams refused for what the standard allows.
func TestSoundStreams(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		want   Event
		data   string
	}{
		"plain":              {"id: 4\ndata: a\n\n", Event{ID: "4"}, "a"},
		"data first":         {"data: a\nid: 4\n\n", Event{ID: "4"}, "a"},
		"CRLF":               {"id: 4\r\ndata: a\r\n\r\n", Event{ID: "4"}, "a"},
		"no blanks":          {"id:4\ndata:a\n\n", Event{ID: "4"}, "a"},
		"two blanks":         {"id: 4\ndata:  a\n\n", Event{ID: "4"}, " a"},
		"colons":             {"id: 4\ndata: a: b\n\n", Event{ID: "4"}, "a: b"},
		"several data lines": {"id: 4\ndata: a\ndata:\ndata\ndata: b\n\n", Event{ID: "4"}, "a\n\n\nb"},
		"empty data":         {"id: 4\ndata\n\n", Event{ID: "4"}, ""},
		"without id":         {"data: a\n\n", Event{}, "a"},
		"type and retry":     {"event: token\nretry: 10\nid: 4\ndata: a\n\n", Event{ID: "4"}, "a"},
		"leading field":      {"version: 7\nid: 4\ndata: a\n\n", Event{ID: "4", Lead: "7"}, "a"},
		"comment first":      {": x\nversion: 7\nid: 4\ndata: a\n\n", Event{ID: "4", Lead: "7"}, "a"},
		"comment within":     {"id: 4\n:\ndata: a\n\n", Event{ID: "4"}, "a"},
		"comments before":    {": x\n\n\n: panic\n\nid: 4\ndata: a\n\n", Event{ID: "4"}, "a"},
		"retry before":       {"retry: 10\n\nid: 4\ndata: a\n\n", Event{ID: "4"}, "a"},
		"byte order mark":    {"\ufeffid: 4\ndata: a\n\n", Event{ID: "4"}, "a"},
	} {
		for _, rest := range []string{"", ": end\n", "\n\n"} {
			t.Run(fmt.Sprintf("%s%q", name, rest), func(t *testing.T) {
				c.want.Raw = []byte(c.stream)
				events, got, err := readAll(newReader(c.stream + rest))
				assert.ErrorIs(t, err, io.EOF)
				assert.DeepEqual(t, events, []Event{c.want})
				assert.Equal(t, events[0].Data(), c.data)
				assert.Equal(t, got, rest)
			})
		}
	}
}

// Guards against bytes that are no event and count as one, are skipped, or end a stream as a
// whole one.
func TestWrongBytesEndTheStream(t *testing.T) {
	for name, wrong := range map[string]string{
		"crash text":          "panic: runtime error: index out of range [5] with length 5\n\n",
		"crash text in event": "id: 2\npanic: runtime error\n\n",
		"text":                "oops\n\n",
		"head of a response":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"raw bytes":           "\x00\xff\x01\n\n",
		"id alone":            "id: 2\n\n",
		"two ids":             "id: 2\nid: 3\ndata: b\n\n",
		"leading field alone": "version: 2\n\n",
		"leading field later": "id: 2\nversion: 2\ndata: b\n\n",
		"empty leading field": "version:\nid: 2\ndata: b\n\n",
		"two leading fields":  "version: 2\nversion: 3\nid: 2\ndata: b\n\n",
		"other case":          "id: 2\nData: b\n\n",
		"indented":            "id: 2\n data: b\n\n",
		"cut in a name":       "id: 2\ndat\n\n",
		"object":              `{"data": "b"}` + "\n\n",
		"too long":            "data: " + strings.Repeat("x", maxEvent) + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, rest := range []string{"", "id: 2\ndata: b\n\n"} {
				r := newReader("id: 1\ndata: a\n\n" + wrong + rest)
				events, _, err := readAll(r)
				var syntax *SyntaxError
				var tooLong *bounded.TooLongError
				assert.Assert(t, errors.As(err, &syntax) || errors.As(err, &tooLong), "%v", err)
				assert.Equal(t, len(events), 1)
				_, again := r.Next()
				assert.Equal(t, again, err)
			}
		})
	}
}

// Guards against an event that broke off and counts as a whole one.
func TestStreamCutAtAnyByteIsNotWhole(t *testing.T) {
	const first, second = "version: 7\nid: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for cut := 1; cut < len(second); cut++ {
		events, _, err := readAll(newReader(first + second[:cut]))
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, len(events), 1)
	}
}

// Guards against any bytes between two events that add an event to the stream, take one away,
// or let it end as a whole one. Only bytes that are events or comments by themselves may.
func FuzzWrongBytes(f *testing.F) {
	for _, wrong := range []string{"panic: x\n\n", "id: 2\n\n", "version: 2\n\n", "\x00\n", ": comment\n\n", "data: x\n\n", "retry: 1\n", "id"} {
		f.Add([]byte(wrong))
	}
	f.Fuzz(func(t *testing.T, wrong []byte) {
		const first, last = "id: 1\ndata: a\n\n", "\n\nid: 3\ndata: c\n\n"
		events, _, err := readAll(newReader(first + string(wrong) + last))
		assert.Assert(t, len(events) > 0)
		assert.Equal(t, events[0].Data(), "a")
		var raw []byte
		for _, e := range events {
			raw = append(raw, e.Raw...)
			assert.Assert(t, hasLine(e.Raw, "data"), "%q", e.Raw)
		}
		if !errors.Is(err, io.EOF) {
			return
		}
		assert.Equal(t, string(raw), first+string(wrong)+last)
		for line := range strings.Lines(string(wrong)) {
			line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
			name, _, _ := strings.Cut(line, ":")
			known := name == "" || name == "data" || name == "id" || name == "event" || name == "retry" || name == "version"
			assert.Assert(t, known, "%q passed", line)
		}
	})
}

func hasLine(raw []byte, field string) bool {
	for line := range strings.Lines(string(raw)) {
		if name, _, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":"); name == field {
			return true
		}
	}
	return false
}
