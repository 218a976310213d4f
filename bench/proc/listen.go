package proc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"

	"dotterelmount.example/api"
)

// listenPrefix begins the line in which a program prints its listen address.
const listenPrefix = "listening "

// announcement is the JSON line in which a program prints its listen address.
type announcement struct {
	Listening string `json:"listening"` // ip:port
}

// parseListenAddress returns the address announced by a line, or an empty string.
func parseListenAddress(line string) string {
	if address, ok := strings.CutPrefix(line, listenPrefix); ok {
		return strings.TrimSpace(address)
	}
	var a announcement
	if strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &a) == nil {
		return a.Listening
	}
	return ""
}

// listenWriter copies a program's output to out and sends the first announced
// address to address.
type listenWriter struct {
	out          io.Writer
	line         bytes.Buffer
	addressFound bool
	address      chan string
}

func newListenWriter(to io.Writer) *listenWriter {
	return &listenWriter{out: to, address: make(chan string, 1)}
}

// Write implements io.Writer.
func (w *listenWriter) Write(b []byte) (int, error) {
	if !w.addressFound {
		w.scan(b)
	}
	return w.out.Write(b)
}

func (w *listenWriter) scan(b []byte) {
	w.line.Write(b)
	for !w.addressFound {
		line, err := w.line.ReadString('\n')
		if err != nil {
			w.line.WriteString(line) // keep the incomplete line until the rest is written
			return
		}
		if address := parseListenAddress(line); address != "" {
			w.addressFound = true
			w.address <- address
		}
	}
}

// Ports are taken from below the system's ephemeral range, which serves outgoing
// connections and listeners on port 0, so that a port stays free while its program
// restarts.
const (
	firstPort = 12_000
	portCount = 20_000
	portStep  = 64 // between the first ports tried by processes with adjacent ids
)

// FreeAddresses returns n different loopback addresses (ip:port) whose ports were
// free when checked. Each process starts its search at another port, so that
// concurrent programs rarely pick the same ones. Errors: CodeInternal if too few
// ports are free.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	start := os.Getpid() * portStep
	for i := range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		// Never try a port twice: one returned before may not be in use yet.
		port := firstPort + (start+int(portsTried.Add(1)))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		if err := l.Close(); err != nil {
			return nil, fmt.Errorf("close listener after %d ports tried: %w", i, err)
		}
	}
	return nil, api.Errorf(api.CodeInternal, "too few free ports among %d", portCount)
}

// portsTried counts the ports tried by this process.
var portsTried atomic.Int64
