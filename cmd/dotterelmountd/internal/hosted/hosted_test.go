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

// silentFeed has one configuration. Its first call of Next blocks until its
// context is done, like one on a broken connection; later calls return a second
// configuration.
type silentFeed struct{ waits atomic.Int32 }

func (f *silentFeed) Load(context.Context) ([]directory.Change, directory.Cursor, error) {
	return []directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 1}}}, 1, nil
}

func (f *silentFeed) Next(ctx context.Context, from directory.Cursor, wait time.Duration) (directory.Page, error) {
	if f.waits.Add(1) == 1 {
		<-ctx.Done()
		return directory.Page{}, ctx.Err()
	}
	if from == 1 {
		return directory.Page{Changes: []directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 2}}}, Next: 2}, nil
	}
	duty.Sleep(ctx, wait)
	return directory.Page{Next: from, AtEnd: true}, ctx.Err()
}

// A configuration must be in force 2 s after it was accepted, even if the
// connection of the pending long poll is broken without an error.
func TestConfigurationArrivesDespiteSilentConnection(t *testing.T) {
	const bound = 2 * time.Second
	arrived := make(chan struct{}, 1)
	f := follow.Start(duty.NewSystem(nil), watcherConfig, zap.NewNop(), []follow.FeedConfig{{Name: "operator", Feed: &silentFeed{}, MinReadInterval: operatorReadInterval}},
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
