package chivewire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// endIfEmpty makes a listener's socket listen no more if no connection waits at it to be accepted; it returns false if some do. Nothing else
// comes between the look and the end, as it would with the listener's Close, which leaves the end to the goroutine that accepts. A listener
// that is no open TCP socket, as in a network in memory, has none waiting.
func endIfEmpty(listener net.Listener) bool {
	isEmpty := true
	control(listener, func(fd int) {
		if isEmpty = queueLength(fd) == 0; isEmpty {
			// The only possible error is that the socket no longer listens.
			_ = unix.Shutdown(fd, unix.SHUT_RD)
		}
	})
	return isEmpty
}

// unaccepted returns the number of connections that wait at a listener to be accepted.
func unaccepted(listener net.Listener) (waiting int) {
	control(listener, func(fd int) { waiting = queueLength(fd) })
	return waiting
}

// queueLength returns the number of connections that wait at a listening socket to be accepted, by the kernel's account.
func queueLength(fd int) int {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	// Of a listening socket, the kernel states the length of its queue in the place of unacknowledged segments.
	return int(info.Unacked)
}

// control calls a function with a listener's socket if it has one that is open.
func control(listener net.Listener, call func(fd int)) {
	holder, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return
	}
	// The only possible error is that the listener is closed.
	_ = raw.Control(func(fd uintptr) { call(int(fd)) })
}
