// Package hostlist reads the platform's list of live and leaving hosts, which may
// be outdated. It defines the interface and its HTTP implementation.
package hostlist

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/netcount"
	"dotterelmount.example/lib/stricthttp"
)

// State is the state of a host.
type State string

// Host states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is an entry of the list.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port
	State   State  `json:"state"`
}

// Source reads the host list. It is not safe for concurrent use.
type Source interface {
	// Hosts returns the complete list, which callers must not modify. Errors:
	// CodeUpstreamFailed, CodeInvalid.
	Hosts(ctx context.Context) ([]Host, error)
}

// maxListBytes is the maximum size of the list.
const maxListBytes = 4 << 20

// httpSource reads the list over HTTP. If the platform supports ETags it transfers
// the list only when it has changed.
type httpSource struct {
	url    string
	client *http.Client
	etag   string // ETag of last; empty: none
	last   []Host
}

// Metrics of this process: bytes_in and bytes_out of the connections of clients
// created by NewHTTP.
var counters = expvar.NewMap("host_list")

var traffic = netcount.New(counters)

func countedTransport() *stricthttp.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = traffic.Dial(t.DialContext)
	return stricthttp.New(t)
}

// NewHTTP returns a source of the list served at address (host:port). If client is
// nil, NewHTTP creates one with its own connections, whose bytes are counted.
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

// Decode decodes a list from JSON. Errors: CodeInvalid.
func Decode(body []byte) ([]Host, error) {
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "host list: %w", err)
	}
	for _, h := range list.Hosts {
		if h.State != Live && h.State != Leaving {
			return nil, api.Errorf(api.CodeInvalid, "host list: %q has unknown state %q", h.ID, h.State)
		}
	}
	return list.Hosts, nil
}
