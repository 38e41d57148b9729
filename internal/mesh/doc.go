// Package mesh exchanges messages between the processes of a fleet over one UDP socket per process:
// membership gossip, Raft messages between the keepers, lease requests, and the announcements that
// lease owners publish. The protocol decisions are made in packages peers, keeper and owner, which
// do no I/O; a Node sends and receives on their behalf and reports changes to the program through
// callbacks.
//
// An announcement is the latest state that the owner of a lease has published, such as the list of
// servers. It is pushed to a few random members, each of which pushes it further, and every member
// periodically pulls newer announcements from another member. The owner's fencing token is part of
// an announcement's id, so announcements of former owners are refused. Each pull response also
// carries the time that has passed since the owner last confirmed the announcement.
package mesh
