// Package hostlist reads the platform's list of live and leaving hosts, which
// lags behind reality. It holds the interface and the one adapter that knows
// the list's HTTP form.
package hostlist

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/netcount"
)

// State says whether a host stays.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	State   State  `json:"state"`
}

// Source reads the whole list, which callers must not change. It is used by one
// thread at a time. Errors: CodeUpstreamFailed, CodeInvalid.
type Source interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// maxListBytes bounds the list's size.
const maxListBytes = 4 << 20

// httpSource reads the list anew only when it has changed, where the platform
// names the versions of its list by ETag. It belongs to one reader at a time.
type httpSource struct {
	url    string
	client *http.Client
	etag   string // of last; empty: none
	last   []Host
}

// counters of this process: bytes_in and bytes_out of the connections of
// clients that NewHTTP makes itself.
var counters = expvar.NewMap("host_list")

var traffic = netcount.New(counters)

func countedTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = traffic.Dial(t.DialContext)
	return t
}

// NewHTTP returns the adapter for the list served at an address (host:port). A
// nil client stands for one with its own connections, whose bytes are counted.
func NewHTTP(address string, client *http.Client) Source {
	if client == nil {
		client = &http.Client{Transport: countedTransport()}
	}
	return &httpSource{url: "http://" + address + "/v1/hosts", client: client}
}

// Hosts implements Source.
func (s *httpSource) Hosts(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "host list: %w", err)
	}
	if s.etag != "" {
		req.Header.Set("If-None-Match", s.etag)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return nil, api.Errorf(api.CodeUpstreamFailed, "host list: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotModified && s.etag != "" {
		return s.last, nil
	}
	if res.StatusCode != http.StatusOK {
		return nil, api.Errorf(api.CodeUpstreamFailed, "host list: status %d", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return nil, api.Errorf(api.CodeUpstreamFailed, "host list: %w", err)
	}
	hosts, err := Decode(body)
	if err != nil {
		return nil, err
	}
	s.etag, s.last = res.Header.Get("ETag"), hosts
	return hosts, nil
}

// Decode reads a list's JSON form. Errors: CodeInvalid.
func Decode(body []byte) ([]Host, error) {
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "host list: %w", err)
	}
	for _, h := range list.Hosts {
		if h.State != Live && h.State != Leaving {
			return nil, api.Errorf(api.CodeInvalid, "host list: %q has state %q", h.ID, h.State)
		}
	}
	return list.Hosts, nil
}
