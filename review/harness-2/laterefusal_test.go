package cases

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	work  = 21 * time.Millisecond // of a request
	queue = 1                     // requests that wait at a server beside those that run
)

// plainServer is a server of a plain service, as PROTOCOL.md describes it. It runs slots
// requests at once, queues one more, and refuses others as not run. All requests of a connection
// are served one after the other.
type plainServer struct {
	id, address string
	slots       int
	born        int64         // of all that it says of itself
	slot        chan struct{} // filled while a request runs
	everyExtra  int           // each such answer is sent a second time; 0: none

	mu      sync.Mutex
	taken   int // requests that run or wait
	answers int
	extras  int
	runs    map[string]int
}

func newPlainServer(s *store, id, service string, slots int) *plainServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("server: %v", err)
	}
	p := &plainServer{id: id, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			s.put("keyed.servers", id, map[string]any{
				"service": service, "address": p.address, "zone": "z1", "version": "v1", "slots": slots, "state": "ready",
				"cold_left_ms": 0, "stage": "both", "models": []any{}, "seq": seq, "born": p.born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return p
}

func answer(status int, id string, headers map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), id, len(body))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// serve serves one connection.
func (p *plainServer) serve(c net.Conn) {
	defer c.Close()
	var extra []byte // a second copy of the answer before
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if extra != nil { // it arrives late, where the next answer is expected
			note("server %s sends its answer before once more, where that to %s is expected", p.id, id)
			_, _ = c.Write(extra)
			extra = nil
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
			_, _ = c.Write(answer(421, id, nil, ""))
			continue
		}
		if r.URL.Path == "/api/report" {
			_, _ = c.Write(answer(200, id, nil, fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"seq":0,"born":%d}`, p.born)))
			continue
		}
		out := p.handle(id, len(body))
		p.mu.Lock()
		p.answers++
		if p.everyExtra > 0 && p.answers%p.everyExtra == 0 {
			extra = out
			p.extras++
		}
		p.mu.Unlock()
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// handle runs a request or refuses it.
func (p *plainServer) handle(id string, size int) []byte {
	p.mu.Lock()
	if p.taken >= p.slots+queue {
		p.mu.Unlock()
		note("server %s refuses %s as not run", p.id, id)
		return answer(503, id, map[string]string{"X-Request-Not-Run": "1"}, "")
	}
	p.taken++
	p.mu.Unlock()
	p.slot <- struct{}{}
	p.mu.Lock()
	p.runs[id]++
	n := p.runs[id]
	p.mu.Unlock()
	note("server %s runs %s (time %d)", p.id, id, n)
	time.Sleep(work)
	<-p.slot
	p.mu.Lock()
	p.taken--
	p.mu.Unlock()
	return answer(200, id, map[string]string{"X-Response-Signature": "signed-" + id}, "slip for "+strconv.Itoa(size)+" bytes")
}

// lateRefusal: clients send requests that may run once to four small services with one server
// each, which the requests of four daemons fill at times. For five seconds, half of the
// servers send each 34th of their answers twice, the second time late.
func lateRefusal() {
	const (
		services = 4
		length   = 14 * time.Second
		calm     = 4 * time.Second // before the disruption
		harmed   = 5 * time.Second // length of the disruption
	)
	s := newStore()
	var routes, serviceRows []any
	var servers []*plainServer
	for n := range services {
		name := fmt.Sprintf("library-%d", n)
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("slips-%d", n), "host": "library.example", "path_prefix": fmt.Sprintf("/slips-%d/", n), "type": "unsafe", "service": name,
			"timeout_ms": 2000, "full_value_ms": 150, "priority": 2, "attempts": 2,
		})
		serviceRows = append(serviceRows, map[string]any{"name": name, "health_path": "/health", "max_conns": 110})
		servers = append(servers, newPlainServer(s, fmt.Sprintf("i-%d", n), name, 1))
	}
	s.put("keyed.op", "config", map[string]any{
		"version": 3, "routes": routes, "services": serviceRows,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	ds := []*daemon{newDaemon("front-1", s), newDaemon("front-2", s), newDaemon("front-3", s), newDaemon("front-4", s)}
	awaitReady(ds...)
	setExtras := func(every int) {
		note("half of the servers send an answer twice: each %dth (0: none)", every)
		for _, p := range servers[:services/2] {
			p.mu.Lock()
			p.everyExtra = every
			p.mu.Unlock()
		}
	}
	if trouble {
		time.AfterFunc(calm, func() { setExtras(34) })
		time.AfterFunc(calm+harmed, func() { setExtras(0) })
	}
	type sent struct {
		id     string
		status int
	}
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	client := func(d, service, n int) {
		defer wg.Done()
		c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			id := fmt.Sprintf("s%d-d%d-c%d-%d", service, d+1, n, i)
			r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/slips-%d/new", ds[d].front, service), bytes.NewReader([]byte("score of "+id)))
			r.Host = "library.example"
			r.Header.Set("X-Request-Id", id)
			r.Header.Set("X-Deadline-Ms", "2000")
			note("client sends %s to %s", id, ds[d].name)
			status := 0
			if resp, err := c.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
			note("client gets %d for %s", status, id)
			mu.Lock()
			all = append(all, sent{id, status})
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
		}
	}
	for n := range services {
		for d := range ds {
			wg.Add(1)
			go client(d, n, 0) // one request after the other
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	statuses, twice, refused, answers, extras := map[int]int{}, 0, 0, 0, 0
	for _, q := range all {
		statuses[q.status]++
		runs := 0
		for _, p := range servers {
			p.mu.Lock()
			runs += p.runs[q.id]
			p.mu.Unlock()
		}
		if runs > 1 {
			twice++
			note("BROKEN: TWICE: %s ran %d times, its client got %d", q.id, runs, q.status)
		}
		promised := q.status == 429 || q.status == 503 || q.status == 408 || q.status == 421
		if promised && runs > 0 {
			refused++
			note("BROKEN: REFUSED: %s ran %d times, its client got %d", q.id, runs, q.status)
		}
	}
	for _, p := range servers {
		p.mu.Lock()
		answers, extras = answers+p.answers, extras+p.extras
		p.mu.Unlock()
	}
	verdict(twice+refused > 0, "%d requests, answers to clients %v; %d of %d answers of the servers sent twice; ran more than once: %d, refused and run: %d",
		len(all), statuses, extras, answers, twice, refused)
}
