// Package access decides whose request a key makes it, and whether it may run. It does no
// I/O and reads no clock.
package access

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of the part of a key's hash that identifies the key.
const fingerprintBytes = 6

// Key is a customer's key as a caller sent it. Its text is used only for lookups. Printed,
// logged or encoded, it is its fingerprint.
type Key struct{ text string }

// NewKey returns the key with a text; empty: the caller sent none.
func NewKey(text string) Key { return Key{text} }

// IsZero reports whether the caller sent no key.
func (k Key) IsZero() bool { return k.text == "" }

// Equal reports whether two keys have the same text.
func (k Key) Equal(other Key) bool { return k == other }

// Fingerprint identifies the key without disclosing it. It is empty for no key.
func (k Key) Fingerprint() string {
	if k.IsZero() {
		return ""
	}
	sum := sha256.Sum256([]byte(k.text))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// String implements fmt.Stringer.
func (k Key) String() string { return k.Fingerprint() }

// GoString implements fmt.GoStringer.
func (k Key) GoString() string { return "access.Key(" + k.Fingerprint() + ")" }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.Fingerprint()), nil }
