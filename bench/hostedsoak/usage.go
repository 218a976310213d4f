package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/usage"
)

const (
	usageWindow = 2 * time.Second
	usageDelay  = 6 * time.Second
	// usageTimeout is above the time in which a lease ends, calls of the holder before can't be
	// executed any more, and the holder after reports what it finds.
	usageTimeout = 30 * time.Second
)

// dutySettings returns the settings of the duties.
func (d *deployment) dutySettings() string {
	return fmt.Sprintf("duties:\n  address: %s\n  names: [metering]\n  fences_checked: %t\n  lease: 1500ms\n  usage_window: %s\n  usage_delay: %s\n",
		d.cloud.Address(), d.cloud.FencesChecked(), usageWindow, usageDelay)
}

// awaitUsage waits until the windows up to now are reported. There are no more faults.
func (r *Result) awaitUsage(ctx context.Context, d *deployment) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	last := usage.WindowOf(time.Now(), usageWindow)
	for {
		if _, ok := d.cloud.Usage()[last]; ok {
			return
		}
		if !duty.Sleep(ctx, pollInterval) {
			r.Errorf("usage of window %d was not reported within %s", last, usageTimeout)
			return
		}
	}
}

// evaluateUsage counts the windows of usage, and the calls that break the platform's rules.
func (r *Result) evaluateUsage(d *deployment) {
	reported := slices.Sorted(maps.Keys(d.cloud.Usage()))
	r.UsageWindows, r.DutyHolders = len(reported), len(d.cloud.Fences())
	for i := 1; i < len(reported); i++ {
		for w := reported[i-1] + 1; w < reported[i]; w++ {
			r.Countf(&r.UsageMissing, "usage of window %d was not reported", w)
		}
	}
	for _, v := range d.cloud.Violations() {
		r.Countf(&r.DutyViolations, "%s", v)
	}
}
