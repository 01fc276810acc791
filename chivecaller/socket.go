package chivecaller

import (
	"net"
	"syscall"
)

// socket looks at what a caller has sent without taking it.
type socket struct {
	raw syscall.RawConn
}

// newSocket returns the socket of a connection, or nil if it has none, as in a network in memory.
func newSocket(conn net.Conn) *socket {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return nil
	}
	return &socket{raw}
}

// hasBytes reports whether bytes wait that have not been taken.
func (s *socket) hasBytes() bool {
	if s == nil {
		return false
	}
	n := 0
	err := s.raw.Control(func(fd uintptr) {
		var probe [1]byte
		n = peek(fd, probe[:])
	})
	return err == nil && n > 0
}

// peek copies bytes that wait, without taking them, and returns their number; it returns 0 at the end of the connection and a negative
// number if there is none yet or an error.
func peek(fd uintptr, buffer []byte) int {
	for {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return -1
		}
		return n
	}
}
