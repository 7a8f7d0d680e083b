package versions

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

// StoredListIsNewer tells whether a manager that starts is to begin with its stored server list rather than with the one
// of its start options: where the stored one has servers and a later generation. Where service discovery restarted
// meanwhile, its generation is lower; its list then replaces the stored one as it would in a running manager.
func StoredListIsNewer(configured, stored int64, storedServers int) bool {
	return storedServers > 0 && stored > configured
}

// ApplyStoredDrains corrects a server list by the drains that were in force when the manager ended: a list older than a
// drain would give that server requests again. A server that started since then is another process. The start times of
// entries count from startedAt, the manager's start.
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
