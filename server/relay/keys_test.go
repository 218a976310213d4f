package relay

import (
	"errors"
	"testing"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// viewOf returns a view in which the customers are those of a configuration read at a time.
func viewOf(asOf time.Time, customers ...routes.Customer) *directory.View {
	return directory.NewView().Apply([]directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 2, Customers: customers}}}).ReadAt(asOf, time.Time{})
}

// No attempt starts with a key that was taken away. The error says whether the request may
// have run before.
func TestAttemptsNeedAValidKey(t *testing.T) {
	now := time.Now()
	held, moved, gone := routes.Customer{Name: "c", Keys: []string{"k"}}, routes.Customer{Name: "other", Keys: []string{"k"}}, routes.Customer{Name: "c"}
	for name, c := range map[string]struct {
		view       *directory.View
		closed     bool
		mayHaveRun bool
		want       error
	}{
		"valid":                   {viewOf(now, held), false, false, nil},
		"keys are not needed":     {viewOf(now), false, false, nil},
		"taken away":              {viewOf(now, gone), false, false, &opaque.NotRunError{KeyInvalid: true}},
		"taken away, has run":     {viewOf(now, gone), false, true, &opaque.FailedError{}},
		"of another customer":     {viewOf(now, moved), false, false, &opaque.NotRunError{}},
		"not read for long":       {viewOf(now.Add(-time.Minute), held), false, false, nil},
		"closed after long":       {viewOf(now.Add(-time.Minute), held), true, false, &opaque.NotRunError{}},
		"gone, not read lately":   {viewOf(now.Add(-time.Minute), gone), false, false, &opaque.NotRunError{}},
		"closed, but read lately": {viewOf(now, held), true, false, nil},
	} {
		r := &Relay{cfg: Config{Keys: access.Policy{MaxAge: time.Second, FailClosed: c.closed, Revoke: time.Second}}, log: zap.NewNop(), view: func() *directory.View { return c.view }}
		q := newRequest(routes.KindIdempotent)
		q.Key, q.Customer = access.NewKey("k"), "c"
		err := r.checkKey(&job{request: q, mayHaveRun: c.mayHaveRun, failureResponse: &opaque.Response{Status: 500}}, now)
		var notRun, wantNotRun *opaque.NotRunError
		assert.Equal(t, err == nil, c.want == nil, "%s: %v", name, err)
		assert.Equal(t, errors.As(err, &notRun), errors.As(c.want, &wantNotRun), "%s: %v", name, err)
		if notRun != nil {
			assert.Equal(t, notRun.KeyInvalid, wantNotRun.KeyInvalid, name)
		}
		q.Key = access.Key{}
		assert.NilError(t, r.checkKey(&job{request: q}, now), "%s: a request that was checked elsewhere", name)
	}
}
