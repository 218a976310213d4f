package cases

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// greyEngine is a model server that, while it is grey, answers some of the requests for tokens
// with 500, and while garbled is on sends some of its answers twice, the second time late: at the
// point where the next answer on the connection is expected.
type greyEngine struct {
	id, address string
	born        int64    // of all that it says of itself
	garble      *garbled // of all engines that garble
	mu          sync.Mutex
	grey        bool
	requests    int            // while it is grey
	failures    int            // of these
	failed      map[string]int // answers of 500 by item
	rand        *rand.Rand
}

// garbled counts the answers of the engines that garble during one disruption.
type garbled struct {
	mu            sync.Mutex
	on            bool
	answers       int
	extras        int
	total, extraN int // of all disruptions
}

func (g *garbled) set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on, g.answers, g.extras = on, 0, 0
}

// answer counts an answer and reports whether it is sent twice, if that is wanted and within the
// share.
func (g *garbled) answer(wanted bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.on {
		return false
	}
	g.answers++
	g.total++
	if !wanted || float64(g.extras+1) > extraShare*float64(g.answers) {
		return false
	}
	g.extras++
	g.extraN++
	return true
}

const (
	failShare  = 0.4  // most of the requests of a grey server
	drawnShare = 0.6  // drawn of these; failShare bounds it
	extraShare = 0.03 // of the answers of the servers that garble
	eventCount = 8
	eventPause = 5 * time.Millisecond
)

func newGreyEngine(s *store, id, service string, garble *garbled) *greyEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	g := &greyEngine{id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), garble: garble, failed: make(map[string]int), rand: rand.New(rand.NewPCG(1, 2))}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			s.put("keyed.servers", id, map[string]any{
				"service": service, "address": g.address, "zone": "z1", "version": "v1", "slots": 12, "state": "ready",
				"cold_left_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{}}}, "seq": seq, "born": g.born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return g
}

func (g *greyEngine) serve(c net.Conn) {
	defer c.Close()
	var extra []byte
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if extra != nil {
			note("engine %s sends its answer before once more, where that to %s is expected", g.id, id)
			_, _ = c.Write(extra)
			extra = nil
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != g.id {
			_, _ = c.Write(answer(421, id, nil, ""))
			continue
		}
		if r.URL.Path == "/api/report" {
			_, _ = c.Write(answer(200, id, nil, fmt.Sprintf(`{"stage":"both","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,"born":%d}`, g.born)))
			continue
		}
		if g.fails() {
			out := answer(500, id, map[string]string{"X-Response-Signature": "signed-" + id}, "")
			n, twice := g.noteFailure(id)
			note("engine %s answers 500 to %s (time %d)", g.id, id, n)
			if _, err := c.Write(out); err != nil {
				return
			}
			if twice {
				extra = out
			}
			continue
		}
		if !g.stream(c, id, r.Header.Get("Last-Event-Id")) {
			return
		}
		g.garble.answer(false)
	}
}

// fails reports whether a request is answered with 500; the share of these is kept at each time.
func (g *greyEngine) fails() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.grey {
		return false
	}
	g.requests++
	if g.rand.Float64() >= drawnShare || float64(g.failures+1) > failShare*float64(g.requests) {
		return false
	}
	g.failures++
	return true
}

// noteFailure counts an answer of 500 and reports whether it is sent twice: the second one of an
// item, if the share allows it.
func (g *greyEngine) noteFailure(id string) (n int, twice bool) {
	g.mu.Lock()
	g.failed[id]++
	n = g.failed[id]
	g.mu.Unlock()
	return n, g.garble.answer(n == 2)
}

