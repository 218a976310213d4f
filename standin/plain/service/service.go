package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/standin/journal"
)

// HeaderRequestID carries the request id by which executions are counted.
const HeaderRequestID = "X-Request-Id"

// PathSlips is the path of the call of which each execution issues a lending slip
// with a new number.
const PathSlips = "/slips"

const (
	maxBodyBytes      = 4 << 20
	defaultSlowFactor = 10 // multiple of the service time in mode slow
)

// Mode selects the fault that the service injects into calls.
type Mode string

// The modes of the service.
const (
	ModeNormal Mode = "normal" // no fault
	ModeSlow   Mode = "slow"   // multiplies the service time
	ModeHang   Mode = "hang"   // runs the call and never responds
	ModeCrash  Mode = "crash"  // runs the call and ends the process
	ModeRefuse Mode = "refuse" // responds with 503 without running the call
	ModeCut    Mode = "cut"    // runs the call and truncates the response
)

// Control is the body of POST /control.
type Control struct {
	Mode   Mode    `json:"mode"`
	Factor float64 `json:"factor"` // multiple of the service time in mode slow; zero: 10
}

// Response is the body of a successful response.
type Response struct {
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256"`
	Executions int    `json:"executions"`     // of this request id and body so far
	Slip       uint64 `json:"slip,omitempty"` // number of the lending slip issued
}

// Service is the HTTP service. It is safe for concurrent use.
type Service struct {
	journal     *Journal
	serviceTime time.Duration
	crash       func()
	journalFile *journal.File
	control     atomic.Pointer[Control]
}

// New returns a service whose calls take serviceTime. crash must end the process.
// The start and the end of each call are written to file, which may be nil.
func New(serviceTime time.Duration, crash func(), file *journal.File) *Service {
	s := &Service{journal: NewJournal(), serviceTime: serviceTime, crash: crash, journalFile: file}
	s.control.Store(&Control{Mode: ModeNormal})
	return s
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.setControl)
	mux.HandleFunc("GET /journal", s.getJournal)
	mux.HandleFunc("POST /", s.handleCall)
	return mux
}

func (s *Service) setControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.control.Store(&c)
	writeJSON(w, c)
}

// validate checks the mode and the factor and sets the factor's default. Errors:
// CodeInvalid.
func (c *Control) validate() error {
	switch c.Mode {
	case ModeNormal, ModeSlow, ModeHang, ModeCrash, ModeRefuse, ModeCut:
	default:
		return api.Errorf(api.CodeInvalid, "mode %q; allowed: normal, slow, hang, crash, refuse, cut", c.Mode)
	}
	if c.Factor < 0 {
		return api.Errorf(api.CodeInvalid, "factor %g; allowed: 0 and above", c.Factor)
	}
	if c.Factor == 0 {
		c.Factor = defaultSlowFactor
	}
	return nil
}

func (s *Service) getJournal(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.journal.Executions())
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	control := s.control.Load()
	if control.Mode == ModeRefuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		// A call with an incomplete body is not run.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(body)
	id := r.Header.Get(HeaderRequestID)
	hash := hex.EncodeToString(sum[:])
	s.journalFile.Write(journal.Line{Event: journal.EventStart, RequestID: id, BodySHA256: hash})
	defer s.journalFile.Write(journal.Line{Event: journal.EventEnd, RequestID: id, BodySHA256: hash})
	execution, count := s.journal.Record(id, r.URL.Path, hash, r.URL.Path == PathSlips)
	response := Response{RequestID: id, BodySHA256: execution.BodySHA256, Executions: count, Slip: execution.Slip}
	s.respond(w, r, control, response)
}

// respond ends a call that was run: with the response, or with the fault that the
// mode selects.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, control *Control, response Response) {
	switch control.Mode {
	case ModeCrash:
		s.crash()
	case ModeHang:
		<-r.Context().Done()
	case ModeCut:
		writeCutResponse(w, response)
	case ModeSlow:
		sleep(r, time.Duration(float64(s.serviceTime)*control.Factor))
		writeJSON(w, response)
	default:
		sleep(r, s.serviceTime)
		writeJSON(w, response)
	}
}

// sleep waits for d or until the caller disconnects.
func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// writeCutResponse sends half of the response and closes the connection.
func writeCutResponse(w http.ResponseWriter, response Response) {
	data, err := json.Marshal(response)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write truncates the response as well.
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
