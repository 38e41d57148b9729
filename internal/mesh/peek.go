package mesh

// PeekAnnouncementID returns the id of the announcement of which a datagram carries a fragment. It
// is meant for test rigs that inspect the traffic between processes. ok is false if the datagram
// carries none.
func PeekAnnouncementID(datagram []byte, cluster string) (id AnnouncementID, ok bool) {
	e, err := decode(datagram, cluster)
	if err != nil || e.Announcement == nil {
		return AnnouncementID{}, false
	}
	return e.Announcement.ID, true
}