// stream generates the events of an item in chunks.
func (g *greyEngine) stream(c net.Conn, id, last string) bool {
	after, _ := strconv.Atoi(last)
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: %s\r\nX-Response-Signature: signed-%s\r\nX-Weight-Versions: 1\r\n\r\n", id, id)
	if _, err := c.Write(head.Bytes()); err != nil {
		return false
	}
	for n := after + 1; n <= eventCount; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// lateFailure: seven engines run the items of batch jobs. Five times, for five seconds each, one of
// them is grey, and four of them, that one among them, send some of their answers twice.
func lateFailure() {
	const (
		calm    = 2 * time.Second // before each disruption
		harmed  = 5 * time.Second // length of a disruption
		windows = 5
		perJob  = 8
		timeout = 60 * time.Second
	)
	s := newStore()
	s.put("keyed.op", "config", engineConfig(3, "engines"))
	s.put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 1})
	var engines []*greyEngine
	garble, sound := &garbled{}, &garbled{}
	for n := range 7 {
		counter := sound
		if n < 4 { // share 0.57
			counter = garble
		}
		engines = append(engines, newGreyEngine(s, fmt.Sprintf("i-%d", n+1), "engines", counter))
	}
	ds := []*daemon{newDaemon("front-1", s), newDaemon("front-2", s), newDaemon("front-3", s)}
	awaitReady(ds...)
	time.Sleep(time.Second)
	g := engines[0]
	harm := func(on bool) {
		g.mu.Lock()
		g.grey, g.requests, g.failures = on, 0, 0
		g.mu.Unlock()
		garble.set(on)
		note("engine %s is grey, engines i-1 to i-4 garble: %v", g.id, on)
	}
	for n := 0; trouble && n < windows; n++ {
		begin := calm + time.Duration(n)*(calm+harmed)
		time.AfterFunc(begin, func() { harm(true) })
		time.AfterFunc(begin+harmed, func() { harm(false) })
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	call := func(method, address, path, id string, body []byte) (int, []byte) {
		r, _ := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		r.Host = "trainers.example"
		if id != "" {
			r.Header.Set("X-Request-Id", id)
		}
		resp, err := client.Do(r)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, data
	}
	var jobs []string
	for end := time.Now().Add(windows*(calm+harmed) - time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		id := fmt.Sprintf("job-%d", len(jobs))
		var items []any
		for i := range perJob {
			item := fmt.Sprintf("%s-item-%d", id, i)
			items = append(items, map[string]any{
				"id": item, "path": "/engines/x", "headers": map[string]string{"X-Model": "m1"}, "body": []byte("prompt of " + item), "tokens": 100, "group": fmt.Sprintf("g%d", i/4),
			})
		}
		body, _ := json.Marshal(map[string]any{"step": len(jobs), "model": "m1", "min_version": 1, "target_groups": perJob / 4, "items": items})
		status, _ := call(http.MethodPost, ds[len(jobs)%len(ds)].front, "/engines/"+id, id, body)
		note("batch job %s with %d items is sent, answer %d", id, perJob, status)
		if status == http.StatusAccepted {
			jobs = append(jobs, id)
		} else {
			cannotRun("a batch job is refused in calm")
		}
	}
	type resultDoc struct {
		ID, State, Text string
	}
	completed, errored, broken := 0, 0, 0
	for n, id := range jobs {
		for after, end := 0, time.Now().Add(timeout); after < perJob; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				cannotRun("batch job %s isn't done", id)
			}
			status, data := call(http.MethodGet, ds[(n+1)%len(ds)].front, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", nil)
			var page struct {
				Next    int
				Results []resultDoc
			}
			if status != http.StatusOK || json.Unmarshal(data, &page) != nil {
				continue
			}
			after = page.Next
			for _, r := range page.Results {
				if r.State == "completed" {
					completed++
					if r.Text != itemText(r.ID, eventCount) {
						broken++
						note("BROKEN: MIXED: the text of %s isn't whole", r.ID)
					}
					continue
				}
				errored++
				fails := 0
				for _, g := range engines {
					g.mu.Lock()
					fails += g.failed[r.ID]
					g.mu.Unlock()
				}
				note("%s is listed as %s after %d answers of 500", r.ID, r.State, fails)
				if fails < 3 {
					broken++
					note("BROKEN: MIXED: %s is errored after %d answers of 500, attempts are 3", r.ID, fails)
				}
			}
		}
	}
	verdict(broken > 0, "%d batch jobs, %d items completed, %d errored; %d of %d answers of the four engines sent twice; errored too early or not whole: %d",
		len(jobs), completed, errored, garble.extraN, garble.total, broken)
}
