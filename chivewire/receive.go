package chivewire

import (
	"net"
	"syscall"
)

const (
	// minReceiveBytes and maxReceiveBytes are the sizes of a connection's receive buffer. With less, a sender whose segments are as large as
	// those of a loopback interface waits for a timer before each.
	minReceiveBytes = 64 << 10
	maxReceiveBytes = 256 << 10
)

// ReceiveBuffers bounds the memory for bytes that connections have received and the process has not read: the more connections are open, the
// smaller are the buffers of new ones. The kernel would let each of them grow to megabytes.
type ReceiveBuffers struct {
	total int64
}

// NewReceiveBuffers returns buffers with a size in bytes that is shared by the open connections.
func NewReceiveBuffers(total int64) *ReceiveBuffers { return &ReceiveBuffers{total: total} }

// Size returns the size of the buffer of a new connection, if so many are open with it, in bytes.
func (b *ReceiveBuffers) Size(open int) int {
	return int(max(minReceiveBytes, min(maxReceiveBytes, b.total/int64(max(open, 1)))))
}

// Bound sets the size of the buffer of a new connection, if so many are open with it. A connection in memory has none.
func (b *ReceiveBuffers) Bound(conn net.Conn, open int) {
	if tcp, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// It fails only on a connection that has been closed.
		_ = tcp.SetReadBuffer(b.Size(open))
	}
}

// BoundListener sets the size of the buffers of connections until they have been accepted, which is the least one since any number may wait.
func (b *ReceiveBuffers) BoundListener(listener net.Listener) {
	control(listener, func(fd int) {
		// A system without the option keeps its own sizes.
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, minReceiveBytes)
	})
}
