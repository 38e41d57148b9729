package hollow

import (
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// discoveryNet is the second byte of discovery's address, which no process has.
const discoveryNet = 250

// discovery is the service that names the servers, with what it sends counted. Its calls take no time of its own.
type discovery struct {
	host    *vnet.Host
	loop    *poll.Loop
	service *fleet.Discovery
	version int64 // of the list
	answers uint64
	bytes   uint64
}

func (k *cluster) startDiscovery() error {
	address := netip.AddrFrom4([4]byte{10, discoveryNet, 0, 1})
	d := &discovery{host: k.world.AddHost("discovery", address, vnet.Limits{}), version: int64(k.config.Servers)}
	k.discovery = d
	k.world.SetTap(d)
	return d.host.Start(func(kernel poll.Kernel) (func() error, error) {
		d.loop = poll.NewOn(kernel, d.tell)
		ledger := fleet.NewLedger(d.loop.Now(), time.Second, nil)
		ledger.OnTell = func(netip.Addr, fleet.Entry) {}
		var err error
		d.service, err = fleet.NewDiscovery(d.loop, d.address(), fleet.DiscoveryConfig{}, k.registry, ledger)
		if err != nil {
			return nil, fmt.Errorf("hollow: %w", err)
		}
		return func() error { return d.loop.Turn(true) }, nil
	})
}

func (d *discovery) address() netip.AddrPort { return netip.AddrPortFrom(d.host.Addr(), discoveryPort) }

// news has the service answer those who watch, in its own turn.
func (d *discovery) news() { d.loop.Wake() }

func (d *discovery) tell() {
	if d.service != nil {
		d.service.NotifyWatches()
	}
}

// Sent counts what the service writes; the other methods complete a vnet.Tap.
func (d *discovery) Sent(_ *vnet.Conn, from *vnet.Host, data []byte) {
	if from == d.host {
		d.answers++
		d.bytes += uint64(len(data))
	}
}

// Ended does nothing.
func (d *discovery) Ended(*vnet.Conn, *vnet.Host) {}

// Arrived does nothing.
func (d *discovery) Arrived(*vnet.Conn, *vnet.Host, []byte) {}

// EndArrived does nothing.
func (d *discovery) EndArrived(*vnet.Conn, *vnet.Host) {}
