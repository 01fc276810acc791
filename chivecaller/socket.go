package chivecaller

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket reads from a TCP connection only what belongs to the current request: it looks at what has come before it takes a part. One
// goroutine at a time reads.
type socket struct {
	conn *net.TCPConn
	raw  syscall.RawConn
	// take returns how many of the bytes that wait are taken: none, so that the read waits on, or takeNone, which ends it.
	take func(waiting []byte) int
	// attempt is tryRead; buffer is that of the current read, n and err are its results.
	attempt func(fd uintptr) bool
	buffer  []byte
	n       int
	err     error
}

// errGivenUp means that a read ended since nothing more is to be taken.
var errGivenUp = errors.New("connection is closed for further requests")

// takeNone is returned by functions that end a read without a byte.
const takeNone = -1

// newSocket returns the socket of a connection, or nil if it is not a TCP connection, as in a network in memory.
func newSocket(conn net.Conn, take func(waiting []byte) int) *socket {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	s := &socket{conn: tcp, raw: raw, take: take}
	s.attempt = s.tryRead
	return s
}

// read waits for bytes and takes a part of them. It ends without a byte with errGivenUp, at the end of the connection and at its read
// deadline.
func (s *socket) read(buffer []byte) (int, error) {
	s.buffer, s.n, s.err = buffer, 0, nil
	err := s.raw.Read(s.attempt)
	s.buffer = nil
	if err == nil {
		return s.n, s.err
	}
	var failed *net.OpError
	if errors.As(err, &failed) {
		failed.Op = "read"
	}
	return 0, err //nolint:wrapcheck // a connection returns the errors of the one below
}

// tryRead reads once; it returns false if the read goes on when something comes.
func (s *socket) tryRead(fd uintptr) bool {
	n, err := peek(fd, s.buffer)
	if errors.Is(err, syscall.EAGAIN) {
		return false
	}
	if err == nil && n > 0 {
		size := s.take(s.buffer[:n])
		if size == 0 {
			return s.isReset(fd)
		}
		if size == takeNone {
			s.err = errGivenUp
			return true
		}
		n, err = syscall.Read(int(fd), s.buffer[:size])
	}
	s.n = n
	if err != nil {
		s.n, s.err = 0, s.failure(err)
	} else if n == 0 {
		s.err = io.EOF
	}
	return true
}

// isReset reports whether the caller has reset the connection, whose bytes stay.
func (s *socket) isReset(fd uintptr) bool {
	if stateOf(fd) != tcpClosed {
		return false
	}
	s.err = s.failure(syscall.ECONNRESET)
	return true
}

func (s *socket) failure(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: s.conn.LocalAddr(), Addr: s.conn.RemoteAddr(), Err: os.NewSyscallError("recvfrom", err)}
}

// waiting copies bytes that wait without taking them, and returns their number. It may be called at any time.
func (s *socket) waiting(buffer []byte) (n int) {
	if s == nil {
		return 0
	}
	err := s.raw.Control(func(fd uintptr) {
		var err error
		if n, err = peek(fd, buffer); err != nil {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// hasBytes reports whether bytes wait.
func (s *socket) hasBytes() bool {
	if s == nil {
		return false
	}
	var probe [1]byte
	return s.waiting(probe[:]) > 0
}

// unread returns the number of bytes that wait.
func (s *socket) unread() (n int) {
	if s == nil {
		return 0
	}
	// An error means that the connection has been closed.
	_ = s.raw.Control(func(fd uintptr) {
		if waiting, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = waiting
		}
	})
	return n
}

// tcpState is a state of the TCP protocol as the kernel numbers it.
type tcpState int

const (
	tcpFinWait1 tcpState = 4
	tcpFinWait2 tcpState = 5
	tcpClosed   tcpState = 7
	tcpLastAck  tcpState = 9
	tcpClosing  tcpState = 11
	// tcpStateMask selects the state in the first bytes of the kernel's description of a connection.
	tcpStateMask = 0xff
)

// state returns the state of the connection.
func (s *socket) state() tcpState {
	state := tcpClosed
	if s.raw.Control(func(fd uintptr) { state = stateOf(fd) }) != nil {
		return tcpClosed
	}
	return state
}

func stateOf(fd uintptr) tcpState {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return tcpClosed
	}
	return tcpState(info & tcpStateMask)
}

// peek copies bytes that wait without taking them; it does not wait.
func peek(fd uintptr, buffer []byte) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err //nolint:wrapcheck // the caller needs the number of the error
		}
	}
}
