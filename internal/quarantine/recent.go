package quarantine

// recentSet holds the fingerprints that were added last.
type recentSet struct {
	members map[Fingerprint]bool
	ring    []Fingerprint // in the order in which they were added
	next    int           // position in ring that is overwritten next
}

func newRecentSet(size int) recentSet {
	return recentSet{members: make(map[Fingerprint]bool, size), ring: make([]Fingerprint, 0, size)}
}

func (r *recentSet) has(f Fingerprint) bool { return r.members[f] }

func (r *recentSet) add(f Fingerprint) {
	if r.members[f] {
		return
	}
	r.members[f] = true
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, f)
		return
	}
	delete(r.members, r.ring[r.next])
	r.ring[r.next] = f
	r.next = (r.next + 1) % len(r.ring)
}
