package adminclient

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
)

// Unreached is a daemon that may be live and did not answer: what it does is
// not known.
type Unreached struct {
	Name    api.DaemonID `json:"name"`
	Address string       `json:"address"`
	Error   string       `json:"error"`
}

// Fleet is what the live daemons say of themselves.
type Fleet struct {
	Daemons   []adminapi.Status `json:"daemons"`
	Unreached []Unreached       `json:"unreached"`
	// Gone are the members that the first answering daemon holds for dead or left.
	Gone []adminapi.MemberStatus `json:"gone"`
}

// Fleet asks one daemon for the members and every live member for its status.
// Errors: as PlanList, when no daemon answered.
func (c *Client) Fleet(ctx context.Context) (*Fleet, error) {
	first, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Daemons:   []adminapi.Status{first},
		Unreached: []Unreached{},
		Gone:      []adminapi.MemberStatus{},
	}
	for _, m := range first.Members {
		switch {
		case m.Name == first.Daemon:
		case m.Live():
			f.add(ctx, c, m)
		default:
			f.Gone = append(f.Gone, m)
		}
	}
	return f, nil
}

func (f *Fleet) add(ctx context.Context, c *Client, m adminapi.MemberStatus) {
	status, err := c.StatusAt(ctx, m.Address)
	if err != nil {
		f.Unreached = append(f.Unreached, Unreached{Name: m.Name, Address: m.Address, Error: err.Error()})
		return
	}
	f.Daemons = append(f.Daemons, status)
}

// Behind returns the live daemons that are not known to be at offset o.
func (f *Fleet) Behind(o api.Offset) []api.DaemonID {
	behind := f.unreachedNames()
	for _, d := range f.Daemons {
		if d.ConfigOffset < o {
			behind = append(behind, d.Daemon)
		}
	}
	return behind
}

// NotEmpty returns the live daemons that are not known to have stopped using
// an upstream that was marked draining at revision r.
func (f *Fleet) NotEmpty(id api.UpstreamID, r api.Revision) []api.DaemonID {
	busy := f.unreachedNames()
	for _, d := range f.Daemons {
		if d.ConfigOffset < r || !empty(d, id) {
			busy = append(busy, d.Daemon)
		}
	}
	return busy
}

func empty(d adminapi.Status, id api.UpstreamID) bool {
	for _, u := range d.Upstreams {
		if u.ID == id {
			return u.Mark == api.MarkDraining && u.InFlight == 0
		}
	}
	return false // not known
}

// Loaded returns the highest version of a model that any daemon read back
// from an upstream; zero when none did.
func (f *Fleet) Loaded(id api.UpstreamID, m api.ModelName) api.WeightVersion {
	var highest api.WeightVersion
	for _, d := range f.Daemons {
		for _, u := range d.Upstreams {
			if u.ID == id {
				highest = max(highest, u.Loaded[m])
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
