package mesh

// PeekAnnouncementID returns the id of the announcement that a datagram carries a part of, for test rigs that look at what passes between
// processes; ok is false if it carries none.
func PeekAnnouncementID(datagram []byte, cluster string) (id AnnouncementID, ok bool) {
	e, err := decode(datagram, cluster)
	if err != nil || e.Announcement == nil {
		return AnnouncementID{}, false
	}
	return e.Announcement.ID, true
}
