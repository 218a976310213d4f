package intake

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHeadFollowsBytesInAnyPieces(t *testing.T) {
	const line, headers = "\r\nGET / HTTP/1.1\r\n", "Host: a\r\nB:\n"
	text := line + headers + "\r\n"
	for size := 1; size <= len(text); size++ {
		h, rest := Head{}, []byte(text)
		for len(rest) > 0 {
			n := min(size, len(rest))
			ended := h.Add(rest[:n])
			rest = rest[n:]
			assert.Equal(t, ended, len(rest) == 0, "pieces of %d bytes", size)
		}
		assert.Equal(t, h.RequestLine, len(line))
		assert.Equal(t, h.Headers, len(headers))
		assert.Assert(t, !h.Exceeds(int64(len(line))) && h.Exceeds(int64(len(line))-1))
	}
	h := Head{}
	assert.Assert(t, !h.Add(bytes.Repeat([]byte("\r\n"), 1000)), "empty lines begin no request")
	assert.Assert(t, h.Exceeds(1999))
	assert.Assert(t, h.Cost() >= 1000*LineBytes)
}

// FuzzHead compares the end of a head with that of net/http.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody", "GET / HTTP/1.1\n\n", "\r\n\r\nGET / HTTP/1.0\r\nA: b\r\n c\r\n\r\n", "a", "\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := Head{}
		ended := h.Add(data)
		if h.RequestLine+h.Headers > len(data) || h.Lines > len(data) {
			t.Fatalf("%+v of %d bytes", h, len(data))
		}
		if !ended && bytes.Contains(bytes.TrimLeft(data, "\r\n"), []byte("\n\r\n")) {
			t.Fatalf("the head %q has not ended", data)
		}
	})
}

// FuzzJSONCost checks that the estimate covers the memory of decoded elements.
func FuzzJSONCost(f *testing.F) {
	for _, seed := range []string{`{"items":[{},{"headers":{"a":"b"}},0]}`, `[[[[`, `["\"","]"]`, `{"a":"\`, `]},`, ""} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cost := JSONCost(data)
		if cost < int64(len(data)) || cost > int64(len(data))*(elementBytes+1) {
			t.Fatalf("cost %d of %d bytes", cost, len(data))
		}
	})
}

func TestJSONCostCountsElementsAndMembers(t *testing.T) {
	const n = 1000
	items := JSONCost([]byte(`{"items":[` + strings.Repeat("0,", n) + "0]}"))
	assert.Assert(t, items >= n*elementBytes)
	members := JSONCost([]byte(`{"a":"` + strings.Repeat(`,[{\"`, n) + `","b":1,"c":2}`))
	assert.Assert(t, members < 10*n, "text is no structure: %d", members)
	assert.Equal(t, JSONCost([]byte(`{"a":1,"b":2}`)), int64(13+2*memberBytes))
	assert.Assert(t, http.DefaultMaxHeaderBytes > 2*DefaultHeadBytes, "net/http refuses no head that is allowed")
}
