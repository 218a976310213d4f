package proc

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
)

// listenPrefix begins the line by which a program says where it serves.
const listenPrefix = "listening "

// listenWriter copies a program's output and finds the address it listens on.
type listenWriter struct {
	to      io.Writer
	line    bytes.Buffer
	found   bool
	address chan string
}

func newListenWriter(to io.Writer) *listenWriter {
	return &listenWriter{to: to, address: make(chan string, 1)}
}

// Write implements io.Writer.
func (w *listenWriter) Write(b []byte) (int, error) {
	if !w.found {
		w.scan(b)
	}
	return w.to.Write(b)
}

func (w *listenWriter) scan(b []byte) {
	w.line.Write(b)
	for !w.found {
		line, err := w.line.ReadString('\n')
		if err != nil {
			w.line.WriteString(line) // an unfinished line waits for its rest
			return
		}
		if address, ok := strings.CutPrefix(line, listenPrefix); ok {
			w.found = true
			w.address <- strings.TrimSpace(address)
		}
	}
}

// FreeAddresses returns n different loopback addresses whose ports were free
// just now. Errors: those of net.Listen.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		// Held until all are taken, so that none comes twice.
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
