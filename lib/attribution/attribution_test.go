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
	name string
}

// Whichever copies upstreams send, and whether or not their responses have names, no response
// is taken for that to another send. Requests are sent again over connections that are open.
func TestNoResponseIsTakenForThatToAnotherSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var open []*peer
		names := rapid.SampledFrom([]string{"", "a", "b", "c"})
		for send := range rapid.IntRange(1, 40).Draw(t, "sends") {
			name := names.Draw(t, "name")
			usable := slices.DeleteFunc(slices.Clone(open), func(p *peer) bool { return !p.connection.MayCarry(name) })
			p := &peer{}
			if len(usable) > 0 {
				p = rapid.SampledFrom(usable).Draw(t, "connection")
			} else {
				open = append(open, p)
			}
			got := response{send: send}
			if rapid.Bool().Draw(t, "named") {
				got.name = name
			}
			p.responses = append(p.responses, got)
			if len(p.responses) > 1 && rapid.Bool().Draw(t, "copy") {
				got = rapid.SampledFrom(p.responses).Draw(t, "response")
			}
			err := p.connection.Exchanged(name, got.name)
			assert.Assert(t, err != nil || got.send == send, "send %d of %q got the response to send %d", send, name, got.send)
		}
	})
}

func TestForeignResponseEndsTheUseOfItsConnection(t *testing.T) {
	var c Connection
	assert.NilError(t, c.Exchanged("a", "a"))
	assert.Assert(t, c.MayCarry("b") && !c.MayCarry("a"))
	var foreign *ForeignError
	assert.Assert(t, errors.As(c.Exchanged("b", "a"), &foreign))
	assert.Equal(t, *foreign, ForeignError{Sent: "b", Named: "a"})
	assert.Assert(t, c.IsSpent() && !c.MayCarry("c"))
}

func TestConnectionCarriesABoundedNumberOfNames(t *testing.T) {
	var c Connection
	for n := range maxNames {
		name := fmt.Sprint(n)
		assert.Assert(t, c.MayCarry(name), n)
		assert.NilError(t, c.Exchanged(name, name))
	}
	assert.Assert(t, c.IsSpent() && !c.MayCarry("another") && !c.MayCarry(""))
}
