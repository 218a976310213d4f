package duty

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, without spinning.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
