package capacity

// The size that is planned for in two years, by the operators.
const (
	planProxies         = 7_400
	planConnections     = 500e6
	planShards          = 2.8e6
	planListeners       = 3.3e6 // of the largest topic
	planDeliveries      = 60e6  // a second
	planZones           = 8
	planChanges         = 78_000 // of configuration a day
	planChangeWithin    = 6      // seconds until a change is in force everywhere
	planControlMachines = 18
	planFailures        = 41    // machines on an ordinary day
	planRestarts        = 1_700 // machines a day
	daySeconds          = 86_400
)

// What follows from them for one proxy, and what is assumed where the operators give no figure.
const (
	proxyConnections = planConnections / planProxies
	proxyDeliveries  = planDeliveries / planProxies
	proxyListeners   = planListeners / planProxies
	zoneProxies      = planProxies / planZones
	controlProxies   = float64(planProxies) / planControlMachines
	changeRate       = float64(planChanges) / daySeconds
	// burstRate is planned for: a day's changes within an hour. Tools and releases make changes one after the other, and a
	// day's work is not spread evenly; nobody has measured how unevenly.
	burstRate = float64(planChanges) / 3600
	// planServers is assumed: as many for each proxy as in the fleets of docs/owners.md, 225 to 300 proxies.
	planServers = planProxies * 225 / 300
	// takenOver are the connections that each other proxy gets when a zone is lost.
	takenOver = proxyConnections * zoneProxies / (planProxies - zoneProxies)
	// callsAt80 is how many calls a second discovery of the platform's pages took for 80 processes, the most that was seen. A process
	// opens a watch by one such call; those that go on with the watch take none.
	callsAt80 = 17.0
	// callPeriod is the mean time in seconds between two calls of one process that discovery took for 32 processes: 5 a second.
	callPeriod = 6.4
	// leaseRenewal is the time between two renewals of a duty, in seconds, at the default lease of 2 s.
	leaseRenewal = 2.0 / 3
	// failureWindow is the time over which the cost of failures was counted, in seconds.
	failureWindow = 20
	// wordFan is to how many members an owner tells a new word at once.
	wordFan = 3
)

// The operators' budget for control on one proxy.
const (
	budgetProcessor = 0.024 * 1e6 // µs/s
	budgetMemory    = 128e6       // B
	budgetBytes     = 5_000       // B/s
)

// Term is one summand of a row: a series' cost at a size, so many times.
type Term struct {
	Key   Key
	Size  float64
	Times float64
}

// Row is one derived figure of the page.
type Row struct {
	ID        string // stable, such as P1
	Table     string // the marked table that it stands in
	Role      string // who pays, for the list of what is over budget
	What      string
	Unit      string
	Terms     []Term
	Budget    float64 // in Unit; 0: there is none
	Mechanism string  // that carries it; empty: none does
	File      string  // where that is
	Remedy    string  // what it would take if it is over budget
}

// Bound is a constant of the program against what the planned size needs.
type Bound struct {
	ID     string
	What   string
	Need   float64
	Terms  []Term // summed with Need
	Bound  float64
	Text   string // how the file says it
	File   string
	Remedy string
}

func proxyKey(cost, unit, driver string) Key  { return Key{"proxy", cost, unit, driver} }
func keeperKey(cost, unit, driver string) Key { return Key{"keeper", cost, unit, driver} }
func ownerKey(cost, unit, driver string) Key  { return Key{"duty owner", cost, unit, driver} }

// The series that rows are made of.
var (
	memoryByConnections  = proxyKey("memory", "B", "connections")
	memoryAfterLines     = proxyKey("memory after a line each", "B", "connections")
	kernelByConnections  = proxyKey("kernel memory of all four ends", "B", "connections")
	idleByConnections    = proxyKey("processor while idle", "µs/s", "connections")
	openingByConnections = proxyKey("processor to open", "µs", "connections opened")
	processorByLines     = proxyKey("processor", "µs/s", "lines a second")
	listBytes            = proxyKey("bytes", "B a whole list", "servers")
	listProcessor        = proxyKey("processor", "µs a whole list", "servers")
	wordProcessor        = proxyKey("processor", "µs a word of the list", "servers")
	tableState           = proxyKey("state", "B of route table", "servers")
	decisionProcessor    = proxyKey("processor", "µs a decision", "servers")
	ownerWordProcessor   = ownerKey("processor", "µs a word of the list", "servers")
	wordBytes            = ownerKey("bytes", "B a word of the list", "servers")
	keeperState          = keeperKey("state", "B of snapshot", "duties")
	keeperRenewals       = keeperKey("processor", "µs a renewal of all duties", "duties")
	keeperWrite          = keeperKey("time", "µs a durable write", "entries in a write")
	proxyStateByProxies  = proxyKey("state", "B", "proxies")
	proxyStateByServers  = proxyKey("state", "B", "servers")
	allocationsByProxies = proxyKey("allocations", "1/s", "proxies")
)

