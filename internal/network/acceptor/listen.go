package acceptor

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an address for connections whose receive buffers have a size of their own.
// The system would let each grow to megabytes while nothing is read.
func Listen(ctx context.Context, network, address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, receiveBytes) }}
	l, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// setReceiveBuffer sets the size that the connections of a listening socket take over.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("set the receive buffer: %w", err)
	}
	return nil
}
