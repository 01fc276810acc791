package chivewire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a socket that the kernel has closed, in Linux's TCP_INFO.
const tcpClosed = 7

// tcpConn is a TCP connection on which only an end in order is io.EOF. The kernel returns the error of a reset once: if a write that is in
// progress gets it, the next read finds the end of the stream.
type tcpConn struct {
	net.Conn
	raw syscall.RawConn
	// writing is held while data is written, and guards broken.
	writing sync.Mutex
	// broken is the error of the socket that a write got; nil for none.
	broken error
}

// newTCPConn returns the connection of a socket.
func newTCPConn(conn net.Conn) (net.Conn, error) {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return conn, nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connection: %w", err)
	}
	return &tcpConn{Conn: conn, raw: raw}, nil
}

// Write sends data.
func (c *tcpConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	// After an end in order, which may be that of a whole response, writes get EPIPE.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken = err
	}
	return n, err //nolint:wrapcheck // net's errors name the address
}

// Read receives data. The error is io.EOF only if the peer has ended the connection in order.
func (c *tcpConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF after an end in order, else the error that a write got in its place.
func (c *tcpConn) endError() error {
	if !c.isClosed() {
		return io.EOF
	}
	// A write on a socket that is closed returns at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return fmt.Errorf("connection broke: %w", c.broken)
	}
	return io.EOF
}

// isClosed reports whether the kernel has closed the socket, as it does on a reset. After an end in order by the peer it stays half open.
func (c *tcpConn) isClosed() bool {
	isClosed := true
	// The only possible error is that this node has closed the connection.
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err != nil || info.State == tcpClosed
	})
	return isClosed
}
