package acceptor

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers is what the system keeps for connections before the process reads them.
type Buffers struct {
	// ReceiveBytes is the size of a connection's receive buffer.
	ReceiveBytes int
	// Waiting is how many connections may be open that were not accepted yet.
	Waiting int
}

// Listen listens on an address. Without bounds the system would let each receive buffer grow to
// megabytes while nothing is read, and open thousands of connections ahead of the process.
func Listen(ctx context.Context, network, address string, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, b.ReceiveBytes) }}
	l, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if err := boundWaiting(l, b.Waiting); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// boundWaiting bounds the connections that wait to be accepted. To listen once more changes only that.
func boundWaiting(l net.Listener, count int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the listening socket: %w", err)
	}
	return control(raw, "bound the waiting connections", func(fd int) error { return unix.Listen(fd, count) })
}

// setReceiveBuffer sets the size that the connections of a listening socket take over.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	return control(raw, "set the receive buffer", func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

// control calls do with the descriptor of a socket.
func control(raw syscall.RawConn, what string, do func(fd int) error) error {
	var failure error
	err := raw.Control(func(fd uintptr) { failure = do(int(fd)) })
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}
