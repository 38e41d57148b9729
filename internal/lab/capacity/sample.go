// Package capacity turns measured costs into slopes: what a role of the system pays for each unit of a thing that
// grows, such as processes, servers or connections, and what that comes to at a planned size.
package capacity

// Sample is one measured cost of one role at one size.
type Sample struct {
	Role   string  `json:"role"`   // who pays: "proxy", "keeper", "duty owner", "discovery"
	Cost   string  `json:"cost"`   // what is paid: "bytes", "messages", "processor", "state", "allocations"
	Unit   string  `json:"unit"`   // of Value, such as "B/s" or "B"
	Driver string  `json:"driver"` // what grows: "proxies", "servers", "connections", "changes", "failures"
	Size   float64 `json:"size"`   // how many of the driver there were
	Value  float64 `json:"value"`
	Seed   uint64  `json:"seed"`
}
