// Package fingerprint identifies requests by their content, so that every
// front end and every daemon recognises a request that crashes upstreams.
package fingerprint

import (
	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
	"github.com/cespare/xxhash/v2"
)

// prefixBytes of the prompt decide its affinity to an engine's cache.
const prefixBytes = 512

// Generate identifies a generation by its model and messages, and hashes the
// beginning of its prompt. The number of tokens asked for is left out: a prompt
// that crashes an engine does so whatever the length.
func Generate(model api.ModelName, messages []work.Message) (f api.Fingerprint, prefix uint64) {
	parts := []string{string(model)}
	start := xxhash.New()
	left := prefixBytes
	for _, m := range messages {
		parts = append(parts, m.Role, m.Content)
		head := m.Content[:min(left, len(m.Content))]
		left -= len(head)
		_, _ = start.WriteString(head) // a hash's Write returns no error
	}
	return hashParts(parts...), start.Sum64()
}

// Plain identifies a call of a plain service.
func Plain(service string, p *work.Plain) api.Fingerprint {
	return hashParts(service, p.Method, p.Path, string(p.Body))
}

// hashParts hashes the parts and their boundaries.
func hashParts(parts ...string) api.Fingerprint {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return api.Fingerprint(d.Sum64())
}
