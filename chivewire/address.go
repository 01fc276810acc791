package chivewire

import (
	"fmt"
	"net/netip"
)

// CheckAddress checks that a text is the IP:port address of one process on any VM.
//
// An unspecified address would lead to the VM that connects, and one with a zone depends on the VM that uses it.
func CheckAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("expected IP:port: %w", err)
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("expected IP:port of a process, found %s", address)
	}
	return nil
}
