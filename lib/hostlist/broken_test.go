package hostlist_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/hostlist"
	"gotest.tools/v3/assert"
)

const list = `{"hosts":[{"id":"a","address":"127.0.0.1:1","state":"live"}]}`

func hostsFrom(t *testing.T, response string) ([]hostlist.Host, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			_, _ = io.WriteString(c, response) // the caller may have disconnected
			_ = c.Close()
		}
	}))
	defer srv.Close()
	return hostlist.NewHTTP(srv.Listener.Addr().String(), nil).Hosts(t.Context())
}

func TestBrokenResponsesAreNotLists(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c\r\n",
		"blank after a name":     "HTTP/1.1 200 OK\r\nA : c\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := hostsFrom(t, head+"\r\n"+list)
			assert.Equal(t, api.CodeOf(err), api.CodeUpstreamFailed, "%v", err)
		})
	}
	_, err := hostsFrom(t, "HTTP/1.1 200 OK\r\n\r\n"+list[:len(list)-1])
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid, "a list without its end: %v", err)
}

func TestListThatEndsWithItsConnection(t *testing.T) {
	hosts, err := hostsFrom(t, "HTTP/1.1 200 OK\r\n\r\n"+list)
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 1)
}
