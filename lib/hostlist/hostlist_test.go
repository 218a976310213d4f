package hostlist_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/hostlist"
	"gotest.tools/v3/assert"
)

func TestDecodeRefusesUnknownState(t *testing.T) {
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
