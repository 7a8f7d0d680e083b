package subset

import (
	"cmp"
	"fmt"
	"slices"

	"tamarindshore/balancer"
)

// EventSubsetWidened is the log event of a widening. Its field factor is the new factor on the configured number of
// spill servers.
const EventSubsetWidened balancer.LogEvent = "subset_widened"

// queueUpdate adds a server to the pending update unless it is unpublished.
func (s *Subset) queueUpdate(r *record) {
	if r.phase != phaseUnpublished && !r.queued {
		r.queued = true
		s.pending.Servers = append(s.pending.Servers, Server{Endpoint: balancer.Endpoint{Server: r.server.Server}})
	}
}

// logWidened adds a log record of a widening to the pending update.
func (s *Subset) logWidened() {
	factor := balancer.LogField{Name: "factor", Value: fmt.Sprintf("%.1f", s.width.factor)}
	record := balancer.LogRecord{Event: EventSubsetWidened, Fields: []balancer.LogField{factor}}
	s.pending.LogRecords = append(s.pending.LogRecords, record)
}

// takeUpdate returns the pending update at the end of an input. It holds each queued server once, in its latest state.
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
		update.Servers[i] = record.publishedEntry()
	}
	if update.Complete { // the balancer removes servers that are absent from a complete list
		update.Servers = slices.DeleteFunc(update.Servers, func(server Server) bool { return server.State == balancer.Removed })
	}
	slices.SortFunc(update.Servers, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	return update
}
