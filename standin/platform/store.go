// Package platform is a small stand-in of the users' platform, written from
// its published pages, so that tests need neither the platform nor its bench:
// the metadata store, and servers that register there.
package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	lateDelay         = 2 * time.Second        // within the 1 to 6 s that the platform names
	slowResponseDelay = 150 * time.Millisecond // some forty times a healthy answer
)

// Mode is how the store treats calls.
type Mode int

// The modes of the store.
const (
	ModeUp     Mode = iota
	ModeBusy        // answers 503 and does nothing
	ModeSilent      // answers nothing
	ModeLossy       // carries appends out and loses their answers
	ModeLate        // carries appends out only after a while and answers nothing
	ModeSlow        // answers after a pause
)

// Store is the metadata store. It may be used from any thread.
type Store struct {
	*httptest.Server
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	mode       Mode
	partitions map[string]*partition
	closing    chan struct{}
}

// partition holds records from offset first on.
type partition struct {
	firstOffset   int
	records       [][]byte
	producers     map[string]*producer
	newestOffsets map[string]int // offset of the newest record of a key
}

type producer struct {
	epoch, seq uint64
	offset     int // of its last append
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), partitions: make(map[string]*partition), closing: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	s.Server = httptest.NewServer(s.applyMode(mux))
	return s
}

// Close ends the store.
func (s *Store) Close() {
	close(s.closing)
	s.CloseClientConnections()
	s.Server.Close()
}

// Address returns the store's ip:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// SetMode changes how calls are treated, also those that wait.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyReaders()
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

func (s *Store) applyMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.currentMode() {
		case ModeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case ModeSilent:
			s.hang(r)
		case ModeLossy:
			if r.Method == http.MethodPost {
				next.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		case ModeLate:
			if r.Method == http.MethodPost {
				s.runLater(next, r)
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		case ModeSlow:
			duty.Sleep(r.Context(), slowResponseDelay)
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// runLater carries a call out after its caller has given it up.
func (s *Store) runLater(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left
	}
	again := r.Clone(context.WithoutCancel(r.Context()))
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateDelay, func() { next.ServeHTTP(httptest.NewRecorder(), again) })
}

func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) partition(name string) *partition {
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{producers: make(map[string]*producer), newestOffsets: make(map[string]int)}
		s.partitions[name] = p
	}
	return p
}

func partitionName(r *http.Request) string {
	q := r.URL.Query()
	return q.Get("topic") + "/" + q.Get("part")
}

// Put writes a record of a keyed topic, as the operator and the servers do. A
// nil value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	p.newestOffsets[key] = p.firstOffset + len(p.records)
	if value == nil {
		delete(p.newestOffsets, key)
	}
	p.records = append(p.records, append(append([]byte{byte(len(key))}, key...), value...))
	s.notifyReaders()
}

// PutJSON writes a value as JSON.
func (s *Store) PutJSON(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // a test's own mistake
	}
	s.Put(topic, key, data)
}

// Compact deletes the history of what the operator and the servers wrote; the
// newest record of each key stays.
func (s *Store) Compact() {
	s.CompactTopic(operatorTopic)
	s.CompactTopic(serversTopic)
}

// CompactTopic deletes the records of a topic, but for the newest of each key.
func (s *Store) CompactTopic(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	keep := make(map[string][]byte, len(p.newestOffsets))
	for key, at := range p.newestOffsets {
		keep[key] = p.records[at-p.firstOffset]
	}
	p.firstOffset += len(p.records)
	p.records = nil
	for key, r := range keep {
		p.newestOffsets[key] = p.firstOffset + len(p.records)
		p.records = append(p.records, r)
	}
	s.notifyReaders()
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left
	}
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionName(r))
	last, known := p.producers[q.Get("producer")]
	switch {
	case known && epoch == last.epoch && seq == last.seq:
		writeJSON(w, http.StatusOK, map[string]any{"offset": last.offset, "end": p.firstOffset + len(p.records)})
		return
	case known && epoch < last.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	case known && epoch == last.epoch && seq != last.seq+1:
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "expected": last.seq + 1})
		return
	}
	at := p.firstOffset + len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.records = append(p.records, body[4:4+n])
		body = body[4+n:]
	}
	p.producers[q.Get("producer")] = &producer{epoch: epoch, seq: seq, offset: at}
	s.notifyReaders()
	writeJSON(w, http.StatusOK, map[string]any{"offset": at, "end": p.firstOffset + len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for over := false; ; {
		s.mu.Lock()
		p, changed := s.partition(partitionName(r)), s.changed
		if s.mode == ModeSilent {
			s.mu.Unlock()
			s.hang(r)
		}
		if from < p.firstOffset {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": p.firstOffset})
			return
		}
		if from < p.firstOffset+len(p.records) || over {
			page := p.encodePage(from)
			s.mu.Unlock()
			_, _ = w.Write(page) // the caller may have left
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-s.closing:
			return
		}
	}
}

func (p *partition) encodePage(from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(p.firstOffset+len(p.records)))
	out = binary.BigEndian.AppendUint64(out, uint64(p.firstOffset))
	for i := from - p.firstOffset; i < len(p.records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	return out
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	p := s.partition(partitionName(r))
	items := []item{}
	for key, at := range p.newestOffsets {
		record := p.records[at-p.firstOffset]
		items = append(items, item{Key: key, Value: record[1+len(key):], Offset: at})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": p.firstOffset + len(p.records)})
}

// RecordCount returns the number of records in a partition.
func (s *Store) RecordCount(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partition(topic + "/0").records)
}
