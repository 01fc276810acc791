package chivestand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// distantReceiveBytes and distantSegmentBytes are those of a connection between machines. Loopback takes a whole upload at once.
	distantReceiveBytes = 32 << 10
	distantSegmentBytes = 1400
)

// ListenDistant listens on loopback with buffers and segments as between machines.
func ListenDistant() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) { failed = limitSocket(int(fd)) }); err != nil {
			return fmt.Errorf("socket: %w", err)
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// limitSocket limits what the peer of a socket can send at once.
func limitSocket(fd int) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, distantReceiveBytes); err != nil {
		return fmt.Errorf("receive buffer: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_MAXSEG, distantSegmentBytes); err != nil {
		return fmt.Errorf("segment size: %w", err)
	}
	return nil
}

// AwaitUnread waits until a connection has received bytes that were not read, so that the kernel resets it if it is closed.
func AwaitUnread(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("await bytes: %w", err)
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK)
		return !errors.Is(peekErr, unix.EAGAIN)
	})
	return errors.Join(err, peekErr)
}
