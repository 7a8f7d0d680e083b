package node

import (
	"slices"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// recoverVersions gives the stored versions, oldest first, with their states, and the completed commands by time.
func recoverVersions(stored store.Contents) (old []*versions.Version, completed []versions.CompletedCommand) {
	state := tables.EmptyState()
	for _, one := range stored.Versions {
		if one.Snapshot {
			state = tables.EmptyState()
		}
		next, err := state.Apply(one.Ops)
		if err != nil {
			return nil, nil // the store has checked them: to begin without history is safer than with a part of it
		}
		state = next
		old = append(old, recoverVersion(one, state))
	}
	for _, command := range stored.CompletedCommands {
		completed = append(completed, versions.CompletedCommand(command))
	}
	slices.SortFunc(completed, func(a, b versions.CompletedCommand) int { return a.CompletedAt.Compare(b.CompletedAt) })
	return old, completed
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
