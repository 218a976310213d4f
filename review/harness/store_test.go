package harness

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Modes of a gate, the address of the store that one daemon is given.
const (
	gateServes = iota
	gateSilent // calls get no response
	gateBusy   // calls get 503, and nothing is done
)

// Store is a stand-in of the platform's metadata store: a log of topics with
// conditional, sequenced appends, long polls, retention and keyed topics.
type Store struct {
	mu         sync.Mutex
	changed    chan struct{}
	partitions map[string]*partition
	retention  time.Duration // of topics that are not keyed
	appendTime time.Duration // of one append to a partition
}

type partition struct {
	appending sync.Mutex // appends of a partition are processed one at a time
	keyed     bool
	first     int
	records   [][]byte
	times     []time.Time
	producers map[string]*producer
	newest    map[string]int // offset of the newest record of a key
}

type producer struct {
	epoch, seq int
	last       []appended // the last five appends
}

type appended struct{ seq, offset, end int }

// NewStore returns an empty store.
func NewStore(retention time.Duration) *Store {
	return &Store{changed: make(chan struct{}), partitions: make(map[string]*partition), retention: retention, appendTime: 2 * time.Millisecond}
}

func (s *Store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{keyed: len(topic) > 6 && topic[:6] == "keyed.", producers: make(map[string]*producer), newest: make(map[string]int)}
		s.partitions[name] = p
	}
	return p
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (p *partition) end() int { return p.first + len(p.records) }

func (p *partition) add(record []byte) {
	if p.keyed && len(record) > 0 && int(record[0]) < len(record) {
		key := string(record[1 : 1+int(record[0])])
		p.newest[key] = p.end()
		if 1+int(record[0]) == len(record) {
			delete(p.newest, key)
		}
	}
	p.records, p.times = append(p.records, record), append(p.times, time.Now())
}

// expire deletes records that are older than the retention.
func (s *Store) expire(p *partition) {
	if p.keyed {
		return
	}
	n := 0
	for n < len(p.times) && time.Since(p.times[n]) > s.retention {
		n++
	}
	p.first, p.records, p.times = p.first+n, p.records[n:], p.times[n:]
}

// Put writes a record of a keyed topic, as the operator and servers do. It returns the
// time of the acknowledgement.
func (s *Store) Put(topic, key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.partition(topic, "0").add(record)
	s.notify()
	return time.Now()
}

// Gate is one daemon's way to the store.
type Gate struct {
	store *Store
	mu    sync.Mutex
	mode  int
}

// Serve serves the gate on a listener.
func (s *Store) Serve(l net.Listener) *Gate {
	g := &Gate{store: s}
	go func() { _ = http.Serve(l, g) }()
	return g
}

// SetMode changes how the store treats the daemon, also in calls that wait.
func (g *Gate) SetMode(mode int) {
	g.mu.Lock()
	g.mode = mode
	g.mu.Unlock()
	g.store.mu.Lock()
	g.store.notify()
	g.store.mu.Unlock()
}

func (g *Gate) current() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode
}

// turnedAway handles a call that the store rejects.
func (g *Gate) turnedAway(w http.ResponseWriter, r *http.Request) bool {
	switch g.current() {
	case gateSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case gateBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || g.turnedAway(w, r) {
		return
	}
	time.Sleep(time.Millisecond)
	switch r.URL.Path {
	case "/api/log-append":
		g.store.append(w, r, body)
	case "/api/log-read":
		g.read(w, r)
	case "/api/log-newest":
		g.store.listNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	if p.keyed {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(s.appendTime)
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := q.Get("producer"); name != "" {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		pr, ok := p.producers[name]
		switch {
		case !ok || epoch > pr.epoch:
			pr = &producer{epoch: epoch, seq: seq - 1}
			p.producers[name] = pr
		case epoch < pr.epoch:
			reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		}
		for _, a := range pr.last {
			if a.seq == seq {
				reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
				return
			}
		}
		if seq != pr.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "seq": pr.seq + 1})
			return
		}
		pr.seq = seq
		pr.last = append(pr.last, appended{seq, p.end(), p.end() + len(records)})
		pr.last = pr.last[max(0, len(pr.last)-5):]
	}
	offset := p.end()
	for _, record := range records {
		p.add(record)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func (g *Gate) read(w http.ResponseWriter, r *http.Request) {
	s := g.store
	q := r.URL.Query()
	from, maxBytes := number(r, "from"), number(r, "max_kb")<<10
	if maxBytes == 0 {
		maxBytes = 1 << 20
	}
	deadline := time.NewTimer(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		s.expire(p)
		changed := s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < p.end() || expired {
			page := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			page = binary.BigEndian.AppendUint64(page, uint64(p.first))
			for size := 0; from < p.end(); from++ {
				record := p.records[from-p.first]
				if size += len(record) + 4; size > maxBytes && len(page) > 16 {
					break
				}
				page = append(binary.BigEndian.AppendUint32(page, uint32(len(record))), record...)
			}
			s.mu.Unlock()
			if !g.turnedAway(w, r) {
				_, _ = w.Write(page)
			}
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		if g.current() != gateServes {
			g.turnedAway(w, r)
			return
		}
	}
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(500, len(keys))] {
		offset := p.newest[key]
		record := p.records[offset-p.first]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record[1+int(record[0]):]), "offset": offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(keys) > 500, "end": p.end()})
}
