// Package sockets sets TCP socket options that the standard library does not
// support.
package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent data may remain unacknowledged before the
// connection fails, in milliseconds. It allows for several round trips and
// retransmissions between data centres.
const userTimeoutMillis = 1500

// SetUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails when its peer
// stops acknowledging data. It can be used as net.Dialer.Control and
// net.ListenConfig.Control. Errors: those of setsockopt and RawConn.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Unacknowledged returns the number of bytes written to a TCP connection that its peer has not
// acknowledged. Errors: those of ioctl, SyscallConn and RawConn.Control.
func Unacknowledged(c syscall.Conn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	bytes, ioctlErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return bytes, ioctlErr
}
