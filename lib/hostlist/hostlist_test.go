package hostlist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/hostlist"
	"gotest.tools/v3/assert"
)

func TestDecodeRejectsUnknownState(t *testing.T) {
	_, err := hostlist.Decode([]byte(`{"hosts":[{"id":"a","address":"127.0.0.1:1","state":"gone"}]}`))
	assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"hosts":[{"id":"a","address":"127.0.0.1:1","state":"leaving"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, err := hostlist.Decode(body)
		if err != nil {
			assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
			return
		}
		for _, h := range hosts {
			assert.Assert(t, h.State == hostlist.Live || h.State == hostlist.Leaving)
		}
	})
}

func TestUnchangedListIsReused(t *testing.T) {
	var etags []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		etags = append(etags, r.Header.Get("If-None-Match"))
		if len(etags) == 2 {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", fmt.Sprintf(`"%d"`, len(etags)))
		_, _ = fmt.Fprintf(w, `{"hosts":[{"id":"a%d","address":"127.0.0.1:1","state":"live"}]}`, len(etags))
	}))
	defer srv.Close()
	source := hostlist.NewHTTP(srv.Listener.Addr().String(), nil)
	for _, want := range []string{"a1", "a1", "a3"} {
		hosts, err := source.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, hosts[0].ID, want)
	}
	assert.DeepEqual(t, etags, []string{"", `"1"`, `"1"`})
}
