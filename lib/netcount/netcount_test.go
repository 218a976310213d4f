package netcount_test

import (
	"expvar"
	"io"
	"net"
	"testing"

	"dotterelmount.example/lib/netcount"
	"gotest.tools/v3/assert"
)

func TestBothDirectionsAreCounted(t *testing.T) {
	served, dialled := new(expvar.Map).Init(), new(expvar.Map).Init()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := netcount.New(served).Listener(raw)
	defer func() { _ = l.Close() }()
	dial := netcount.New(dialled).Dial((&net.Dialer{}).DialContext)
	client, err := dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err := l.Accept()
	assert.NilError(t, err)
	_, err = client.Write([]byte("abc"))
	assert.NilError(t, err)
	assert.NilError(t, client.Close())
	_, err = io.ReadAll(server)
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	assert.Equal(t, dialled.Get("bytes_out").String(), "3")
	assert.Equal(t, served.Get("bytes_in").String(), "3")
	assert.Equal(t, served.Get("bytes_out").String(), "0")
}
