package chivewire_test

import (
	"testing"

	"chivedrift/chivewire"
)

// Guards against receive buffers that together grow with the number of connections.
func TestReceiveBuffersShrinkWithTheNumberOfConnections(t *testing.T) {
	buffers := chivewire.NewReceiveBuffers(2 << 20)
	for open, want := range map[int]int{0: 256 << 10, 8: 256 << 10, 16: 128 << 10, 32: 64 << 10, 1000: 64 << 10} {
		if got := buffers.Size(open); got != want {
			t.Errorf("%d connections: %d bytes, want %d", open, got, want)
		}
	}
}
