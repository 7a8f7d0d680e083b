package versions

import (
	"slices"

	"tamarindshore/client/tables"
)

// View is an immutable copy of the version list of a Chain, safe for concurrent use.
type View struct {
	versions []*Version
	head     *Version
}

// View returns the currently kept versions.
func (c *Chain) View() View { return View{versions: slices.Clone(c.versions), head: c.Head()} }

// Head returns the newest version of the manager's epoch, or nil if there is none.
func (v View) Head() *Version { return v.head }

// deltaFrom returns a delta to the newest version. Its base is the replica's version if that is kept and no snapshot is
// needed, otherwise the empty state, which makes the delta a snapshot.
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
		if !needsSnapshot && versionRef(kept) == version {
			base = kept.State
			delta.Base = kept.ID
			delta.BaseDigest = kept.Digest
		}
	}
	delta.Ops = tables.Diff(base, v.head.State)
	return delta
}

func versionRef(version *Version) tables.VersionRef {
	return tables.VersionRef{ID: version.ID, Digest: version.Digest}
}
