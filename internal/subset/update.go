package subset

import (
	"cmp"
	"fmt"
	"slices"

	"tamarindshore/balancer"
)

// EventSubsetWidened is the event of a log record. It has factor: on the stated number of spill servers.
const EventSubsetWidened balancer.LogEvent = "subset_widened"

// queueUpdate publishes a server at the end of the input, if the balancer may know it.
func (s *Subset) queueUpdate(r *record) {
	if r.phase != phaseOutside && !r.queued {
		r.queued = true
		s.pending.Servers = append(s.pending.Servers, Server{Endpoint: balancer.Endpoint{Server: r.server.Server}})
	}
}

// logWidened records that the subset was widened.
func (s *Subset) logWidened() {
	factor := balancer.LogField{Name: "factor", Value: fmt.Sprintf("%.1f", s.width.factor)}
	record := balancer.LogRecord{Event: EventSubsetWidened, Fields: []balancer.LogField{factor}}
	s.pending.LogRecords = append(s.pending.LogRecords, record)
}

// takeUpdate ends an input: each server that was queued is published once, in its latest state.
func (s *Subset) takeUpdate() Update {
	update := s.pending
	s.pending = Update{}
	if update.Complete {
		update.Servers = update.Servers[:0]
		for id := range s.published {
			update.Servers = append(update.Servers, Server{Endpoint: balancer.Endpoint{Server: id}})
		}
	}
	for i, queued := range update.Servers {
		record := s.records[queued.Server]
		record.queued = false
		update.Servers[i] = record.entry()
	}
	if update.Complete { // a server that is absent from the whole list is removed
		update.Servers = slices.DeleteFunc(update.Servers, func(one Server) bool { return one.State == balancer.Removed })
	}
	slices.SortFunc(update.Servers, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	return update
}
