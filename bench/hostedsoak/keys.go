package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dotterelmount.example/standin/platform"
)

// Tenants, unless there are daemons of an earlier build, for which callers have no keys.
const (
	memberTenant  = "members"
	trainerTenant = "trainers"
	probeTenant   = "probes"
	memberKey     = "key-of-the-members"
	trainerKey    = "key-of-the-trainers"
	readerKey     = "other-key-of-the-trainers" // for reads and ends of jobs
	otherPrefix   = "revoked-"                  // of the ids of requests with a key that was taken away
)

// probeKey is the key that a version adds and that is taken away with its probe route.
func probeKey(version int) string { return fmt.Sprintf("key-of-probes-%d", version) }

// tenants returns the tenants of the newest version.
func (o *operator) tenants() []platform.Tenant {
	if !o.sameBuild {
		return nil
	}
	probes := platform.Tenant{Name: probeTenant, Priority: 1}
	for v := o.version; v > 0 && v > o.version-probeRouteCount; v-- {
		probes.Keys = append(probes.Keys, probeKey(v))
	}
	return []platform.Tenant{{Name: memberTenant, Keys: []string{memberKey}}, {Name: trainerTenant, Keys: []string{trainerKey, readerKey}}, probes}
}

// clientWith returns the client with a key, if callers need one.
func (d *deployment) clientWith(key string) *platform.Client {
	c := *d.client
	if c.Key = key; !d.operator.sameBuild {
		c.Key = ""
	}
	return &c
}

// probeRevokedKey sends a request with the newest key that must be refused everywhere, and
// counts it if it is served.
func (r *Result) probeRevokedKey(d *deployment, j *injector, daemon, n int) {
	sent := time.Now()
	version := d.operator.newestVersion() - probeRouteCount
	for version > 0 && sent.Sub(d.operator.publishedAt(version+probeRouteCount)) <= maxApplyDelay {
		version--
	}
	if version <= 0 || !d.operator.sameBuild || !j.undisturbed(daemon, sent) {
		return
	}
	response := d.clientWith(probeKey(version)).Send(context.Background(), d.callerAddresses[daemon], platform.Call{
		Method: http.MethodPost, Path: safePath + "revoked", RequestID: fmt.Sprintf("%s%d-%d", otherPrefix, daemon, n), Deadline: probeTimeout,
	})
	if response.Err != nil {
		return
	}
	if response.Status == http.StatusOK {
		r.Countf(&r.RevokedServed, "%s served a key that version %d took away", daemonName(daemon), version+probeRouteCount)
	}
	if response.Status == http.StatusUnauthorized {
		r.revoked.Add(1)
	}
}

// readAsOther reads a trainer's job as another customer.
func (t *trainer) readAsOther(ctx context.Context, s *step, daemon int) {
	if !t.deployment.operator.sameBuild {
		return
	}
	_, response := t.deployment.clientWith(memberKey).ReadResults(ctx, t.deployment.callerAddresses[daemon], s.job.ID, 0, 0, callTimeout)
	if response.Err == nil && response.Status == http.StatusOK {
		t.result.Countf(&t.result.ForeignReads, "%s showed %s to another customer", daemonName(daemon), s.job.ID)
	}
}

// evaluateTenants counts requests that servers ran for another tenant than the one that has
// the caller's key, or with the key.
func (r *Result) evaluateTenants(trainers []*trainer, index *arrivalIndex, sameBuild bool) {
	if !sameBuild {
		return
	}
	tenants := make(map[string]string)
	for _, t := range trainers {
		for _, s := range t.steps {
			for _, item := range s.job.Items {
				tenants[item.ID], tenants[scorePrefix+item.ID] = trainerTenant, trainerTenant
			}
		}
	}
	for id, arrivals := range index.arrivals {
		want, ok := tenants[id]
		if !ok {
			want = memberTenant
		}
		if strings.HasPrefix(id, probePrefix) || strings.HasPrefix(id, otherPrefix) {
			want = probeTenant
		}
		for _, a := range arrivals {
			if a.Tenant != want || a.KeyShown {
				r.Countf(&r.WrongTenant, "%s ran %s for %q instead of %q, key shown: %t", a.InstanceID, id, a.Tenant, want, a.KeyShown)
			}
		}
	}
}
