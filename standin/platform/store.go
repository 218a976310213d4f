// Package platform is a stand-in for the users' platform, so that tests need
// neither the platform nor its test bench. It has the metadata store, servers that
// register there, and a client of daemons; it follows the platform's
// published documentation.
package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	maxPageKB         = 1024                   // of a read
	lateDelay         = 2 * time.Second        // the platform documents 1 to 6 s
	slowResponseDelay = 150 * time.Millisecond // about 40 times the usual response time
)

// Mode selects the fault that the store injects into calls.
type Mode int

// The modes of the store.
const (
	ModeUp     Mode = iota // no fault
	ModeBusy               // responds with 503 and does nothing
	ModeSilent             // does nothing and never responds
	ModeLossy              // appends, then closes the connection without a response
	ModeLate               // closes the connection without a response and appends later
	ModeSlow               // delays calls by slowResponseDelay
)

// Store is the metadata store. It is safe for concurrent use.
type Store struct {
	*httptest.Server
	// MaxBodyBytes is the limit of requests' bodies in configurations.
	MaxBodyBytes int
	// MaxHeaderBytes is the limit of requests' heads in configurations; zero: none.
	MaxHeaderBytes int
	mu             sync.Mutex
	changed        chan struct{} // closed and replaced on each change
	mode           Mode
	partitions     map[string]*partition
	closing        chan struct{}
}

// partition is one partition of a topic.
type partition struct {
	firstOffset   int // of records[0]
	records       [][]byte
	appendedAt    []time.Time          // of each of records
	producers     map[string]*producer // by name
	newestOffsets map[string]int       // offset of the newest record of a key
}

// producer records the last append of a producer, to detect that it is repeated.
type producer struct {
	epoch, seq uint64 // of the last append
	offset     int    // of the last append
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{MaxBodyBytes: defaultMaxBodyBytes, changed: make(chan struct{}), partitions: make(map[string]*partition), closing: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	s.Server = httptest.NewServer(s.applyMode(mux))
	return s
}

// Close closes the store and its connections.
func (s *Store) Close() {
	close(s.closing)
	s.CloseClientConnections()
	s.Server.Close()
}

// Address returns the store's ip:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// SetMode changes the fault injected, also into reads that are waiting.
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

// runLater runs a call after lateDelay, when its caller has received an error.
func (s *Store) runLater(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected
	}
	copied := r.Clone(context.WithoutCancel(r.Context()))
	copied.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateDelay, func() { next.ServeHTTP(httptest.NewRecorder(), copied) })
}

// hang blocks until the caller disconnects or the store closes.
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

// partitionName returns "topic/part" from the query parameters.
func partitionName(r *http.Request) string {
	q := r.URL.Query()
	return q.Get("topic") + "/" + q.Get("part")
}

// Put appends a record to a keyed topic, as the operator and the servers do. A nil
// value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	p.newestOffsets[key] = p.firstOffset + len(p.records)
	if value == nil {
		delete(p.newestOffsets, key)
	}
	p.add(append(append([]byte{byte(len(key))}, key...), value...))
	s.notifyReaders()
}

// PutJSON is Put with a value encoded as JSON.
func (s *Store) PutJSON(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // a bug in the calling test
	}
	s.Put(topic, key, data)
}

// Compact compacts the topics of the operator and of the servers.
func (s *Store) Compact() {
	s.CompactTopic(operatorTopic)
	s.CompactTopic(serversTopic)
}

// CompactTopic deletes all records of a topic except the newest one of each key. The
// records kept get new offsets, from the previous end of the topic on.
func (s *Store) CompactTopic(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	keep := make(map[string][]byte, len(p.newestOffsets))
	for key, offset := range p.newestOffsets {
		keep[key] = p.records[offset-p.firstOffset]
	}
	p.firstOffset += len(p.records)
	p.records, p.appendedAt = nil, nil
	for key, record := range keep {
		p.newestOffsets[key] = p.firstOffset + len(p.records)
		p.add(record)
	}
	s.notifyReaders()
}

// append appends the records of a body, each with a length prefix of 4 bytes. A
// repeat of the producer's last append changes nothing.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected
	}
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionName(r))
	last, known := p.producers[q.Get("producer")] // appends without a producer are not recorded
	end := p.firstOffset + len(p.records)
	switch {
	case q.Has("at") && q.Get("at") != strconv.Itoa(end):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"why": "at", "end": end})
		return
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
	offset := p.firstOffset + len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if strings.HasPrefix(q.Get("topic"), "keyed.") {
			p.noteKey(body[4 : 4+n])
		}
		p.add(body[4 : 4+n])
		body = body[4+n:]
	}
	if q.Has("producer") {
		p.producers[q.Get("producer")] = &producer{epoch: epoch, seq: seq, offset: offset}
	}
	s.notifyReaders()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": p.firstOffset + len(p.records)})
}

// noteKey notes that the next record of a keyed topic is the newest one of its key. Without
// a value, it deletes the key.
func (p *partition) noteKey(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	if len(record) == 1+len(key) {
		delete(p.newestOffsets, key)
		return
	}
	p.newestOffsets[key] = p.firstOffset + len(p.records)
}

// Expire deletes the records of partition 0 of a topic that is not keyed that are older
// than age, as its retention does.
func (s *Store) Expire(topic string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	n := 0
	for n < len(p.records) && time.Since(p.appendedAt[n]) >= age {
		n++
	}
	p.firstOffset += n
	p.records, p.appendedAt = slices.Clone(p.records[n:]), slices.Clone(p.appendedAt[n:])
	s.notifyReaders()
}

func (p *partition) add(record []byte) {
	p.records, p.appendedAt = append(p.records, record), append(p.appendedAt, time.Now())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

// read responds with the records from an offset on. If there are none, it waits
// for up to wait_ms.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil || maxKB > maxPageKB {
		maxKB = maxPageKB
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
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
		if from < p.firstOffset+len(p.records) || expired {
			page := p.encodePage(from, maxKB<<10)
			s.mu.Unlock()
			_, _ = w.Write(page) // the caller may have disconnected
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-s.closing:
			return
		}
	}
}

// encodePage returns the end offset, the first offset, and the records from an
// offset on, each with its length, up to a size in bytes but at least one.
func (p *partition) encodePage(from, maxBytes int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(p.firstOffset+len(p.records)))
	out = binary.BigEndian.AppendUint64(out, uint64(p.firstOffset))
	const framing = 4 // bytes of a record's length
	for i := from - p.firstOffset; i < len(p.records); i++ {
		if i > from-p.firstOffset && len(out)+framing+len(p.records[i]) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	return out
}

// newest responds with the newest record of each key of a partition.
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
	for key, offset := range p.newestOffsets {
		record := p.records[offset-p.firstOffset]
		items = append(items, item{Key: key, Value: record[1+len(key):], Offset: offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": p.firstOffset + len(p.records)})
}

// RecordCount returns the number of records in partition 0 of a topic.
func (s *Store) RecordCount(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partition(topic + "/0").records)
}
