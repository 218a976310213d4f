// Package sockets sets options of TCP sockets that the standard library has
// no field for.
package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent data may stay unacknowledged before the
// connection fails, in milliseconds: several round trips and retransmissions
// between data centres.
const userTimeoutMillis = 1500

// SetUserTimeout makes a connection fail when its peer stops acknowledging data.
// It fits net.Dialer.Control and net.ListenConfig.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return failed
}