const (
	byProxies  = "proxies"
	byServers  = "servers"
	byChanges  = "changes"
	byFailures = "failures"
)

const (
	listRemedy      = "tell changes since a version, not whole lists; a proxy's part of the list only"
	memberRemedy    = "members known by zone, one summary of each other zone"
	seedRemedy      = "keepers that are no seeds, on machines of their own; digests in place of lists of members"
	discoveryRemedy = "control machines between discovery and proxies, which answer what has changed"
)

// Rows are the page's derived figures, by table.
func Rows() []Row {
	rows := proxyDataRows()
	rows = append(rows, proxyControlRows()...)
	rows = append(rows, earlierRows()...)
	rows = append(rows, keeperRows()...)
	rows = append(rows, ownerRows()...)
	rows = append(rows, controlMachineRows()...)
	return append(rows, foreignRows()...)
}

func proxyDataRows() []Row {
	const table, role = "proxy-data", "proxy"
	return []Row{
		{ID: "D1", Table: table, Role: role, What: "resident memory with its connections", Unit: "MB",
			Terms: []Term{{memoryByConnections, proxyConnections, 1e-6}}, Mechanism: "session, hop and link", File: "internal/proxy/session.go"},
		{ID: "D7", Table: table, Role: role, What: "the same after a line on each", Unit: "MB",
			Terms: []Term{{memoryAfterLines, proxyConnections, 1e-6}}, Mechanism: "session, hop and link", File: "internal/proxy/link.go"},
		{ID: "D2", Table: table, Role: role, What: "kernel memory of its sockets, half of all four ends", Unit: "MB",
			Terms: []Term{{kernelByConnections, proxyConnections, 0.5e-6}}, Mechanism: "two sockets a connection", File: "internal/poll/socket.go"},
		{ID: "D3", Table: table, Role: role, What: "processor while nothing passes", Unit: "% of a core",
			Terms: []Term{{idleByConnections, proxyConnections, 1e-4}}, Mechanism: "epoll loop, timers on a heap", File: "internal/poll/loop.go"},
		{ID: "D4", Table: table, Role: role, What: "processor for its deliveries, a line each", Unit: "% of a core",
			Terms: []Term{{processorByLines, proxyDeliveries, 1e-4}}, Budget: 100, Mechanism: "pass-through of lines", File: "internal/proxy/standing.go",
			Remedy: "one line from the server for all listeners of a proxy"},
		{ID: "D5", Table: table, Role: role, What: "processor to open what a lost zone had, its part", Unit: "s",
			Terms: []Term{{openingByConnections, takenOver, 1e-6}}, Mechanism: "accept, decision, hop", File: "internal/proxy/engine.go"},
		{ID: "D6", Table: table, Role: role, What: "decisions for these by the assumed servers", Unit: "s",
			Terms: []Term{{decisionProcessor, planServers, takenOver * 1e-6}}, Mechanism: "decision module", File: "balance/balance.go"},
	}
}

