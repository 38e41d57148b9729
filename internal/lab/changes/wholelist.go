package changes

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/vnet"
)

// WholeList is what the present way of passing discovery's list on costs one receiver: each change sends the whole list.
type WholeList struct {
	Servers        int     // in the list
	Encoded        int     // bytes of the encoded list
	TooLong        bool    // the list is longer than the mesh passes on; nothing was measured
	BytesPerChange float64 // received by one process for one change: datagrams with their copies, without the calm's
	PerServer      float64 // BytesPerChange by Servers
}

const (
	wholeListNodes   = 30
	wholeListChanges = 20
	wholeListPort    = 7946
)

// MeasureWholeList plays processes with the real mesh on a virtual network. The owner of discovery says a list of that many
// servers, one of which changes each second; the bytes that the others receive are counted, less those of a calm time as long.
func MeasureWholeList(seed uint64, servers int) (WholeList, error) {
	result := WholeList{Servers: servers}
	fleet, err := newWholeListFleet(seed)
	if err != nil {
		return result, err
	}
	const settle = 30 * time.Second
	if err := fleet.world.Run(settle); err != nil {
		return result, err
	}
	speaker := fleet.owner()
	if speaker == nil {
		return result, fmt.Errorf("no process owns %s after %v", duty.Discovery, settle)
	}
	before := fleet.received(speaker)
	if err := fleet.world.Run(wholeListChanges * time.Second); err != nil {
		return result, err
	}
	calm := fleet.received(speaker) - before
	before = fleet.received(speaker)
	for sequence := range wholeListChanges {
		list := exampleServers(servers)
		list[sequence%servers].Health = routes.Draining
		text, err := duty.EncodeList(netip.MustParseAddrPort("10.0.0.1:8500"), int64(sequence+1), list)
		if err != nil {
			return result, err
		}
		result.Encoded = len(text)
		if _, err := speaker.Announce(duty.Discovery, text); err != nil {
			if errors.Is(err, mesh.ErrNotOwner) {
				return result, err
			}
			result.TooLong = true
			return result, nil
		}
		if err := fleet.world.Run(time.Second); err != nil {
			return result, err
		}
	}
	extra := float64(fleet.received(speaker)) - float64(before) - float64(calm)
	result.BytesPerChange = extra / wholeListChanges / (wholeListNodes - 1)
	result.PerServer = result.BytesPerChange / float64(servers)
	return result, nil
}

// exampleServers returns a list as a discovery service would: names of twelve letters, a zone, a start.
func exampleServers(count int) []*routes.Target {
	list := make([]*routes.Target, count)
	for i := range list {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		list[i] = &routes.Target{
			ID: fmt.Sprintf("server-%05d", i), Addr: netip.AddrPortFrom(address, 9000), Site: fmt.Sprint("zone-", i%8),
			Block: i % 100, Share: 1, StartUnixMS: 1_790_000_000_000 + int64(i),
		}
	}
	return list
}

type wholeListFleet struct {
	world *vnet.World
	nodes []*mesh.Node
}

func newWholeListFleet(seed uint64) (*wholeListFleet, error) {
	fleet := &wholeListFleet{world: vnet.New(seed, func(_, _ *vnet.Host) vnet.Link {
		return vnet.Link{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	})}
	for i := range wholeListNodes {
		if err := fleet.start(seed, i); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func wholeListAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), wholeListPort)
}

func (f *wholeListFleet) start(seed uint64, i int) error {
	const keepers = 3
	config := mesh.Config{
		Cluster: "measure", Name: fmt.Sprint("proxy-", i), Listen: wholeListAddress(i), Session: uint64(100 + i), Seed: seed,
		Terms: owner.DefaultTerms(), Duties: []string{duty.Discovery},
	}
	for k := range keepers {
		config.Seeds = append(config.Seeds, wholeListAddress(k))
		config.Keepers = append(config.Keepers, mesh.KeeperAddress{ID: uint64(k + 1), Addr: wholeListAddress(k)})
	}
	host := f.world.AddHost(config.Name, wholeListAddress(i).Addr(), vnet.Limits{})
	if i < keepers {
		disk := host.Disk("log")
		disk.SetContents(keeper.InitialRecord(uint64(1000 + i)))
		log, err := keeper.Restore(disk.Contents())
		if err != nil {
			return err
		}
		k := keeper.DefaultConfig()
		k.ID, k.Voters, k.Seed = uint64(i+1), []uint64{1, 2, 3}, seed
		config.Keeper, config.RestoredLog, config.Disk = &k, log, disk
	}
	return host.Start(func(kernel poll.Kernel) (func() error, error) {
		config.Loop = poll.NewOn(kernel, func() {})
		node, err := mesh.New(config)
		f.nodes = append(f.nodes, node)
		return func() error { return config.Loop.Turn(true) }, err
	})
}

func (f *wholeListFleet) owner() *mesh.Node {
	for _, node := range f.nodes {
		if _, ok := node.Holds(duty.Discovery); ok {
			return node
		}
	}
	return nil
}

// received returns the bytes that all but one have received.
func (f *wholeListFleet) received(but *mesh.Node) uint64 {
	var sum uint64
	for _, node := range f.nodes {
		if node != but {
			sum += node.Counters.BytesReceived
		}
	}
	return sum
}
