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

// bed is nodes on a virtual network; the first three are keepers, of each cluster.
type bed struct {
	t     *testing.T
	world *vnet.World
	nodes []*Node
	hosts []*vnet.Host
	heard [][]Announcement
}

func newBed(t *testing.T, clusters ...string) *bed {
	b := &bed{t: t, world: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: time.Millisecond} })}
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7946)
	}
	var seeds []netip.AddrPort
	for i := range 4 * len(clusters) {
		seeds = append(seeds, at(i)) // of all clusters: they are crossed
	}
	for i := range 4 * len(clusters) {
		first := i / 4 * 4
		c := Config{
			Cluster: clusters[i/4], Name: fmt.Sprint("n", i), Listen: at(i), Session: uint64(100 + i), Seeds: seeds, Seed: 1,
			Terms: owner.DefaultTerms(), Duties: []string{"d"}, OnAnnouncement: func(w Announcement) { b.heard[i] = append(b.heard[i], w) },
		}
		for k := range 3 {
			c.Keepers = append(c.Keepers, KeeperAddress{uint64(k + 1), at(first + k)})
		}
		h := b.world.AddHost(c.Name, at(i).Addr(), vnet.Limits{})
		if i%4 < 3 {
			d := h.Disk("log")
			d.SetText(keeper.Fresh(uint64(1000 + i)))
			log, err := keeper.Restore(d.Text())
			if err != nil {
				t.Fatal(err)
			}
			k := keeper.DefaultConfig()
			k.ID, k.Voters, k.Seed = uint64(i%4+1), []uint64{1, 2, 3}, 1
			c.Keeper, c.Log, c.Disk = &k, log, d
		}
		b.heard = append(b.heard, nil)
		err := h.Start(func(kernel poll.Kernel) (func() error, error) {
			c.Loop = poll.NewOn(kernel, func() {})
			n, err := New(c)
			b.nodes = append(b.nodes, n)
			return func() error { return c.Loop.Turn(true) }, err
		})
		if err != nil {
			t.Fatal(err)
		}
		b.hosts = append(b.hosts, h)
	}
	return b
}

func (b *bed) run(d time.Duration) {
	b.t.Helper()
	if err := b.world.Run(d); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bed) owner(from int) *Node {
	for _, n := range b.nodes[from : from+4] {
		if _, ok := n.Holds("d"); ok {
			return n
		}
	}
	return nil
}

// Peers of two clusters that are crossed drop and count each other's datagrams; each has members and an owner of its own.
func TestCrossedClusters(t *testing.T) {
	b := newBed(t, "one", "two")
	b.run(6 * time.Second)
	for i, n := range b.nodes {
		if len(n.Members()) != 4 {
			t.Errorf("n%d knows %d members", i, len(n.Members()))
		}
	}
	if b.nodes[0].Count.Foreign == 0 || b.owner(0) == nil || b.owner(4) == nil {
		t.Errorf("foreign datagrams %d, owners %v and %v", b.nodes[0].Count.Foreign, b.owner(0), b.owner(4))
	}
}

// A long announcement arrives whole, in its owner's order, and its age is counted from before it was asked for.
func TestAnnouncements(t *testing.T) {
	b := newBed(t, "one")
	b.run(6 * time.Second)
	o := b.owner(0)
	long := bytes.Repeat([]byte("word"), 2000)
	for _, text := range [][]byte{[]byte("first"), long} {
		if _, err := o.Announce("d", text); err != nil {
			t.Fatal(err)
		}
		b.run(2 * time.Second)
	}
	for i, n := range b.nodes {
		if n == o {
			continue
		}
		w, vouched, ok := n.Latest("d")
		if !ok || !bytes.Equal(w.Data, long) || len(b.heard[i]) != 2 || b.heard[i][0].Version >= w.Version {
			t.Errorf("n%d: an announcement of %d bytes, %d heard", i, len(w.Data), len(b.heard[i]))
		}
		if age := b.hosts[i].ClockNow().Sub(vouched); age < 2*time.Second {
			t.Errorf("n%d has an announcement %v old, which was published 2 s ago", i, age)
		}
		if _, err := n.Announce("d", nil); !errors.Is(err, ErrNotOwner) {
			t.Errorf("n%d publishes under a lease that it does not hold: %v", i, err)
		}
	}
}

