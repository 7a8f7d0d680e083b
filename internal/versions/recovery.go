package versions

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

// StoredListIsNewer reports whether a starting manager should use its stored server list instead of the one given by its
// start options: the stored list must have servers and a later generation. If service discovery restarted in the
// meantime, its generation is lower; its list then replaces the stored one later, as it would in a running manager.
func StoredListIsNewer(configured, stored int64, storedServers int) bool {
	return storedServers > 0 && stored > configured
}

// ApplyStoredDrains returns a copy of a server list in which the servers that were draining when the previous manager
// process ended are marked as draining. Without this, a list older than a drain would send requests to that server again.
// A server that started after its drain began is a new process and stays ready. The start times of entries count from
// startedAt, the manager's start.
func ApplyStoredDrains(entries []balancer.Endpoint, drains map[string]time.Time, startedAt time.Time) []balancer.Endpoint {
	entries = slices.Clone(entries)
	for i, entry := range entries {
		since, drained := drains[string(entry.Server)]
		if !drained || entry.State != balancer.Ready {
			continue
		}
		restarted := entry.RecentlyStarted && entry.Started > since.Sub(startedAt)
		if !restarted {
			entries[i].State = balancer.Draining
		}
	}
	return entries
}
