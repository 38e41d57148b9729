package pressure

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// datagramPictures are played at the operators' port. Its network is trusted, so that they stand
// for accidents: a loop, a rack that restarts, another fleet under the same name.
var datagramPictures = []picture{
	{name: "new-members", about: "datagrams name ever new members at full speed", play: playNewMembers},
	{name: "restarting-members", about: "1,000 members start anew at full speed, each under a new session", play: playRestartingMembers},
	{name: "syncs", about: "members ask for the whole list of members at full speed", play: playSyncs},
	{name: "fragments", about: "announcements under ever new names, of which a fragment is missing", play: playFragments},
	{name: "announcements", about: "whole announcements of 230 KB under ever new names, to a keeper", play: playAnnouncements, keepers: true},
	{name: "newer-fragments", about: "whole announcements under 256 names, and then fragments of newer ones", play: playNewerFragments, keepers: true},
	{name: "owner-answers", about: "answers of owners of ever new leases, to a keeper", play: playOwnerAnswers, keepers: true},
	{name: "lease-requests", about: "requests for ever new leases under ever new sessions, to a keeper", play: playLeaseRequests, keepers: true},
	{name: "views", about: "operators ask for the view of the process at full speed", play: playViews},
	{name: "evidence", about: "failures of ever new targets, seen by ever new sessions", play: playEvidence},
	{name: "garbage", about: "datagrams of another cluster, damaged ones and noise", play: playGarbage},
}

const clusterName = "pressure"

// The keys of a datagram's envelope and of its parts, by the wire format of package mesh.
const (
	keyVersion      = 1
	keyCluster      = 2
	keyPeers        = 4
	keyLeaseRequest = 6
	keyAnnouncement = 10
	keyView         = 13
	keyOwnerMessage = 15
	keyShared       = 16
)

// Kinds of membership packets.
const (
	packetPing = 1
	packetSync = 4
)

const (
	castagnoliBytes    = 4
	recordsPerDatagram = 8
	tableSize          = 4096 // most members that a process knows
	fragmentBytes      = 900
	fragmentCount      = 256
)

type record = map[int]any

// datagram encodes a message of the fleet.
func datagram(cluster string, key int, message any) []byte {
	payload, err := cbor.Marshal(record{keyVersion: 1, keyCluster: cluster, key: message})
	if err != nil {
		panic(err) // all values are plain
	}
	sum := crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli))
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, castagnoliBytes+len(payload)), sum), payload...)
}

// flood sends datagrams at full speed until the picture is over.
func (s *stage) flood(next func(i int) []byte) {
	c, err := net.Dial("udp", s.processes[0].meshAddr)
	if err != nil {
		panic(err) // loopback, an address that was free
	}
	defer c.Close()
	sent := 0
	for ; !s.over(); sent++ {
		_, _ = c.Write(next(sent)) // lost datagrams do not count
	}
	s.addLoad(sent)
}

// memberRecord returns the record of a member that is alive.
func memberRecord(session uint64, name string, port uint16) record {
	addr, _ := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(session >> 8), byte(session)}), port).MarshalBinary()
	return record{1: session, 2: name, 3: addr, 4: 0, 5: 0, 6: "here"}
}

// membersPacket returns a membership packet that names new members.
func membersPacket(kind int, rng *rand.Rand, name func(i int) string) []byte {
	var members []any
	for i := range recordsPerDatagram {
		members = append(members, memberRecord(rng.Uint64()|1, name(i), uint16(1024+rng.IntN(60000))))
	}
	return datagram(clusterName, keyPeers, record{1: kind, 2: rng.Uint64(), 3: rng.Uint64() | 1, 5: members})
}

func playNewMembers(s *stage) {
	s.flood(func(n int) []byte {
		return membersPacket(packetPing, s.rng, func(i int) string { return fmt.Sprintf("m%d-%d", n, i) })
	})
}

func playRestartingMembers(s *stage) {
	s.flood(func(n int) []byte {
		return membersPacket(packetPing, s.rng, func(i int) string { return fmt.Sprintf("m%d", (n*recordsPerDatagram+i)%1000) })
	})
}

