package adminclient

import (
	"context"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
)

// statusTimeout bounds the call to one daemon, so that an unresponsive one does not
// use up the time for the others.
const statusTimeout = 2 * time.Second

// UnreachedDaemon is a daemon that may be live but did not respond. Its status is
// unknown.
type UnreachedDaemon struct {
	Name    api.DaemonID `json:"name"`
	Address string       `json:"address"`
	Error   string       `json:"error"`
}

// Fleet is the status of all live daemons.
type Fleet struct {
	Daemons   []adminapi.Status `json:"daemons"`
	Unreached []UnreachedDaemon `json:"unreached"`
	// DownMembers are the members that all reached daemons consider dead or left.
	DownMembers []adminapi.MemberStatus `json:"gone"`
	// UnknownAddresses are the given addresses that did not respond and that no
	// reached daemon knows. They may be replaced hosts, so waits ignore them.
	UnknownAddresses []string `json:"silent"`
}

// Fleet requests the status of the given daemons and of all live members that they
// know. Errors: *UnreachableError if no daemon responded.
func (c *Client) Fleet(ctx context.Context) (*Fleet, error) {
	f := &Fleet{
		Daemons:          []adminapi.Status{},
		Unreached:        []UnreachedDaemon{},
		DownMembers:      []adminapi.MemberStatus{},
		UnknownAddresses: []string{},
	}
	var lastErr error
	for _, address := range c.Daemons {
		status, err := c.statusWithTimeout(ctx, address)
		if err != nil {
			f.UnknownAddresses = append(f.UnknownAddresses, address)
			lastErr = err
			continue
		}
		f.add(status)
	}
	if len(f.Daemons) == 0 {
		return nil, &UnreachableError{Daemons: c.Daemons, Cause: lastErr}
	}
	for _, m := range f.members() {
		f.addMember(ctx, c, m)
	}
	return f, nil
}

func (c *Client) statusWithTimeout(ctx context.Context, address string) (adminapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.StatusAt(ctx, address)
}

func (f *Fleet) add(s adminapi.Status) {
	if !f.reached(s.Daemon) {
		f.Daemons = append(f.Daemons, s)
	}
}

func (f *Fleet) reached(name api.DaemonID) bool {
	return slices.ContainsFunc(f.Daemons, func(d adminapi.Status) bool { return d.Daemon == name })
}

// members merges the member lists of the reached daemons. A member that is live in
// one list counts as live.
func (f *Fleet) members() []adminapi.MemberStatus {
	merged := make(map[api.DaemonID]adminapi.MemberStatus)
	for _, d := range f.Daemons {
		for _, m := range d.Members {
			if existing, ok := merged[m.Name]; !ok || (m.Live() && !existing.Live()) {
				merged[m.Name] = m
			}
		}
	}
	var members []adminapi.MemberStatus
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		members = append(members, merged[name])
	}
	return members
}

func (f *Fleet) addMember(ctx context.Context, c *Client, m adminapi.MemberStatus) {
	if f.reached(m.Name) {
		return
	}
	f.UnknownAddresses = slices.DeleteFunc(f.UnknownAddresses, func(address string) bool { return address == m.Address })
	if !m.Live() {
		f.DownMembers = append(f.DownMembers, m)
		return
	}
	status, err := c.statusWithTimeout(ctx, m.Address)
	if err != nil {
		f.Unreached = append(f.Unreached, UnreachedDaemon{Name: m.Name, Address: m.Address, Error: err.Error()})
		return
	}
	f.add(status)
}

// Behind returns the live daemons that are not known to have applied offset o.
func (f *Fleet) Behind(o api.Offset) []api.DaemonID {
	behind := f.unreachedNames()
	for _, d := range f.Daemons {
		if d.ConfigOffset < o {
			behind = append(behind, d.Daemon)
		}
	}
	return behind
}

// NotDrained returns the live daemons that may still have requests in progress on
// an upstream that was marked draining at revision r.
func (f *Fleet) NotDrained(id api.UpstreamID, r api.Revision) []api.DaemonID {
	busy := f.unreachedNames()
	for _, d := range f.Daemons {
		if d.ConfigOffset < r || !drained(d, id) {
			busy = append(busy, d.Daemon)
		}
	}
	return busy
}

func drained(d adminapi.Status, id api.UpstreamID) bool {
	for _, u := range d.Upstreams {
		if u.ID == id {
			return u.Mark == api.MarkDraining && u.InFlight == 0
		}
	}
	return false // unknown
}

// Loaded returns the highest version of a model that an upstream reported to any
// daemon; zero if unknown.
func (f *Fleet) Loaded(id api.UpstreamID, m api.ModelName) api.WeightVersion {
	var highest api.WeightVersion
	for _, d := range f.Daemons {
		for _, u := range d.Upstreams {
			if u.ID == id {
				highest = max(highest, u.LoadedVersions[m])
			}
		}
	}
	return highest
}

func (f *Fleet) unreachedNames() []api.DaemonID {
	var names []api.DaemonID
	for _, u := range f.Unreached {
		names = append(names, u.Name)
	}
	return names
}
