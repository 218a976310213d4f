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

// listenPrefix begins the line by which a program says where it serves.
const listenPrefix = "listening "

// announcement is the structured line by which a program says where it serves.
type announcement struct {
	Listening string `json:"listening"` // ip:port
}

// parseListenAddress returns the address that a line names, or the empty string.
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

// listenWriter copies a program's output and finds the address it listens on.
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
			w.line.WriteString(line) // an unfinished line waits for its rest
			return
		}
		if address := parseListenAddress(line); address != "" {
			w.addressFound = true
			w.address <- address
		}
	}
}

// Ports are taken from below the range that systems give to outgoing
// connections and to listeners without a port of their own, so that a port stays
// free while its program is restarted.
const (
	firstPort = 12_000
	portCount = 20_000
	portStep  = 64 // between the first ports of neighbouring process ids
)

// FreeAddresses returns n different loopback addresses whose ports were free
// just now. Programs that run at the same time start their search at different
// ports. Errors: CodeInternal when no more ports are free.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	start := os.Getpid() * portStep
	for i := range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		// The ports given out before are passed over also when nobody listens yet.
		port := firstPort + (start+int(portsTried.Add(1)))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		if err := l.Close(); err != nil {
			return nil, fmt.Errorf("free port after %d tries: %w", i, err)
		}
	}
	return nil, api.Errorf(api.CodeInternal, "no free port among %d", portCount)
}

// portsTried counts the ports looked at by this process.
var portsTried atomic.Int64
