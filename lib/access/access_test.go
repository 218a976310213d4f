package access

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

const secret = "thhkmgjqnirth5mgjy5r"

func priority(n int) *int { return &n }

func TestDecisions(t *testing.T) {
	x := NewIndex([]routes.Customer{{Name: "a", Keys: []string{secret, "a2"}}, {Name: "b", Keys: []string{"b1"}}})
	open := Policy{MaxAge: 2 * time.Second, Revoke: 5 * time.Second}
	closed := open
	closed.FailClosed = true
	for name, c := range map[string]struct {
		policy Policy
		index  *Index
		key    string
		public bool
		age    time.Duration
		want   Decision
	}{
		"not loaded":                  {open, nil, secret, false, 0, Decision{Outcome: Open}},
		"no customers":                {closed, NewIndex(nil), "any", false, time.Hour, Decision{Outcome: Open}},
		"key":                         {open, x, secret, false, 0, Decision{Identified, "a"}},
		"second key":                  {open, x, "a2", false, 0, Decision{Identified, "a"}},
		"key on a public route":       {open, x, "b1", true, 0, Decision{Identified, "b"}},
		"public":                      {open, x, "", true, time.Hour, Decision{Outcome: Anonymous}},
		"missing":                     {open, x, "", false, time.Second, Decision{Outcome: MissingKey}},
		"unknown":                     {open, x, "c1", false, time.Second, Decision{Outcome: UnknownKey}},
		"unknown on a public route":   {open, x, "c1", true, time.Second, Decision{Outcome: UnknownKey}},
		"prefix of a key":             {open, x, secret[:10], false, time.Second, Decision{Outcome: UnknownKey}},
		"unknown, not read lately":    {open, x, "c1", false, 3 * time.Second, Decision{Outcome: Unsure}},
		"missing, not read lately":    {open, x, "", false, 3 * time.Second, Decision{Outcome: Unsure}},
		"key, not read for long":      {open, x, secret, false, time.Hour, Decision{Identified, "a"}},
		"closed, read lately":         {closed, x, secret, false, 5 * time.Second, Decision{Identified, "a"}},
		"closed, not read for long":   {closed, x, secret, false, 6 * time.Second, Decision{Outcome: Unsure}},
		"closed, public without key":  {closed, x, "", true, 6 * time.Second, Decision{Outcome: Anonymous}},
		"closed, public with a key":   {closed, x, "b1", true, 6 * time.Second, Decision{Outcome: Unsure}},
		"no valid entry, keys needed": {open, NewIndex([]routes.Customer{{Keys: []string{"k"}}}), "k", false, 0, Decision{Outcome: UnknownKey}},
	} {
		got := c.policy.Decide(c.index, NewKey(c.key), c.public, c.age)
		assert.Equal(t, got, c.want, name)
		allowed := c.want.Outcome == Open || c.want.Outcome == Identified || c.want.Outcome == Anonymous
		assert.Equal(t, got.Allowed(), allowed, name)
	}
}

// Guards against invalid entries that shut out or identify a customer wrongly.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	x := NewIndex([]routes.Customer{
		{Name: "a", Keys: []string{secret, secret, ""}, Priority: priority(1)},
		{Keys: []string{"k"}},
		{Name: "b", Keys: []string{secret, "b1"}},
		{Name: "a", Keys: []string{"a2"}},
	})
	p := Policy{MaxAge: time.Second}
	for key, want := range map[string]string{secret: "a", "b1": "b", "a2": "a", "k": ""} {
		assert.Equal(t, p.Decide(x, NewKey(key), false, 0).Customer, want)
	}
	assert.Equal(t, len(x.Ignored()), 3, "%v", x.Ignored())
	assert.Equal(t, x.Priority("a", 3), 1)
	assert.Equal(t, x.Priority("b", 3), 3)
	assert.Equal(t, x.Priority("", 3), 3)
}

// A key's text must not appear in logs, reports and encodings.
func TestKeysAreNotDisclosed(t *testing.T) {
	k := NewKey(secret)
	x := NewIndex([]routes.Customer{{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{secret}}})
	encoded, err := json.Marshal([]any{k, x.Report(), x.Ignored()})
	assert.NilError(t, err)
	text := fmt.Sprintf("%v %+v %#v %s %s %v %+v %+v", k, struct{ K Key }{k}, k, k, encoded, x.Ignored(), x, x.byName["a"])
	assert.Assert(t, !strings.Contains(text, secret), text)
	assert.Assert(t, strings.Contains(x.Ignored()[0], k.Fingerprint()))
	assert.DeepEqual(t, x.Report()[0].Keys, []string{k.Fingerprint()})
	assert.Equal(t, NewKey("").String(), "")
}

func TestJobsBelongToTheirCustomer(t *testing.T) {
	assert.Assert(t, Caller{Customer: "a"}.MayUse("a"))
	assert.Assert(t, !Caller{Customer: "a"}.MayUse("b"))
	assert.Assert(t, !Caller{}.MayUse("b"), "a caller without a key")
	assert.Assert(t, Caller{Customer: "a"}.MayUse(""), "a job submitted without a key")
	assert.Assert(t, Anyone().MayUse("b"))
}

func TestDecisionAllocatesNothing(t *testing.T) {
	x, p, header := NewIndex(customers(1000)), Policy{MaxAge: time.Second}, "Token key-7-3"
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		if !p.Decide(x, NewKey(header[len("Token "):]), false, 0).Allowed() {
			t.Fail()
		}
	}), 0.0)
}

// customers returns customers with ten keys each.
func customers(n int) []routes.Customer {
	out := make([]routes.Customer, n)
	for i := range out {
		out[i].Name = fmt.Sprintf("customer-%d", i)
		for k := range 10 {
			out[i].Keys = append(out[i].Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
	}
	return out
}

func BenchmarkNewIndexOf10000Keys(b *testing.B) {
	c := customers(1000)
	for b.Loop() {
		NewIndex(c)
	}
}
