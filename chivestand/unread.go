package chivestand

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

const (
	// connTable is the kernel's table of TCP connections over IPv4.
	connTable = "/proc/net/tcp"
	// localField, remoteField and queuesField are the numbers of its fields.
	localField, remoteField, queuesField = 1, 2, 4
	hexBase, wordBits                    = 16, 64
)

// UnreadBytes returns how many bytes that were sent on a connection over IPv4, on this machine, the process at its other end has not read, by
// the kernel's account; it returns -1 if the other end has been closed.
func UnreadBytes(conn net.Conn) (int, error) {
	near, isTCP := conn.LocalAddr().(*net.TCPAddr)
	far, isFarTCP := conn.RemoteAddr().(*net.TCPAddr)
	if !isTCP || !isFarTCP {
		return 0, fmt.Errorf("unread bytes: %T is no TCP connection", conn)
	}
	table, err := os.Open(connTable)
	if err != nil {
		return 0, fmt.Errorf("unread bytes: %w", err)
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queuesField || fields[localField] != tableAddress(far) || fields[remoteField] != tableAddress(near) {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		count, err := strconv.ParseInt(received, hexBase, wordBits)
		if err != nil {
			return 0, fmt.Errorf("unread bytes: %w", err)
		}
		return int(count), nil
	}
	return -1, nil
}

// tableAddress returns an address as the kernel's table has it, with the bytes of the IP number in the machine's order.
func tableAddress(address *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(address.IP.To4()), address.Port)
}
