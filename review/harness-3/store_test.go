package harness

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the daemons.
const (
	recordBytes = 256 << 10
	callBytes   = 2 << 20
	retention   = 300 * time.Second
	maxReadKB   = 1024
	newestPage  = 500
	repeats     = 5 // last appends of a producer that are answered again

	partBytes    = 200 << 20 // of a partition, above which the oldest records expire
	totalBytes   = 400 << 20 // of all partitions, above which appends are refused
	appendTime   = 2 * time.Millisecond
	appendRate   = 20 << 20        // bytes a second of a partition
	longestQueue = 2 * time.Second // of a partition's appends
)

// store is a stand-in of the platform's metadata store.
type store struct {
	rec     *record
	server  *http.Server
	address string

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each append
	parts   map[string]*partition
}

type partition struct {
	appends sync.Mutex // held by the append in progress
	queued  time.Duration
	bytes   int
	first   uint64
	records [][]byte
	at      []time.Time
	newest  map[string]keyed
	writers map[string]*writer
}

type keyed struct {
	offset uint64
	value  []byte
}

type writer struct {
	epoch, seq uint64
	last       []appended // the newest last
}

type appended struct{ seq, offset, end uint64 }

func newStore(rec *record) (*store, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, address: l.Addr().String(), changed: make(chan struct{}), parts: make(map[string]*partition)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("POST /api/log-trim", s.trim)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) part(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: make(map[string]keyed), writers: make(map[string]*writer)}
		s.parts[name] = p
	}
	n := 0
	for n < len(p.at) && time.Since(p.at[n]) > retention {
		n++
	}
	p.drop(n)
	return p
}

func (p *partition) drop(n int) {
	for _, r := range p.records[:n] {
		p.bytes -= len(r)
	}
	p.first += uint64(n)
	p.records, p.at = slices.Clone(p.records[n:]), slices.Clone(p.at[n:])
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

func (p *partition) add(isKeyed bool, record []byte) {
	if isKeyed {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		delete(p.newest, key)
		if len(value) > 0 {
			p.newest[key] = keyed{p.end(), value}
		}
	}
	p.records, p.at = append(p.records, record), append(p.at, time.Now())
	p.bytes += len(record)
	n := 0
	for left := p.bytes; left > partBytes; n++ {
		left -= len(p.records[n])
	}
	if n > 0 {
		p.drop(n)
	}
}

// total returns the size of all records.
func (s *store) total() int {
	n := 0
	for _, p := range s.parts {
		n += p.bytes
	}
	return n
}

// queue waits for the turn of an append and for the time that it takes. It returns false if too
// much is waiting already; otherwise done must be called after the append.
func (s *store) queue(name string, bytes int) (done func(), ok bool) {
	takes := appendTime + time.Duration(float64(bytes)/appendRate*float64(time.Second))
	s.mu.Lock()
	p := s.part(name)
	if p.queued > longestQueue {
		s.mu.Unlock()
		return nil, false
	}
	p.queued += takes
	s.mu.Unlock()
	p.appends.Lock()
	time.Sleep(takes)
	return func() {
		s.mu.Lock()
		p.queued -= takes
		s.mu.Unlock()
		p.appends.Unlock()
	}, true
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func partName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func reply(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}

// put writes a record of a keyed topic, as the operator and the servers do.
func (s *store) put(topic, key string, doc any) {
	value, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	if doc == nil {
		value = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic+"/0").add(true, append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || len(body) < 4+n {
			return nil, false
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(body)
	q := r.URL.Query()
	topic := q.Get("topic")
	if !ok || len(body) > callBytes {
		reply(w, http.StatusBadRequest, map[string]any{"why": "size"})
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{"why": "topic"})
		return
	}
	done, ok := s.queue(partName(r), len(body))
	if !ok {
		reply(w, http.StatusServiceUnavailable, map[string]any{"why": "queue"})
		return
	}
	defer done()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total()+len(body) > totalBytes {
		reply(w, http.StatusInsufficientStorage, map[string]any{"why": "full"})
		return
	}
	p := s.part(partName(r))
	if at, err := strconv.ParseUint(q.Get("at"), 10, 64); q.Has("at") && (err != nil || at != p.end()) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	if !q.Has("producer") {
		s.addAll(p, topic, records)
		reply(w, http.StatusOK, map[string]any{"offset": p.end() - uint64(len(records)), "end": p.end()})
		return
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	pr := p.writers[q.Get("producer")]
	if pr == nil {
		pr = &writer{epoch: epoch, seq: seq - 1}
		p.writers[q.Get("producer")] = pr
	}
	switch {
	case epoch < pr.epoch:
		reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	case epoch > pr.epoch:
		*pr = writer{epoch: epoch, seq: seq - 1}
	}
	for _, a := range pr.last {
		if a.seq == seq {
			reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
			return
		}
	}
	if seq != pr.seq+1 {
		reply(w, http.StatusConflict, map[string]any{"why": "seq", "expected": pr.seq + 1})
		return
	}
	offset := p.end()
	s.addAll(p, topic, records)
	pr.seq = seq
	if pr.last = append(pr.last, appended{seq, offset, p.end()}); len(pr.last) > repeats {
		pr.last = pr.last[1:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func (s *store) addAll(p *partition, topic string, records [][]byte) {
	for _, r := range records {
		p.add(strings.HasPrefix(topic, "keyed."), r)
	}
	s.wake()
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil || limit > maxReadKB {
		limit = maxReadKB
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		p, changed := s.part(partName(r)), s.changed
		if from < p.first {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": p.first})
			return
		}
		if from < p.end() || expired {
			out := binary.BigEndian.AppendUint64(nil, p.end())
			out = binary.BigEndian.AppendUint64(out, p.first)
			for i := from - p.first; i < uint64(len(p.records)); i++ {
				if i > from-p.first && len(out)+4+len(p.records[i]) > limit<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
				out = append(out, p.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
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
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(partName(r))
	items := []item{}
	for key, k := range p.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, k.value, k.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(items) && n < newestPage {
		if size += len(items[n].Value); n > 0 && size > 1<<20 {
			break
		}
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "more": n < len(items), "end": p.end()})
}

func (s *store) trim(w http.ResponseWriter, r *http.Request) {
	before, _ := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(partName(r))
	if before > p.first {
		p.drop(int(min(before, p.end()) - p.first))
	}
	reply(w, http.StatusOK, map[string]any{})
}