func playSyncs(s *stage) {
	s.flood(func(n int) []byte {
		return membersPacket(packetSync, s.rng, func(i int) string { return fmt.Sprintf("m%d-%d", n, i) })
	})
}

// announcementPart returns a fragment of an announcement under a name.
func announcementPart(name string, version, index int) []byte {
	return datagram(clusterName, keyAnnouncement, record{
		1: record{1: name, 2: 1, 3: version}, 2: index, 3: fragmentCount, 4: make([]byte, fragmentBytes), 5: 7,
	})
}

// paced sends at a rate that the process can receive, so that few datagrams are lost.
func (s *stage) paced(next func(i int) []byte) {
	s.flood(func(i int) []byte {
		if i%64 == 0 {
			time.Sleep(time.Millisecond)
		}
		return next(i)
	})
}

func playFragments(s *stage) {
	s.paced(func(i int) []byte { // all fragments but the first
		return announcementPart(fmt.Sprint("lease", i/(fragmentCount-1)), 1, 1+i%(fragmentCount-1))
	})
}

func playAnnouncements(s *stage) {
	s.paced(func(i int) []byte { return announcementPart(fmt.Sprint("lease", i/fragmentCount), 1, i%fragmentCount) })
}

func playNewerFragments(s *stage) {
	const leases = 256
	s.paced(func(i int) []byte {
		if round := i / (leases * fragmentCount); round > 0 { // all fragments but the first
			return announcementPart(fmt.Sprint("lease", i/(fragmentCount-1)%leases), 1+round, 1+i%(fragmentCount-1))
		}
		return announcementPart(fmt.Sprint("lease", i/fragmentCount), 1, i%fragmentCount)
	})
}

func playViews(s *stage) {
	s.flood(func(i int) []byte {
		if i < 2*tableSize/recordsPerDatagram { // the view has a full table of members
			time.Sleep(time.Millisecond)
			return membersPacket(packetPing, s.rng, func(int) string { return fmt.Sprint("m", i) })
		}
		return datagram(clusterName, keyView, record{1: true, 2: i})
	})
}

func playOwnerAnswers(s *stage) {
	s.flood(func(i int) []byte {
		return datagram(clusterName, keyOwnerMessage, record{1: fmt.Sprintf("lease-%040d", i), 2: i + 1, 3: i, 4: true, 5: []byte{}})
	})
}

func playLeaseRequests(s *stage) {
	s.flood(func(i int) []byte {
		claims := []any{map[string]any{"Duty": fmt.Sprint("lease-", i)}}
		return datagram(clusterName, keyLeaseRequest, map[string]any{"Session": s.rng.Uint64() | 1, "Seq": 1, "Name": "process", "Duties": claims})
	})
}

// evidenceCells is the number of cells in a message of evidence.
const evidenceCells = 8

func playEvidence(s *stage) {
	s.flood(func(i int) []byte {
		var cells []any
		for j := range evidenceCells {
			cells = append(cells, record{1: fmt.Sprintf("target-%030d-%d", i, j), 2: 1, 3: record{2: 1}})
		}
		data, err := cbor.Marshal(record{5: []any{record{1: i%1000 + 1, 2: fmt.Sprint("m", i%1000), 4: -1, 5: cells}}})
		if err != nil {
			panic(err) // all values are plain
		}
		return datagram(clusterName, keyShared, record{1: "evidence", 2: s.rng.Uint64() | 1, 3: data})
	})
}

func playGarbage(s *stage) {
	noise := make([]byte, 1400)
	s.flood(func(i int) []byte {
		switch i % 3 {
		case 0:
			return datagram("another", keyPeers, record{1: packetPing, 2: i, 3: 9})
		case 1:
			damaged := membersPacket(packetPing, s.rng, func(int) string { return "m" })
			damaged[len(damaged)-1] ^= 1
			return damaged
		}
		return noise[:s.rng.IntN(len(noise))]
	})
}
