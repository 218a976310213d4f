// Package serve has what the stand-in programs share: an HTTP server that prints
// its address, and helpers to read and write JSON bodies.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	maxBodyBytes      = 64 << 20
	readHeaderTimeout = 10 * time.Second
)

// Run listens on address (ip:port; port 0 takes a free one), prints one line
// "listening ip:port" to out and serves until ctx ends or the process receives
// SIGINT or SIGTERM. It returns nil then. Errors: those of the listener and of out.
func Run(ctx context.Context, address string, h http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if _, err := fmt.Fprintf(out, "listening %s\n", listener.Addr()); err != nil {
		return err
	}
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"` // for people
}

// WriteJSON responds with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError responds with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// DecodeJSON decodes the body into v. If the body is malformed, it responds with
// 400 and returns false.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(v); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return false
	}
	return true
}