func proxyControlRows() []Row {
	const table, role = "proxy-control", "proxy"
	return []Row{
		{ID: "P1", Table: table, Role: role, What: "bytes sent in calm, by members", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", byProxies), planProxies, 1}},
			Mechanism: "membership, words pulled along a tree", File: "internal/mesh/pull.go", Remedy: memberRemedy},
		{ID: "P23", Table: table, Role: role, What: "bytes sent by the busiest in calm, by members", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes of the busiest", "B/s", byProxies), planProxies, 1}},
			Mechanism: "answers to those who pull", File: "internal/mesh/pull.go", Remedy: "a tree of smaller branches"},
		{ID: "P2", Table: table, Role: role, What: "bytes sent, by servers, at the mean of changes", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", byServers), planServers, changeRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P3", Table: table, Role: role, What: "bytes received, by servers, at the mean of changes", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes received", "B/s", byServers), planServers, changeRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P24", Table: table, Role: role, What: "bytes sent by the busiest, by servers, at the mean of changes", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes of the busiest", "B/s", byServers), planServers, changeRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P25", Table: table, Role: role, What: "bytes sent, by changes, in a burst, with 100 servers only", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", byChanges), burstRate, 1}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P26", Table: table, Role: role, What: "processor, by servers, at the mean of changes", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{proxyKey("processor", "µs/s", byServers), planServers, changeRate}},
			Mechanism: "words, pulls, decision module", File: "internal/instance/fleet.go", Remedy: listRemedy},
		{ID: "P4", Table: table, Role: role, What: "a word of the list once at each change, mean", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{wordBytes, planServers, changeRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P5", Table: table, Role: role, What: "a word of the list once at each change, in a burst", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{wordBytes, planServers, burstRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P6", Table: table, Role: role, What: "a whole list of discovery, after a connection to it failed, within 6 s", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{listBytes, planServers, 1.0 / planChangeWithin}},
			Mechanism: "watch that is opened anew", File: "internal/routes/watch.go", Remedy: listRemedy},
		{ID: "P7", Table: table, Role: role, What: "processor for that list, within 6 s", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{listProcessor, planServers, 1.0 / planChangeWithin}},
			Mechanism: "reading and merging", File: "internal/routes/table.go", Remedy: listRemedy},
		{ID: "P8", Table: table, Role: role, What: "processor for words, at the mean of changes", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{wordProcessor, planServers, changeRate}},
			Mechanism: "reading and merging a word", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P9", Table: table, Role: role, What: "processor for words, in a burst", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{wordProcessor, planServers, burstRate}},
			Mechanism: "reading and merging a word", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "P10", Table: table, Role: role, What: "processor in calm, by members", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{proxyKey("processor", "µs/s", byProxies), planProxies, 1}},
			Mechanism: "membership and pulls", File: "internal/mesh/pull.go", Remedy: memberRemedy},
		{ID: "P11", Table: table, Role: role, What: "messages in calm, by members", Unit: "1/s",
			Terms:     []Term{{proxyKey("messages", "1/s", byProxies), planProxies, 1}},
			Mechanism: "membership and pulls", File: "internal/mesh/pull.go"},
		{ID: "P12", Table: table, Role: role, What: "state, by members", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:     []Term{{proxyStateByProxies, planProxies, 1e-6}},
			Mechanism: "table of members", File: "internal/peers/member.go", Remedy: memberRemedy},
		{ID: "P13", Table: table, Role: role, What: "state, by servers: route table", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:     []Term{{tableState, planServers, 1e-6}},
			Mechanism: "route table", File: "internal/routes/table.go"},
		{ID: "P14", Table: table, Role: role, What: "state, by servers: all that a process keeps of control", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:     []Term{{proxyStateByServers, planServers, 1e-6}},
			Mechanism: "route table, word, decision module", File: "internal/instance/fleet.go"},
		{ID: "P15", Table: table, Role: role, What: "allocations in calm, by members", Unit: "1/s",
			Terms:     []Term{{allocationsByProxies, planProxies, 1}},
			Mechanism: "membership and pulls", File: "internal/mesh/pull.go"},
		{ID: "P16", Table: table, Role: role, What: "bytes sent in the 20 s after a zone's members failed at once", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", byFailures), zoneProxies, 1}},
			Mechanism: "deaths told one by one", File: "internal/peers/gossip.go", Remedy: "a zone's loss told as one fact"},
		{ID: "P17", Table: table, Role: role, What: "what of it is the loss, at the budget's rate: time to tell it", Unit: "s", Budget: planChangeWithin,
			Terms: []Term{
				{proxyKey("bytes", "B/s", byFailures), zoneProxies, failureWindow / float64(budgetBytes)},
				{proxyKey("bytes", "B/s", byFailures), 0, -failureWindow / float64(budgetBytes)},
			},
			Mechanism: "deaths told one by one", File: "internal/peers/gossip.go", Remedy: "a zone's loss told as one fact"},
		{ID: "P18", Table: table, Role: role, What: "processor in the 20 s after a zone's members failed at once", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{proxyKey("processor", "µs/s", byFailures), zoneProxies, 1}},
			Mechanism: "deaths told one by one", File: "internal/peers/gossip.go", Remedy: "a zone's loss told as one fact"},
		{ID: "P19", Table: table, Role: role, What: "all bytes sent: calm by members, and lists at the mean of changes", Unit: "B/s", Budget: budgetBytes,
			Terms: []Term{
				{proxyKey("bytes", "B/s", byProxies), planProxies, 1}, {proxyKey("bytes", "B/s", byServers), planServers, changeRate},
			},
			Mechanism: "membership, words", File: "internal/mesh/announcements.go", Remedy: listRemedy + "; " + memberRemedy},
		{ID: "P20", Table: table, Role: role, What: "all processor: calm by members, and lists at the mean of changes", Unit: "µs/s", Budget: budgetProcessor,
			Terms: []Term{
				{proxyKey("processor", "µs/s", byProxies), planProxies, 1}, {proxyKey("processor", "µs/s", byServers), planServers, changeRate},
			},
			Mechanism: "membership, words", File: "internal/mesh/announcements.go", Remedy: listRemedy + "; " + memberRemedy},
		{ID: "P21", Table: table, Role: role, What: "all state of control: by members and by servers", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:     []Term{{proxyStateByProxies, planProxies, 1e-6}, {proxyStateByServers, planServers, 1e-6}},
			Mechanism: "tables of members and servers, words", File: "internal/instance/fleet.go", Remedy: memberRemedy},
		{ID: "P22", Table: table, Role: role, What: "a change is in force everywhere", Unit: "s", Budget: planChangeWithin,
			Mechanism: "on the model alone, joined to no real process: changes along a tree", File: "internal/changes/replica.go",
			Remedy: "joining it to the mesh"},
		{ID: "P27", Table: table, Role: role, What: "that it is in force everywhere is known", Unit: "s", Budget: planChangeWithin,
			Remedy: "versions that are acknowledged, gathered up the tree"},
	}
}

