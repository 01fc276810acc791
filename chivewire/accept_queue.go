package chivewire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unaccepted returns the number of connections that wait at a listener to be accepted, by the kernel's account; 0 if the listener has no
// such account, as in a network in memory.
func unaccepted(listener net.Listener) int {
	holder, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		// Of a listener, the kernel states the length of its queue in the place of unacknowledged segments.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	if err != nil {
		return 0
	}
	return waiting
}