// A planned stop gives its leases to others at once.
func TestLeaveReleasesLeases(t *testing.T) {
	b := newBed(t, "one")
	b.run(6 * time.Second)
	o := b.owner(0)
	for i, n := range b.nodes {
		if n == o {
			b.world.After(0, func() {})
			n.Leave()
			b.run(50 * time.Millisecond)
			b.hosts[i].Kill()
		}
	}
	b.run(owner.DefaultTerms().Lease)
	if now := b.owner(0); now == nil || now == o {
		t.Error("nobody took the lease within its time")
	}
	for _, n := range b.nodes {
		if n != o && len(n.Members()) != 3 {
			t.Errorf("%d members after one left", len(n.Members()))
		}
	}
}

// What is put together grows by what has arrived, never by what a fragment claims.
func TestFragments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 5*fragmentBytes).Draw(t, "text")
		parts := fragments(text)
		order := rapid.Permutation(append(indexes(len(parts)), indexes(len(parts))...)).Draw(t, "order")
		var a reassembly
		for _, at := range order {
			if whole := a.add(at, len(parts), parts[at]); whole != nil {
				if !bytes.Equal(whole, text) {
					t.Fatal("it comes out changed")
				}
				return
			}
		}
		t.Fatal("it is never whole")
	})
	var a reassembly
	for _, p := range [][2]int{{0, 0}, {-1, 3}, {3, 3}, {0, mostFragments + 1}, {0, 1 << 40}} {
		if a.add(p[0], p[1], []byte("x")) != nil || len(a.parts) > 0 {
			t.Errorf("fragment %d of %d is taken", p[0], p[1])
		}
	}
}

// Floors that nobody asked for are dropped: a process without keepers asks no keeper, and its questions are numbered from 1 on.
func TestFloorsThatWereNotAskedFor(t *testing.T) {
	n := &Node{cfg: Config{Session: 3}, fence: owner.NewFence(owner.Flaws{})}
	n.handleFloors(&floorsFragment{Session: 3, Count: 1, Tokens: map[string]uint64{"d": 7}})
	if !n.fence.Closed() {
		t.Error("floors that were not asked for open the fence")
	}
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// A full datagram of each kind stays under the limit.
func TestDatagramsFit(t *testing.T) {
	long := "a name that is as long as one may be, and not one byte longer.."
	var members []peers.Member
	for range 12 {
		members = append(members, peers.Member{Session: 1 << 63, Name: "proxy-with-a-long-name-of-32-byte", EncodedAddr: make([]byte, 6), Incarnation: 9, Zone: "winterthur"})
	}
	for _, e := range []*envelope{
		{Peers: &peers.Packet{Kind: peers.Sync, Seq: 1 << 60, Session: 1 << 63, Members: members}},
		{Announcement: &announcementFragment{ID: AnnouncementID{Lease: long, Token: 1 << 60, Version: 1 << 60}, Count: mostFragments, Data: make([]byte, fragmentBytes)}},
		{Raft: &raftFragment{Disk: 1 << 63, ID: 1 << 60, Data: make([]byte, fragmentBytes)}},
	} {
		e.Cluster = long[:32]
		if _, err := encode(e); err != nil {
			t.Errorf("%+v: %v", e, err)
		}
	}
	if _, err := encode(&envelope{Announcement: &announcementFragment{Data: make([]byte, 1300)}}); !errors.Is(err, errLong) {
		t.Errorf("a datagram that is too long: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := encode(&envelope{Cluster: "c", FloorsRequest: &keeper.FloorsRequest{Session: 1, Seq: 2}})
	f.Add(good)
	f.Add(good[:7])
	f.Add([]byte("\x00\x00\x00\x00\xbf"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := decode(b, "c"); err == nil && e.Cluster != "c" {
			t.Error("of another cluster")
		}
	})
}
