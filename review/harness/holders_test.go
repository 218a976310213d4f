package harness

import (
	"fmt"
	"os"
	"slices"
	"time"
)

func init() { cases["holders"] = twoHolders }

// twoHolders: a machine is added later than the store's retention after the leases were
// acquired.
func twoHolders(r *Rig) {
	const model, prefix = "daka510000", "/pufi791/"
	const leaseTime, contact = 3 * time.Second, 3 * time.Second
	retention := 45 * time.Second
	r.jobKept = 30 * time.Second
	if os.Getenv("RETENTION") == "300" { // as in the example of the platform's pages; by hand only
		retention, r.jobKept = 300*time.Second, 120*time.Second
	}
	r.startStore(retention)
	r.configure(config{Version: 1, Routes: []route{batchRoute("r1", prefix, "engines")}, Services: []service{engineService("engines", model)}})
	var servers []*Server
	for i := range 12 {
		servers = append(servers, r.NewServer(fmt.Sprintf("i-a%02d", i), "engines", model))
	}
	for i := range 3 {
		r.waitReady(r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	r.sleep(retention + 5*time.Second)
	if r.trouble {
		r.waitReady(r.StartDaemon("front-new"))
	}
	r.sleep(contact + 3*time.Second)
	for v := 2; v <= 10; v++ {
		r.nameVersion(model, v)
		r.sleep(4 * time.Second)
	}
	var broken []string
	total := 0
	for _, s := range servers {
		orders := s.Orders()
		slices.SortFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
		total += len(orders)
		for i, o := range orders {
			if i == 0 {
				continue
			}
			p := orders[i-1]
			if p.Owner != o.Owner && o.At.Sub(p.At) < leaseTime {
				broken = append(broken, fmt.Sprintf("ONE: orders to server %s came from %s (fencing token %d) and, %s later, from %s (fencing token %d); both machines are in touch",
					s.ID, p.Owner, p.Fence, o.At.Sub(p.At).Round(time.Millisecond), o.Owner, o.Fence))
			}
		}
	}
	if total == 0 {
		r.exit(exitCannotRun, "no server got an order")
	}
	r.judge(broken, fmt.Sprintf("%d orders, no two holders of a server within lease_ms", total))
}
