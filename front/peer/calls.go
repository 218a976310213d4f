package peer

import (
	"dotterelmount.example/server/intake"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// calls notes the calls in progress on a connection, which must not be closed for others.
type calls struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h calls) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	defer intake.EndCall(transport)
	return h.Handler.HandleRPC(callStream{stream, transport}, rpc)
}

// callStream begins the call once its message has arrived.
type callStream struct {
	drpc.Stream
	transport drpc.Transport
}

// MsgRecv implements drpc.Stream.
func (s callStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(m, enc)
	if err == nil {
		intake.BeginCall(s.transport)
	}
	return err
}