// earlierRows are made of what docs/owners.md had before there was this page.
func earlierRows() []Row {
	const table, role = "earlier", "proxy"
	return []Row{
		{ID: "E1", Table: table, Role: role, What: "bytes sent in calm, by members (measured in docs/owners.md)", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", "members, at a lease of 2 s"), planProxies, 1}},
			Mechanism: "membership", File: "internal/peers/peers.go", Remedy: memberRemedy},
		{ID: "E2", Table: table, Role: role, What: "messages in calm, by members (measured in docs/owners.md)", Unit: "1/s",
			Terms:     []Term{{proxyKey("messages", "1/s", "members, at a lease of 2 s"), planProxies, 1}},
			Mechanism: "membership", File: "internal/peers/peers.go"},
		{ID: "E3", Table: table, Role: role, What: "bytes sent in a release that replaces six in ten servers, 0.75 servers a proxy (measured in docs/owners.md)", Unit: "B/s",
			Budget:    budgetBytes,
			Terms:     []Term{{proxyKey("bytes", "B/s", "proxies, in a release of six in ten servers"), planProxies, 1}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
	}
}

func keeperRows() []Row {
	const table, role = "keeper", "keeper"
	return []Row{
		{ID: "K1", Table: table, Role: role, What: "bytes sent in calm, by members", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{keeperKey("bytes", "B/s", byProxies), planProxies, 1}},
			Mechanism: "lists of members to those who meet a seed, raft", File: "internal/peers/sync.go", Remedy: seedRemedy},
		{ID: "K2", Table: table, Role: role, What: "messages in calm, by members", Unit: "1/s",
			Terms:     []Term{{keeperKey("messages", "1/s", byProxies), planProxies, 1}},
			Mechanism: "answers to those who meet a seed, raft, claims", File: "internal/peers/sync.go"},
		{ID: "K3", Table: table, Role: role, What: "processor in calm, by members", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{keeperKey("processor", "µs/s", byProxies), planProxies, 1}},
			Mechanism: "membership, raft, state machine", File: "internal/keeper/core.go", Remedy: seedRemedy},
		{ID: "K8", Table: table, Role: role, What: "bytes sent by the busiest in calm, by members", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{keeperKey("bytes of the busiest", "B/s", byProxies), planProxies, 1}},
			Mechanism: "the same, and the leader's part of raft", File: "internal/peers/sync.go", Remedy: seedRemedy},
		{ID: "K5", Table: table, Role: role, What: "state with the most duties that it takes", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:     []Term{{keeperState, mostLeases, 1e-6}},
			Mechanism: "replicated state", File: "internal/keeper/state.go"},
		{ID: "K6", Table: table, Role: role, What: "processor to renew these", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{keeperRenewals, mostLeases, 1 / leaseRenewal}},
			Mechanism: "replicated state, without raft", File: "internal/keeper/state.go"},
		{ID: "K7", Table: table, Role: role, What: "time of a durable write with an entry of each of these", Unit: "ms",
			Terms:     []Term{{keeperWrite, mostLeases, 1e-3}},
			Mechanism: "log", File: "internal/keeper/file.go"},
	}
}

