package upstream

import "net/netip"

// ValidAddress reports whether an address is an ip:port that can be connected to.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}
