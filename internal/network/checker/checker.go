// Package checker checks addresses that others have written before anything is sent to
// them.
//
// # Usage
//
//	if err := checker.Check("10.1.0.4:7340"); err != nil {
//		// Nothing can be sent there.
//	}
package checker

import (
	"net/netip"

	"github.com/gravitational/trace"
)

// maxShownBytes is how much of an address that cannot be used is shown.
const maxShownBytes = 60

// reserved is the range of IPv4 addresses that no host has, among them the broadcast.
var reserved = netip.MustParsePrefix("240.0.0.0/4")

// Check returns an error unless an address is that of one host and port: ip:port with an
// IPv4 address, since connections and datagrams go over IPv4 only.
func Check(address string) error {
	a, err := netip.ParseAddrPort(address)
	ip := a.Addr()
	switch {
	case err != nil:
		return trace.BadParameter("address: %.*q is not ip:port", maxShownBytes, address)
	case a.Port() == 0:
		return trace.BadParameter("address: %q has port 0", address)
	case !ip.Is4():
		return trace.BadParameter("address: %.*q is not an IPv4 address", maxShownBytes, address)
	case ip.As4()[0] == 0, ip.IsMulticast(), reserved.Contains(ip):
		return trace.BadParameter("address: %q is not the address of one host", address)
	}
	return nil
}
