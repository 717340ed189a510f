package fleet

import (
	"fmt"
	"maps"
	"slices"
)

// relaysPerLink is the number of hosts of a cell that send its states to another cell. With
// two, the loss of one causes no delay.
const relaysPerLink = 2

// Links returns the hosts of other cells to which the host streams the states of its cell.
// For each other cell, two live hosts of this cell are relays, and each of them has a host of
// the other cell to send to. Hosts that aren't live are chosen only where no other is left;
// the attempt then decides which of them, so that a later attempt tries the next one.
//
// Hosts with the same list choose the same relays. Where their lists or their views of live
// hosts differ, a cell has more or fewer relays for a while.
func (x *CellIndex) Links(isLive func(host string) bool, attempt int) []string {
	if len(x.hosts) <= maxSingleCellHosts {
		return nil
	}
	ownCell, cells := x.allCells()
	names := slices.Sorted(maps.Keys(cells))
	ownIndex := slices.Index(names, ownCell)
	isRelay := func(host string) bool { return host == x.self || isLive(host) }
	var targets []string
	for index, cell := range names {
		if cell == ownCell {
			continue
		}
		var relays []string
		for rank := range relaysPerLink {
			relay, found := nextOf(cells[ownCell], turn(index, rank, len(cells[ownCell])), func(host string) bool {
				return isRelay(host) && !slices.Contains(relays, host)
			})
			if !found {
				break
			}
			relays = append(relays, relay)
			if relay == x.self {
				targets = append(targets, target(cells[cell], turn(ownIndex, rank, len(cells[cell])), isLive, attempt))
			}
		}
	}
	return targets
}

// turn returns the position of the member whose turn it is to have a duty of the given rank
// for the cell of that index, so that each member has equally many.
func turn(index, rank, members int) int {
	return index + rank*(1+index/members)
}

// nextOf returns the first member from the position on that passes.
func nextOf(members []string, position int, passes func(string) bool) (string, bool) {
	for n := range members {
		if member := members[(position+n)%len(members)]; passes(member) {
			return member, true
		}
	}
	return "", false
}

// target returns the member of a cell to which a relay sends.
func target(members []string, position int, isLive func(string) bool, attempt int) string {
	if live, ok := nextOf(members, position, isLive); ok {
		return live
	}
	return members[(position+attempt)%len(members)]
}

// allCells returns the hosts of all cells by the cells' names, and the name of this host's.
func (x *CellIndex) allCells() (own string, cells map[string][]string) {
	cells = map[string][]string{}
	for dc, hosts := range x.hostsByDC {
		_, count := cellPosition("", hosts)
		for position, host := range hosts {
			name := fmt.Sprint(dc, "/", position%count)
			cells[name] = append(cells[name], host)
			if host == x.self {
				own = name
			}
		}
	}
	return own, cells
}
