// Package fingerprint identifies requests by a hash of their content, so that all
// front ends and daemons recognise a request that crashes upstreams.
package fingerprint

import (
	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length in bytes of the prompt prefix that determines which
// engine is preferred, so that the engine can reuse its cache.
const prefixBytes = 512

// Generate returns the fingerprint of a generation, which covers its model and
// messages, and the hash of its prompt prefix. The fingerprint does not cover the
// requested number of tokens, as a prompt that crashes an engine does so regardless
// of it.
func Generate(model api.ModelName, messages []work.Message) (f api.Fingerprint, prefix uint64) {
	parts := []string{string(model)}
	prefixHash := xxhash.New()
	left := prefixBytes
	for _, m := range messages {
		parts = append(parts, m.Role, m.Content)
		head := m.Content[:min(left, len(m.Content))]
		left -= len(head)
		_, _ = prefixHash.WriteString(head) // never returns an error
	}
	return hashParts(parts...), prefixHash.Sum64()
}

// Plain returns the fingerprint of a call to a plain service, which covers the
// service and the method, path and body of the call.
func Plain(service string, p *work.Plain) api.Fingerprint {
	return hashParts(service, p.Method, p.Path, string(p.Body))
}

// hashParts hashes the parts, each followed by a zero byte to mark its end.
func hashParts(parts ...string) api.Fingerprint {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return api.Fingerprint(d.Sum64())
}
