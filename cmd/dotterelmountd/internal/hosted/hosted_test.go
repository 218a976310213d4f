package hosted

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/server/follow"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// silentFeed has one configuration; the connection of its first wait for
// another goes silent, and only new calls get an answer.
type silentFeed struct{ waits atomic.Int32 }

func (f *silentFeed) Load(context.Context) ([]directory.Change, directory.Cursor, error) {
	return []directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 1}}}, 1, nil
}

func (f *silentFeed) Next(ctx context.Context, from directory.Cursor, wait time.Duration) ([]directory.Change, directory.Cursor, error) {
	if f.waits.Add(1) == 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if from == 1 {
		return []directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 2}}}, 2, nil
	}
	duty.Sleep(ctx, wait)
	return nil, from, ctx.Err()
}

// A configuration must be in force 2 s after it was accepted, also when the
// connection that waits for it has gone silent.
func TestConfigurationArrivesDespiteASilentConnection(t *testing.T) {
	const bound = 2 * time.Second
	arrived := make(chan struct{}, 1)
	f := follow.Start(duty.NewSystem(nil), followConfig, zap.NewNop(), []follow.FeedConfig{{Name: "operator", Feed: &silentFeed{}, MinReadInterval: operatorReadInterval}},
		func(v *directory.View) {
			if v.Table.Version() == 2 {
				arrived <- struct{}{}
			}
		})
	defer func() { assert.NilError(t, f.Stop(context.Background())) }()
	select {
	case <-arrived:
	case <-time.After(bound):
		t.Fatalf("version 2 not in force after %v", bound)
	}
}
