package lab

import (
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/vnet"
)

const (
	proxyPort     = 8443
	relayPort     = 8443
	discoveryPort = 8500
)

// siteOf returns the site of a machine by its address: the second byte counts the sites from 1, and
// 0 is no site.
func (s *stage) siteOf(a netip.Addr) string {
	if i := int(a.As4()[1]); i > 0 && i <= len(s.scenario.Sites) {
		return s.scenario.Sites[i-1]
	}
	return ""
}

// machineAddr returns the address of a machine from its site, its type and its number.
func machineAddr(site, what, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(site + 1), byte(what<<4 + n>>8), byte(n)})
}

// These are the types of machines in an address.
const (
	addrRelay = iota
	addrProxy
	addrClients
	addrBadClients
)

func (s *stage) link(from, to *vnet.Host) vnet.Link {
	a, b := s.siteOf(from.Addr()), s.siteOf(to.Addr())
	d := s.sameSiteDelay
	if a != b && a != "" && b != "" {
		d = s.crossSiteDelay[[2]string{a, b}]
	}
	for _, h := range []*vnet.Host{from, to} {
		if s.judge != nil && s.judge.roles[h] == roleClient {
			d += s.clientDelay[s.siteOf(h.Addr())]
		}
	}
	return vnet.Link{
		Delay: d, Jitter: time.Duration(s.jitter * float64(d)), Loss: s.scenario.Network.Loss, Bandwidth: s.scenario.Network.Bandwidth,
	}
}

func siteIndex(sites []string, site string) int { return slices.Index(sites, site) }
