package slots

import "time"

// doubts are the data centres that may be cut off from this host. It answers a
// cut: each attempt at an upstream beyond it costs a connection timeout, which is
// longer than callers want to wait. One request or item at a time finds out
// whether the upstreams are in reach, as they are when only their data centre's
// hosts are gone.
type doubts struct {
	unheard map[string]bool // data centres none of whose hosts is heard
	reached map[string]bool // those of them whose upstreams have answered since
	probes  map[string]*Run // the run that finds out, by data centre
}

// SetUnheard sets the data centres that have hosts none of which is heard.
func (b *Board) SetUnheard(dataCentres map[string]bool) {
	for dc := range b.doubts.unheard {
		if !dataCentres[dc] {
			delete(b.doubts.reached, dc)
			delete(b.doubts.probes, dc)
		}
	}
	b.doubts.unheard = dataCentres
}

// doubtful reports whether the upstream may be out of reach.
func (b *Board) doubtful(u *upstream) bool {
	return b.doubts.unheard[u.DataCentre] && !b.doubts.reached[u.DataCentre]
}

// closed reports whether no further work goes to the upstream until it is known
// to be in reach.
func (b *Board) closed(u *upstream) bool {
	return b.doubtful(u) && b.doubts.probes[u.DataCentre] != nil
}

// noteProbe makes a run at a doubtful upstream the one that finds out.
func (b *Board) noteProbe(r *Run) {
	if u, ok := b.upstreams[r.Upstream]; ok && b.doubtful(u) {
		b.doubts.probes[u.DataCentre] = r
	}
}

// endProbe lets another run find out, if this one was to.
func (b *Board) endProbe(r *Run) {
	for dc, probe := range b.doubts.probes {
		if probe == r {
			delete(b.doubts.probes, dc)
		}
	}
}

// failedInDoubt takes a failure at a doubtful upstream for all of its data
// centre.
func (b *Board) failedInDoubt(u *upstream, now time.Time) {
	if !b.doubts.unheard[u.DataCentre] {
		return
	}
	if b.doubts.reached[u.DataCentre] {
		delete(b.doubts.reached, u.DataCentre)
		return
	}
	for _, other := range b.upstreams {
		if other != u && other.DataCentre == u.DataCentre {
			other.fail(now)
		}
	}
}

// placeProbe picks a doubtful upstream for a batch item, which loses nothing by
// a failure.
func (b *Board) placeProbe(service string, now time.Time) (string, bool) {
	for id, u := range b.upstreams {
		if b.doubtful(u) && !b.closed(u) && u.usable(service, now) && u.free(now) > 0 && b.isHome(id) {
			return id, true
		}
	}
	return "", false
}
