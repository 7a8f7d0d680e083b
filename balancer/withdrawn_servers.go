package balancer

import "slices"

// maxWithdrawnServers bounds the ids that withdrawnServers keeps.
const maxWithdrawnServers = 1 << 14

// withdrawnServers holds the ids of servers whose state was deleted while they were withdrawn. The proxies keep a withdrawal
// until it ends, so such a server must be restored if the endpoint list names it again. Beyond maxWithdrawnServers the oldest
// ids are dropped.
type withdrawnServers struct {
	ids   map[ServerID]bool
	order []ServerID // in order of deletion
}

func (w *withdrawnServers) add(id ServerID) {
	if w.ids == nil {
		w.ids = map[ServerID]bool{}
	}
	w.ids[id] = true
	w.order = append(w.order, id)
	if len(w.order) > maxWithdrawnServers {
		delete(w.ids, w.order[0])
		w.order = slices.Delete(w.order, 0, 1)
	}
}

// remove removes an id and reports whether it was there.
func (w *withdrawnServers) remove(id ServerID) bool {
	if !w.ids[id] {
		return false
	}
	delete(w.ids, id)
	w.order = slices.DeleteFunc(w.order, func(other ServerID) bool { return other == id })
	return true
}
