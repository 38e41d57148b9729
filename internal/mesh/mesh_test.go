package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// testCluster is a virtual network with four nodes per cluster. The first three nodes of each
// cluster are keepers.
type testCluster struct {
	t        *testing.T
	world    *vnet.World
	nodes    []*Node
	hosts    []*vnet.Host
	received [][]Announcement
}

func newTestCluster(t *testing.T, clusters ...string) *testCluster {
	tc := &testCluster{t: t, world: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })}
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7946)
	}
	var seeds []netip.AddrPort
	for i := range 4 * len(clusters) {
		seeds = append(seeds, at(i)) // of all clusters, so that their datagrams cross
	}
	for i := range 4 * len(clusters) {
		first := i / 4 * 4
		c := Config{
			Cluster: clusters[i/4], Name: fmt.Sprint("n", i), Listen: at(i), Session: uint64(100 + i), Seeds: seeds, Seed: 1,
			Terms: owner.DefaultTerms(), Duties: []string{"d"}, OnAnnouncement: func(a Announcement) { tc.received[i] = append(tc.received[i], a) },
		}
		for k := range 3 {
			c.Keepers = append(c.Keepers, KeeperAddress{uint64(k + 1), at(first + k)})
		}
		h := tc.world.AddHost(c.Name, at(i).Addr(), vnet.Limits{})
		if i%4 < 3 {
			d := h.Disk("log")
			d.SetContents(keeper.InitialRecord(uint64(1000 + i)))
			restored, err := keeper.Restore(d.Contents())
			if err != nil {
				t.Fatal(err)
			}
			k := keeper.DefaultConfig()
			k.ID, k.Voters, k.Seed = uint64(i%4+1), []uint64{1, 2, 3}, 1
			c.Keeper, c.RestoredLog, c.Disk = &k, restored, d
		}
		tc.received = append(tc.received, nil)
		err := h.Start(func(kernel poll.Kernel) (func() error, error) {
			c.Loop = poll.NewOn(kernel, func() {})
			n, err := New(c)
			tc.nodes = append(tc.nodes, n)
			return func() error { return c.Loop.Turn(true) }, err
		})
		if err != nil {
			t.Fatal(err)
		}
		tc.hosts = append(tc.hosts, h)
	}
	return tc
}

func (tc *testCluster) run(d time.Duration) {
	tc.t.Helper()
	if err := tc.world.Run(d); err != nil {
		tc.t.Fatal(err)
	}
}

func (tc *testCluster) owner(from int) *Node {
	for _, n := range tc.nodes[from : from+4] {
		if _, ok := n.Holds("d"); ok {
			return n
		}
	}
	return nil
}

// Nodes of two clusters that send each other datagrams drop and count them. Each cluster has its
// own members and its own lease owner.
func TestCrossedClusters(t *testing.T) {
	tc := newTestCluster(t, "one", "two")
	tc.run(6 * time.Second)
	for i, n := range tc.nodes {
		if len(n.Members()) != 4 {
			t.Errorf("n%d knows %d members, expected 4", i, len(n.Members()))
		}
	}
	if tc.nodes[0].Counters.Foreign == 0 || tc.owner(0) == nil || tc.owner(4) == nil {
		t.Errorf("%d foreign datagrams dropped, owners %v and %v; expected at least one datagram and an owner per cluster", tc.nodes[0].Counters.Foreign, tc.owner(0), tc.owner(4))
	}
}

// A long announcement arrives complete and after its predecessor of the same owner, and its age is
// counted from before the age was requested.
func TestAnnouncements(t *testing.T) {
	tc := newTestCluster(t, "one")
	tc.run(6 * time.Second)
	o := tc.owner(0)
	long := bytes.Repeat([]byte("word"), 2000)
	for _, text := range [][]byte{[]byte("first"), long} {
		if _, err := o.Announce("d", text); err != nil {
			t.Fatal(err)
		}
		tc.run(2 * time.Second)
	}
	for i, n := range tc.nodes {
		if n == o {
			continue
		}
		latest, confirmed, ok := n.Latest("d")
		if !ok || !bytes.Equal(latest.Data, long) || len(tc.received[i]) != 2 || tc.received[i][0].Version >= latest.Version {
			t.Errorf("n%d: latest announcement has %d bytes after %d announcements; expected the long one after 2 in order", i, len(latest.Data), len(tc.received[i]))
		}
		if age := tc.hosts[i].ClockNow().Sub(confirmed); age < 2*time.Second {
			t.Errorf("n%d reports age %v of an announcement that was published 2 s ago", i, age)
		}
		if _, err := n.Announce("d", nil); !errors.Is(err, ErrNotOwner) {
			t.Errorf("n%d: Announce without the lease: got error %v, expected ErrNotOwner", i, err)
		}
	}
}

