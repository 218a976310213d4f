package cases

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It
// answers each call after answerTime.
type store struct {
	address string
	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each change
	parts   map[string]*partition
	// trouble, if set, is asked about each call. If it returns true, it has answered.
	trouble func(w http.ResponseWriter, r *http.Request) bool
}

const answerTime = 4 * time.Millisecond // of the deployments' sheets

type partition struct {
	records   [][]byte
	producers map[string]*producer
	newest    map[string]int // offset of the newest record of a key
}

type producer struct {
	epoch, seq uint64
	answers    map[uint64]int // offsets of the last five appends
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), parts: make(map[string]*partition)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newestOf)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		trouble := s.trouble
		s.mu.Unlock()
		if trouble != nil && trouble(w, r) {
			return
		}
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	}))
	return s
}

func (s *store) setTrouble(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = f
}

func (s *store) partition(name string) *partition {
	p, ok := s.parts[name]
	if !ok {
		p = &partition{producers: make(map[string]*producer), newest: make(map[string]int)}
		s.parts[name] = p
	}
	return p
}

func nameOf(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func (p *partition) add(topic string, record []byte) {
	if strings.HasPrefix(topic, "keyed.") {
		key := string(record[1 : 1+int(record[0])])
		if len(record) == 1+len(key) {
			delete(p.newest, key)
		} else {
			p.newest[key] = len(p.records)
		}
	}
	p.records = append(p.records, record)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record to a keyed topic, as the operator and the servers do.
func (s *store) put(topic, key string, v any) {
	record := append([]byte{byte(len(key))}, key...)
	if v != nil {
		data, _ := json.Marshal(v)
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic+"/0").add(topic, record)
	s.notify()
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(nameOf(r))
	end := len(p.records)
	if q.Has("at") && q.Get("at") != strconv.Itoa(end) {
		answerJSON(w, 412, map[string]any{"why": "at", "end": end})
		return
	}
	name := q.Get("producer")
	last := p.producers[name]
	if name != "" && last != nil {
		offset, repeated := last.answers[seq]
		switch {
		case epoch < last.epoch:
			answerJSON(w, 409, map[string]any{"why": "fenced"})
			return
		case epoch == last.epoch && repeated:
			answerJSON(w, 200, map[string]any{"offset": offset, "end": end})
			return
		case epoch == last.epoch && seq != last.seq+1:
			answerJSON(w, 409, map[string]any{"why": "seq", "expected": last.seq + 1})
			return
		}
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.add(q.Get("topic"), body[4:4+n])
		body = body[4+n:]
	}
	if name != "" {
		if last == nil || last.epoch != epoch {
			last = &producer{epoch: epoch, answers: make(map[uint64]int)}
			p.producers[name] = last
		}
		last.seq, last.answers[seq] = seq, end
		delete(last.answers, seq-5)
	}
	s.notify()
	answerJSON(w, 200, map[string]any{"offset": end, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	kb, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil || kb > 1024 {
		kb = 1024
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		p, changed := s.partition(nameOf(r)), s.changed
		if from < len(p.records) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(p.records); i++ {
				if i > from && len(out)+4+len(p.records[i]) > kb<<10 {
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

func (s *store) newestOf(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(nameOf(r))
	after := r.URL.Query().Get("after")
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": p.records[p.newest[k]][1+len(k):], "offset": p.newest[k]})
	}
	answerJSON(w, 200, map[string]any{"items": items, "more": more, "end": len(p.records)})
}
