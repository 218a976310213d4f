package access

import "time"

// Outcome says whether a request may run.
type Outcome uint8

// Outcomes of a decision.
const (
	Open       Outcome = iota // callers need no keys
	Identified                // the key is that of a customer
	Anonymous                 // the route takes requests without a key
	MissingKey                // the request has no key
	UnknownKey                // no customer has the key
	Unsure                    // the configuration is too old to tell
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"keys are not required", "identified", "public", "missing key", "unknown key", "configuration too old to know the key"}[o]
}

// Decision is the decision about a request.
type Decision struct {
	Outcome  Outcome
	Customer string // whose key it is; empty: none
}

// Allowed reports whether the request may run.
func (d Decision) Allowed() bool { return d.Outcome <= Anonymous }

// Caller returns who made the request, as far as batch jobs are concerned.
func (d Decision) Caller() Caller {
	return Caller{Unrestricted: d.Outcome == Open, Customer: d.Customer}
}

// Policy says how long a daemon relies on a configuration that it can't read again.
type Policy struct {
	// MaxAge is the time within which a new configuration must be in force. Afterwards a
	// key may be unknown only because it was added since.
	MaxAge time.Duration
	// FailClosed refuses keys that may have been taken away for longer than Revoke.
	// Otherwise they stay valid until the configuration is read again.
	FailClosed bool
	Revoke     time.Duration
}

// Decide decides about a request with a key on a route that may be public. age is the time
// since the last confirmed read of the configuration began. The load that it answers is
// every request of 10,000 keys: it allocates nothing.
//
// A key that no customer has is refused on public routes too: its caller takes itself for a
// customer that it isn't.
func (p Policy) Decide(x *Index, k Key, public bool, age time.Duration) Decision {
	if !x.Required() {
		return Decision{Outcome: Open}
	}
	customer := x.lookup(k)
	switch {
	case customer != nil && p.FailClosed && age > p.Revoke:
		return Decision{Outcome: Unsure}
	case customer != nil:
		return Decision{Outcome: Identified, Customer: customer.Name}
	case public && k.IsZero():
		return Decision{Outcome: Anonymous}
	case age > p.MaxAge:
		return Decision{Outcome: Unsure}
	case k.IsZero():
		return Decision{Outcome: MissingKey}
	default:
		return Decision{Outcome: UnknownKey}
	}
}

// Caller is who asks for a batch job. The zero value has no key.
type Caller struct {
	Unrestricted bool // callers need no keys
	Customer     string
}

// Anyone returns the caller of a deployment in which callers need no keys.
func Anyone() Caller { return Caller{Unrestricted: true} }

// MayUse reports whether the caller may read, repeat and end a job of a customer; empty:
// the job was submitted without a key, and is everybody's.
func (c Caller) MayUse(owner string) bool {
	return c.Unrestricted || owner == "" || owner == c.Customer
}
