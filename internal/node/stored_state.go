package node

import (
	"slices"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// recoverVersions returns the stored versions with their states, oldest first, and the completed commands, ordered by time
// of completion.
func recoverVersions(stored store.Contents) (recovered []*versions.Version, completed []versions.CompletedCommand) {
	state := tables.EmptyState()
	for _, version := range stored.Versions {
		if version.Snapshot {
			state = tables.EmptyState()
		}
		next, err := state.Apply(version.Ops)
		if err != nil {
			return nil, nil // unexpected, as the store has checked them: no history is safer than a part of it
		}
		state = next
		recovered = append(recovered, recoverVersion(version, state))
	}
	for _, command := range stored.CompletedCommands {
		completed = append(completed, versions.CompletedCommand(command))
	}
	slices.SortFunc(completed, func(a, b versions.CompletedCommand) int { return a.CompletedAt.Compare(b.CompletedAt) })
	return recovered, completed
}

func recoverVersion(stored store.Version, state *tables.State) *versions.Version {
	return &versions.Version{
		ID:         stored.ID,
		Parent:     stored.Parent,
		Digest:     stored.Digest,
		CreatedAt:  stored.CreatedAt,
		Cause:      stored.Cause,
		Layout:     stored.Layout,
		CommandKey: stored.CommandKey,
		Ops:        stored.Ops,
		State:      state,
	}
}