// mostLeases is the keepers' bound, which Bounds compares with the file.
const mostLeases = 256

func ownerRows() []Row {
	const table, role = "owner", "duty owner"
	return []Row{
		{ID: "O1", Table: table, Role: role, What: "bytes sent, by servers, at the mean of changes", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{ownerKey("bytes", "B/s", byServers), planServers, changeRate}},
			Mechanism: "word to three, answers to pulls", File: "internal/mesh/announcements.go", Remedy: listRemedy},
		{ID: "O2", Table: table, Role: role, What: "a word to three at each change, mean", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{wordBytes, planServers, wordFan * changeRate}},
			Mechanism: "word to three", File: "internal/mesh/announcements.go", Remedy: listRemedy},
		{ID: "O3", Table: table, Role: role, What: "a word to three at each change, in a burst", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{wordBytes, planServers, wordFan * burstRate}},
			Mechanism: "word to three", File: "internal/mesh/announcements.go", Remedy: listRemedy},
		{ID: "O4", Table: table, Role: role, What: "processor to write words, mean", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{ownerWordProcessor, planServers, changeRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "O5", Table: table, Role: role, What: "processor to write words, in a burst", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{ownerWordProcessor, planServers, burstRate}},
			Mechanism: "word of the list, whole", File: "internal/duty/discovery.go", Remedy: listRemedy},
		{ID: "O6", Table: table, Role: role, What: "processor, by servers, at the mean of changes", Unit: "µs/s", Budget: budgetProcessor,
			Terms:     []Term{{ownerKey("processor", "µs/s", byServers), planServers, changeRate}},
			Mechanism: "watch, word, pulls", File: "internal/instance/fleet.go", Remedy: listRemedy},
		{ID: "O8", Table: table, Role: role, What: "bytes sent, by changes, in a burst, with 100 servers only", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{ownerKey("bytes", "B/s", byChanges), burstRate, 1}},
			Mechanism: "word to three, answers to pulls", File: "internal/mesh/announcements.go", Remedy: listRemedy},
		{ID: "O7", Table: table, Role: role, What: "bytes sent in calm, by members", Unit: "B/s", Budget: budgetBytes,
			Terms:     []Term{{ownerKey("bytes", "B/s", byProxies), planProxies, 1}},
			Mechanism: "answers to pulls", File: "internal/mesh/pull.go", Remedy: memberRemedy},
	}
}

func controlMachineRows() []Row {
	const table, role = "control-machine", "control machine"
	return []Row{
		{ID: "C1", Table: table, Role: role, What: "whole lists to its proxies at the mean of changes", Unit: "MB/s",
			Terms: []Term{{listBytes, planServers, changeRate * controlProxies * 1e-6}}, Remedy: discoveryRemedy},
		{ID: "C2", Table: table, Role: role, What: "whole lists to its proxies in a burst", Unit: "MB/s",
			Terms: []Term{{listBytes, planServers, burstRate * controlProxies * 1e-6}}, Remedy: discoveryRemedy},
		{ID: "C3", Table: table, Role: role, What: "a whole list to each of its proxies after an outage, within 6 s", Unit: "MB/s",
			Terms: []Term{{listBytes, planServers, controlProxies / planChangeWithin * 1e-6}}, Remedy: discoveryRemedy},
		{ID: "C4", Table: table, Role: role, What: "answers of discovery with an owner, by members", Unit: "1/s",
			Terms:     []Term{{Key{"discovery", "messages", "1/s", byProxies}, planProxies, 1}},
			Mechanism: "owner of discovery", File: "internal/duty/discovery.go", Remedy: discoveryRemedy},
		{ID: "C5", Table: table, Role: role, What: "bytes of discovery with an owner, by servers", Unit: "B/s",
			Terms:     []Term{{Key{"discovery", "bytes", "B/s", byServers}, planServers, changeRate}},
			Mechanism: "owner of discovery", File: "internal/duty/discovery.go"},
	}
}

