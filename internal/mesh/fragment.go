package mesh

// fragmentBytes is the payload of one fragment of a message, and maxFragments the maximum number of
// fragments of a message.
const (
	fragmentBytes = 900
	maxFragments  = 256
)

// fragments splits data into parts that fit one datagram each. Empty data yields one empty part.
func fragments(data []byte) [][]byte {
	count := max((len(data)+fragmentBytes-1)/fragmentBytes, 1)
	parts := make([][]byte, count)
	for i := range parts {
		parts[i] = data[i*fragmentBytes : min((i+1)*fragmentBytes, len(data))]
	}
	return parts
}

// reassembly combines the fragments of one message, which may arrive in any order. Its memory use
// grows with the data received, not with the count that a fragment claims.
type reassembly struct {
	parts map[int][]byte
	count int
	size  int // total bytes of parts
}

// add stores fragment index of count. It returns the complete message once all fragments have
// arrived, and nil before.
func (r *reassembly) add(index, count int, data []byte) []byte {
	if count < 1 || count > maxFragments || index < 0 || index >= count || len(data) > MaxDatagram {
		return nil
	}
	if r.parts == nil || r.count != count {
		r.parts, r.count, r.size = make(map[int][]byte), count, 0
	}
	if _, duplicate := r.parts[index]; !duplicate {
		r.parts[index] = append([]byte(nil), data...)
		r.size += len(data)
	}
	if len(r.parts) < count {
		return nil
	}
	return r.join()
}

// join returns the concatenated parts and clears the reassembly.
func (r *reassembly) join() []byte {
	whole := make([]byte, 0, r.size)
	for i := range r.count {
		whole = append(whole, r.parts[i]...)
	}
	r.parts = nil
	return whole
}
