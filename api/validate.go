package api

import "net"

// The error texts of this file are stored data: a verdict's detail contains them,
// and checkpoints of the config stream store verdicts. Keep them unchanged.

// Validate checks names and references of the list. Errors: CodeInvalid.
func (l *PlanList) Validate() error {
	plans := make(map[PlanName]bool, len(l.Plans))
	for _, p := range l.Plans {
		if p.Name == "" {
			return Errorf(CodeInvalid, "plans: empty name")
		}
		if plans[p.Name] {
			return Errorf(CodeInvalid, "plans: %q appears twice", p.Name)
		}
		plans[p.Name] = true
	}
	seen := make(map[CustomerID]bool, len(l.Customers))
	for _, c := range l.Customers {
		if c.ID == "" {
			return Errorf(CodeInvalid, "customers: empty id")
		}
		if seen[c.ID] {
			return Errorf(CodeInvalid, "customers: %q appears twice", c.ID)
		}
		seen[c.ID] = true
		if !plans[c.Plan] {
			return Errorf(CodeInvalid, "customers: %q has plan %q, which is not in plans", c.ID, c.Plan)
		}
	}
	return nil
}

// Validate checks names, references and limits of the list. Errors: CodeInvalid.
func (l *UsageList) Validate() error {
	ids := make(map[UpstreamID]bool, len(l.Upstreams))
	for i := range l.Upstreams {
		u := &l.Upstreams[i]
		if ids[u.ID] {
			return Errorf(CodeInvalid, "upstreams: %q appears twice", u.ID)
		}
		ids[u.ID] = true
		if err := u.validate(); err != nil {
			return err
		}
	}
	plans := make(map[PlanName]bool, len(l.Usages))
	for i := range l.Usages {
		u := &l.Usages[i]
		if plans[u.Plan] {
			return Errorf(CodeInvalid, "usages: plan %q appears twice", u.Plan)
		}
		plans[u.Plan] = true
		if err := u.validate(ids); err != nil {
			return err
		}
	}
	return nil
}

func (u *Upstream) validate() error {
	if u.ID == "" {
		return Errorf(CodeInvalid, "upstreams: empty id")
	}
	if u.Kind != KindEngine && u.Kind != KindPlain {
		return Errorf(CodeInvalid, "upstreams: %q has kind %q; allowed: engine, plain", u.ID, u.Kind)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		return Errorf(CodeInvalid, "upstreams: %q has address %q; allowed: host:port: %w", u.ID, u.Address, err)
	}
	if len(u.Models) == 0 {
		return Errorf(CodeInvalid, "upstreams: %q has no models", u.ID)
	}
	if u.Window < 1 {
		return Errorf(CodeInvalid, "upstreams: %q has window %d; allowed: 1 or more", u.ID, u.Window)
	}
	return nil
}

func (u *Usage) validate(upstreams map[UpstreamID]bool) error {
	if u.Plan == "" {
		return Errorf(CodeInvalid, "usages: empty plan")
	}
	if len(u.Models) == 0 {
		return Errorf(CodeInvalid, "usages: plan %q has no models", u.Plan)
	}
	for _, id := range u.Upstreams {
		if !upstreams[id] {
			return Errorf(CodeInvalid, "usages: plan %q names upstream %q, which is not in upstreams", u.Plan, id)
		}
	}
	if u.RequestsPerSecond < 0 || u.Concurrency < 0 {
		return Errorf(CodeInvalid, "usages: plan %q has a negative limit", u.Plan)
	}
	w := u.Weights
	if w.Interactive < 0 || w.Once < 0 || w.Rollout < 0 {
		return Errorf(CodeInvalid, "usages: plan %q has a negative weight", u.Plan)
	}
	return nil
}