func foreignRows() []Row {
	const table, role = "not-ours", "not ours"
	return []Row{
		{ID: "T1", Table: table, Role: role, What: "all deliveries of one proxy as lines from servers", Unit: "% of a core", Budget: 100,
			Terms:  []Term{{processorByLines, proxyDeliveries, 1e-4}},
			Remedy: "one line for all listeners of a proxy"},
		{ID: "T2", Table: table, Role: role, What: "one message to the largest topic: lines at one proxy", Unit: "ms of a core",
			Terms: []Term{{processorByLines, proxyListeners, 1e-3}}},
		{ID: "T3", Table: table, Role: role, What: "one message to the largest topic: lines that servers send, a proxy's processor over all", Unit: "s of a core",
			Terms: []Term{{processorByLines, proxyListeners, planProxies * 1e-6}}},
		{ID: "T4", Table: table, Role: role, What: "a duty for each shard: the keepers' state", Unit: "MB", Budget: budgetMemory / 1e6,
			Terms:  []Term{{keeperState, planShards, 1e-6}},
			Remedy: "shards placed by ranges, leases by owner and not by shard"},
		{ID: "T5", Table: table, Role: role, What: "a duty for each shard: processor to renew all", Unit: "cores", Budget: 1,
			Terms:  []Term{{keeperRenewals, planShards, 1e-6 / leaseRenewal}},
			Remedy: "shards placed by ranges, leases by owner and not by shard"},
	}
}

// Bounds are the program's constants that the planned size meets.
func Bounds() []Bound {
	return []Bound{
		{ID: "B1", What: "descriptors of a proxy, two for each connection (bound: of the measuring machine)", Need: 2*proxyConnections + 512, Bound: 20_000,
			Remedy: "a higher limit of the machine; the program has none of its own"},
		{ID: "B2", What: "members that one process knows", Need: planProxies, Bound: 4096, Text: "mostMembers = 4096",
			File: "internal/peers/config.go", Remedy: memberRemedy},
		{ID: "B3", What: "sessions that the keepers remember, of all that claim", Need: planProxies, Bound: 2048, Text: "maxSessions = 2048",
			File: "internal/keeper/state.go", Remedy: "claims by few, as few own anything"},
		{ID: "B4", What: "bytes of a word, for the whole list", Terms: []Term{{wordBytes, planServers, 1}}, Bound: 900 * 256,
			Text: "maxFragments = 256", File: "internal/mesh/fragment.go", Remedy: listRemedy},
		{ID: "B5", What: "servers in a word", Need: planServers, Bound: 10_000, Text: "mostTargets = 10000", File: "internal/duty/discovery.go",
			Remedy: listRemedy},
		{ID: "B6", What: "processes that tell what they saw of servers", Need: planProxies, Bound: 1024, Text: "MaxWriters: 1_024",
			File: "internal/shared/evidence/evidence.go", Remedy: "verdicts by zone"},
		{ID: "B7", What: "seconds until all watches of discovery are open after an outage, at the 17 calls a second seen at 80 processes",
			Need: planProxies / callsAt80, Bound: planChangeWithin, Text: "ListLease = 6 * time.Second", File: "internal/routes/lease.go",
			Remedy: discoveryRemedy},
		{ID: "B9", What: "seconds until all watches are open, did discovery take a call of each process in 6.4 s as for 32 processes", Need: callPeriod, Bound: planChangeWithin,
			Text: "ListLease = 6 * time.Second", File: "internal/routes/lease.go", Remedy: discoveryRemedy},
		{ID: "B8", What: "duties, if each shard is one", Need: planShards, Bound: mostLeases, Text: "maxLeases = 256",
			File: "internal/keeper/state.go", Remedy: "shards placed by ranges, leases by owner and not by shard"},
	}
}

// quantity is one line of the plan's arithmetic.
type quantity struct {
	what  string
	value float64
}

func arithmetic() []quantity {
	return []quantity{
		{"connections a proxy", proxyConnections},
		{"deliveries a second a proxy", proxyDeliveries},
		{"listeners of the largest topic a proxy", proxyListeners},
		{"changes a second, mean", changeRate},
		{"changes a second, burst: a day's within an hour", burstRate},
		{"changes under way in a burst, each for the 6 s that it may take", burstRate * planChangeWithin},
		{"proxies a control machine", controlProxies},
		{"proxies a zone", zoneProxies},
		{"connections that each other proxy takes over when a zone is lost", takenOver},
		{"connections a proxy then", proxyConnections + takenOver},
		{"seconds between two restarts or replacements", float64(daySeconds) / planRestarts},
		{"minutes between two failures of machines", float64(daySeconds) / planFailures / 60},
		{"servers (assumed)", planServers},
	}
}
