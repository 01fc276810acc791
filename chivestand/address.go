package chivestand

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort  = 20000
	pidBits    = 7
	pidMask    = 1<<pidBits - 1
	portsAPart = 10000
)

var portsUsed atomic.Int64

// FreeAddress returns a loopback IP:port that nobody else uses: an address of the loopback range for each process, and
// a new port for each call.
//
// Asking the system for a free port and closing it again is a race: in a run with many connections the port was
// given to an outgoing connection before the node listened on it ("address already in use").
//
// Systems other than Linux serve only 127.0.0.1 without further ado; there the port alone tells the processes apart.
func FreeAddress() string {
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", 1+pid>>(2*pidBits)&pidMask, 1+pid>>pidBits&pidMask, 1+pid&pidMask)
	for {
		port := firstPort + portsUsed.Add(1)%portsAPart
		for _, ip := range []string{own, "127.0.0.1"} {
			address := fmt.Sprintf("%s:%d", ip, port)
			if listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address); err == nil {
				_ = listener.Close()
				return address
			}
		}
	}
}
