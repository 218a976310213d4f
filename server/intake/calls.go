package intake

import (
	"net"

	"dotterelmount.example/lib/intake"
)

// Wrap returns a listener whose connections are wrapped by wrap and still known to BeginCall
// and EndCall.
func Wrap(l net.Listener, wrap func(net.Conn) net.Conn) net.Listener {
	return wrappingListener{l, wrap}
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	outer := l.wrap(inner)
	if c, ok := inner.(*Conn); ok {
		return wrappedConn{outer, c}, nil
	}
	return outer, nil
}

type wrappedConn struct {
	net.Conn
	bounded *Conn
}

// BeginCall notes that a call of another daemon has arrived whole on a connection of Wrap.
// Until EndCall, the connection is neither idle nor stalled. It does nothing for other
// transports.
func BeginCall(transport any) { enterCall(transport, intake.Running) }

// EndCall notes that the response to a call was written.
func EndCall(transport any) { enterCall(transport, intake.Waiting) }

func enterCall(transport any, p intake.Phase) {
	if c, ok := transport.(wrappedConn); ok {
		c.bounded.enter(p)
	}
}
