package attribution

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// peer is the other end of a connection. It may send a copy of any earlier response where the
// next one is expected.
type peer struct {
	connection Connection
	responses  []response
}

type response struct {
	send int // that it belongs to
	to   Request
	name string
}

// Whichever copies upstreams send, and whether or not their responses have names, no response
// is taken for that to another send. Only a safe request without a name may get the response to
// an earlier request without a name.
func TestNoResponseIsTakenForThatToAnotherSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var open []*peer
		requests := rapid.SampledFrom([]Request{{}, {Safe: true}, {Name: "a"}, {Name: "b"}, {Name: "c"}})
		for send := range rapid.IntRange(1, 40).Draw(t, "sends") {
			r := requests.Draw(t, "request")
			usable := slices.DeleteFunc(slices.Clone(open), func(p *peer) bool { return !p.connection.MayCarry(r) })
			p := &peer{}
			if len(usable) > 0 {
				p = rapid.SampledFrom(usable).Draw(t, "connection")
			} else {
				open = append(open, p)
			}
			got := response{send: send, to: r}
			if rapid.Bool().Draw(t, "named") {
				got.name = r.Name
			}
			p.responses = append(p.responses, got)
			if len(p.responses) > 1 && rapid.Bool().Draw(t, "copy") {
				got = rapid.SampledFrom(p.responses).Draw(t, "response")
			}
			err := p.connection.Exchanged(r, got.name)
			stale := r.Safe && got.to.Name == ""
			assert.Assert(t, err != nil || got.send == send || stale, "send %d of %v got the response to send %d", send, r, got.send)
		}
	})
}

func TestForeignResponseEndsTheUseOfItsConnection(t *testing.T) {
	var c Connection
	assert.NilError(t, c.Exchanged(Request{Name: "a"}, "a"))
	assert.Assert(t, c.MayCarry(Request{Name: "b"}) && !c.MayCarry(Request{Name: "a"}))
	var foreign *ForeignError
	assert.Assert(t, errors.As(c.Exchanged(Request{Name: "b"}, "a"), &foreign))
	assert.Equal(t, *foreign, ForeignError{Sent: "b", Named: "a"})
	assert.Assert(t, c.IsSpent() && !c.MayCarry(Request{Name: "c"}))
}

func TestConnectionCarriesABoundedNumberOfNames(t *testing.T) {
	var c Connection
	for n := range maxNames {
		r := Request{Name: fmt.Sprint(n)}
		assert.Assert(t, c.MayCarry(r), n)
		assert.NilError(t, c.Exchanged(r, r.Name))
	}
	assert.Assert(t, c.IsSpent() && !c.MayCarry(Request{Name: "another"}) && !c.MayCarry(Request{Safe: true}))
}

// Requests with names and reads go on after the response to a request without a name; only
// another such request doesn't.
func TestConnectionIsUsedAfterUnnamedRequest(t *testing.T) {
	var c Connection
	assert.NilError(t, c.Exchanged(Request{}, ""))
	assert.Assert(t, !c.MayCarry(Request{}))
	assert.Assert(t, c.MayCarry(Request{Safe: true}) && c.MayCarry(Request{Name: "a"}))
	assert.NilError(t, c.Exchanged(Request{Safe: true}, ""))
	assert.NilError(t, c.Exchanged(Request{Name: "a"}, "a"))
	assert.Assert(t, !c.IsSpent())
}
