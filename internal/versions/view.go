package versions

import (
	"slices"

	"tamarindshore/client/tables"
)

// View is the versions that a chain keeps at one time. It never changes, so it is safe for use by several goroutines.
type View struct {
	versions []*Version
	head     *Version
}

// View returns the versions that are kept now.
func (c *Chain) View() View { return View{versions: slices.Clone(c.versions), head: c.Head()} }

// Head returns the newest version; nil before the first.
func (v View) Head() *Version { return v.head }

// deltaFrom returns the delta that leads a replica to the newest version: from its own version if that is kept and no
// snapshot is needed, else from the empty state.
func (v View) deltaFrom(version tables.VersionRef, needsSnapshot bool) *tables.Delta {
	base := tables.EmptyState()
	delta := &tables.Delta{
		ID:          v.head.ID,
		BaseDigest:  base.Digest(),
		Digest:      v.head.Digest,
		CreatedAtMs: uint64(v.head.CreatedAt.UnixMilli()),
		Cause:       v.head.Cause,
	}
	for _, kept := range v.versions {
		if !needsSnapshot && refOf(kept) == version {
			base = kept.State
			delta.Base = kept.ID
			delta.BaseDigest = kept.Digest
		}
	}
	delta.Ops = tables.Diff(base, v.head.State)
	return delta
}

func refOf(version *Version) tables.VersionRef {
	return tables.VersionRef{ID: version.ID, Digest: version.Digest}
}