// A planned stop releases the leases, so that another process acquires them immediately.
func TestLeaveReleasesLeases(t *testing.T) {
	tc := newTestCluster(t, "one")
	tc.run(6 * time.Second)
	o := tc.owner(0)
	for i, n := range tc.nodes {
		if n == o {
			tc.world.After(0, func() {})
			n.Leave()
			tc.run(50 * time.Millisecond)
			tc.hosts[i].Kill()
		}
	}
	tc.run(owner.DefaultTerms().Lease)
	if now := tc.owner(0); now == nil || now == o {
		t.Error("no other process acquired the lease within one lease duration")
	}
	for _, n := range tc.nodes {
		if n != o && len(n.Members()) != 3 {
			t.Errorf("%d members after one of 4 left, expected 3", len(n.Members()))
		}
	}
}

// Fragments in any order, with duplicates, yield the original message. The memory of a reassembly
// grows with the data received, not with the count that a fragment claims.
func TestFragments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 5*fragmentBytes).Draw(t, "text")
		parts := fragments(text)
		order := rapid.Permutation(append(indexes(len(parts)), indexes(len(parts))...)).Draw(t, "order")
		var a reassembly
		for _, at := range order {
			if whole := a.add(at, len(parts), parts[at]); whole != nil {
				if !bytes.Equal(whole, text) {
					t.Fatal("the reassembled message differs from the original")
				}
				return
			}
		}
		t.Fatal("the message is not complete after all fragments were added")
	})
	var a reassembly
	for _, p := range [][2]int{{0, 0}, {-1, 3}, {3, 3}, {0, maxFragments + 1}, {0, 1 << 40}} {
		if a.add(p[0], p[1], []byte("x")) != nil || len(a.parts) > 0 {
			t.Errorf("invalid fragment %d of %d was accepted", p[0], p[1])
		}
	}
}

// Floors that were not requested are dropped. A process without keepers sends no floors request,
// and sequence numbers of floors requests start at 1.
func TestUnsolicitedFloorsAreDropped(t *testing.T) {
	n := &Node{cfg: Config{Session: 3}, fence: owner.NewFence(owner.Flaws{})}
	n.handleFloors(&floorsFragment{Session: 3, Count: 1, Tokens: map[string]uint64{"d": 7}})
	if !n.fence.Closed() {
		t.Error("floors that were not requested opened the fence")
	}
}

// Responses about ever new leases leave nothing behind: each left a token at the fence for good, so
// that memory grew without end. A response of a known owner still counts.
func TestUnsolicitedOwnerResponsesAreDropped(t *testing.T) {
	tc := newTestCluster(t, "one")
	tc.run(6 * time.Second)
	o := tc.owner(0)
	if _, err := o.Announce("d", []byte("x")); err != nil {
		t.Fatal(err)
	}
	tc.run(2 * time.Second)
	for _, n := range tc.nodes {
		if n == o {
			continue
		}
		delivered := 0
		n.cfg.OnOwnerMessage = func(netip.AddrPort, *OwnerMessage) { delivered++ }
		token, _ := o.Holds("d")
		n.handleOwnerMessage(o.Addr(), &OwnerMessage{Lease: "d", Token: token, IsResponse: true})
		for i := range 100 {
			lease := fmt.Sprint("new", i)
			n.handleOwnerMessage(o.Addr(), &OwnerMessage{Lease: lease, Token: 1 << 40, IsResponse: true})
			if n.Fence().Floor(lease) != 0 {
				t.Fatalf("the fence keeps a token of lease %q", lease)
			}
		}
		if delivered != 1 || n.Counters.Unsolicited != 100 {
			t.Errorf("%d responses delivered, %d unsolicited, want 1 and 100", delivered, n.Counters.Unsolicited)
		}
	}
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// A datagram of maximum content of each kind does not exceed MaxDatagram.
func TestDatagramsFit(t *testing.T) {
	long := "a name that is as long as one may be, and not one byte longer.."
	var members []peers.Member
	for range 12 {
		members = append(members, peers.Member{Session: 1 << 63, Name: "proxy-with-a-long-name-of-32-byte", EncodedAddr: make([]byte, 6), Incarnation: 9, Zone: "winterthur"})
	}
	for _, e := range []*envelope{
		{Peers: &peers.Packet{Kind: peers.Sync, Seq: 1 << 60, Session: 1 << 63, Members: members}},
		{Announcement: &announcementFragment{ID: AnnouncementID{Lease: long, Token: 1 << 60, Version: 1 << 60}, Count: maxFragments, Data: make([]byte, fragmentBytes)}},
		{Raft: &raftFragment{Disk: 1 << 63, ID: 1 << 60, Data: make([]byte, fragmentBytes)}},
	} {
		e.Cluster = long[:32]
		if _, err := encode(e); err != nil {
			t.Errorf("%+v: %v", e, err)
		}
	}
	if _, err := encode(&envelope{Announcement: &announcementFragment{Data: make([]byte, 1300)}}); !errors.Is(err, errLong) {
		t.Errorf("encoding a message that is too long: got error %v, expected errLong", err)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := encode(&envelope{Cluster: "c", FloorsRequest: &keeper.FloorsRequest{Session: 1, Seq: 2}})
	f.Add(good)
	f.Add(good[:7])
	f.Add([]byte("\x00\x00\x00\x00\xbf"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := decode(b, "c"); err == nil && e.Cluster != "c" {
			t.Error("decode accepted a datagram of another cluster")
		}
	})
}
