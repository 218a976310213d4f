package harness

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["killers"] = killers }

const (
	host     = "members.example"
	safePath = "/checkin/"
	killer   = "KILLER" // a body with this crashes the server that begins to run it
	attempts = 3
	// allowedRetries is the number of retries that the rule allows.
	allowedRetries = 3
)

// plainConfig is a configuration with one route of kind safe.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "checkin", "host": host, "path_prefix": safePath, "type": "safe", "timeout_ms": 2000, "full_value_ms": 150, "priority": 2, "service": "member-app", "attempts": attempts,
		}},
		"services": []any{map[string]any{"name": "member-app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// killers sends two requests that crash the servers that run them, until the daemons refuse
// both. With trouble, the daemons are then stopped and started in turn. Then both requests
// come again.
func killers(r *rig) (string, error) {
	const downtime = 1500 * time.Millisecond
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", plainConfig())
	for n := range 12 {
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "member-app", nil, func(s *server, w http.ResponseWriter, q *http.Request, body []byte) int {
			if strings.Contains(string(body), killer) {
				s.crash(downtime)
				panic(http.ErrAbortHandler)
			}
			return signed(w, q, http.StatusOK, "fine")
		})
		if err != nil {
			return "", err
		}
	}
	if err := r.startDaemons(3); err != nil {
		return "", err
	}
	if err := r.awaitRoute(host, safePath+"x"); err != nil {
		return "", err
	}
	k := &killerLoad{rig: r}
	time.Sleep(contact)

	// The first killer comes at two machines at the same time, the second one at one.
	var both sync.WaitGroup
	for _, d := range r.daemons[:2] {
		both.Add(1)
		go func() {
			defer both.Done()
			k.send("first", d)
		}()
	}
	both.Wait()
	time.Sleep(5 * time.Second)
	k.send("second", r.daemons[0])
	time.Sleep(5 * time.Second)
	for range 2 { // both are refused now
		for _, d := range r.daemons {
			k.send("first", d)
			k.send("second", d)
			time.Sleep(300 * time.Millisecond)
		}
	}
	if r.trouble {
		for _, d := range r.daemons {
			d.terminate()
			if err := d.start(); err != nil {
				return "", err
			}
			if err := d.awaitReady(10 * time.Second); err != nil {
				return "", err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	for range 4 {
		for i, d := range r.daemons {
			k.send("second", d)
			if i%2 == 0 { // the client's own retry, at another machine
				k.send("second", r.daemons[(i+1)%len(r.daemons)])
			}
			time.Sleep(2 * time.Second)
		}
	}
	return k.judge(), nil
}

// killerLoad sends requests that crash servers and remembers where each was sent.
type killerLoad struct {
	rig *rig
	mu  sync.Mutex
	n   int
	at  map[string]*daemon   // by request id
	of  map[string]string    // killer of a request id
	sat map[string]time.Time // start of the daemon's process when the request was sent
}

func (k *killerLoad) send(name string, d *daemon) {
	k.mu.Lock()
	k.n++
	id := fmt.Sprintf("%s-%03d", name, k.n)
	if k.at == nil {
		k.at, k.of, k.sat = make(map[string]*daemon), make(map[string]string), make(map[string]time.Time)
	}
	k.at[id], k.of[id], k.sat[id] = d, name, d.started
	k.mu.Unlock()
	k.rig.rec.printf("client: %s to %s", id, d.name)
	a := d.call(http.MethodPost, host, safePath+name, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte(killer+" "+name), 3*time.Second)
	k.rig.rec.printf("client: %s from %s: %v", id, d.name, a)
}

// judge counts the retries of each killer by the rule: those sent by machines in touch later
// than contact_ms after it has crashed the third server.
func (k *killerLoad) judge() string {
	var all []arrival
	for _, s := range k.rig.servers {
		all = append(all, s.arrivals()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	var broken []string
	for _, name := range []string{"first", "second"} {
		var runs []arrival
		for _, a := range all {
			if k.of[a.id] == name {
				runs = append(runs, a)
			}
		}
		retries := 0
		for _, a := range runs[min(3, len(runs)):] {
			inTouch := a.at.Sub(k.sat[a.id]) > contact
			if a.at.Sub(runs[2].at) > contact && inTouch {
				retries++
			}
		}
		k.rig.rec.printf("%s killer: %d runs, %d retries by machines in touch later than contact_ms after the third crash", name, len(runs), retries)
		if retries > allowedRetries {
			broken = append(broken, fmt.Sprintf("the %s killer reached servers in %d retries", name, retries))
		}
	}
	return join(broken)
}
