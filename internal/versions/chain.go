package versions

import (
	"errors"
	"fmt"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Chain holds the history of sent versions, each linked to the previous one by its digest, and the hold in force.
type Chain struct {
	settings    Settings
	now         time.Duration
	versions    []*Version // oldest first
	size        int        // estimated size of versions in bytes
	layout      string     // how tables are numbered now
	state       *tables.State
	failedCheck string // name of the check that the last proposal failed; empty if it passed all
	phase       phase
	hold        hold               // valid only in phase holding
	completed   []CompletedCommand // oldest first
}

// New returns a Chain without versions.
func New(settings Settings) *Chain {
	return &Chain{settings: settings, state: tables.EmptyState()}
}

// Recover adds the stored versions and commands of earlier epochs: these versions are valid targets of a rollback, and a
// completed command is not carried out again. The current state stays empty, like the tables of a starting manager.
func (c *Chain) Recover(versions []*Version, completed []CompletedCommand) {
	for _, version := range versions {
		version.Acknowledged = true
		version.size = estimateSize(len(version.Ops), version.State.WeightCount())
		c.versions = append(c.versions, version)
		c.size += version.size
	}
	c.completed = append(c.completed, completed...)
	c.dropOldest()
}

// Verify checks the digest of each kept version, and that its operations lead from the previous version to it. It returns
// one line for each version whose previous version is not kept, and a summary.
func (c *Chain) Verify() (lines []string, err error) {
	for i, version := range c.versions {
		if digest := version.State.Digest(); digest != version.Digest {
			return lines, fmt.Errorf("version %v: its state has digest %v, expected %v", version.ID, digest, version.Digest)
		}
		if i == 0 || c.versions[i-1].Digest != version.Parent {
			lines = append(lines, fmt.Sprintf("version %v (%v): the state matches its digest; the previous version is not kept",
				version.ID, version.Digest))
			continue
		}
		state, err := c.versions[i-1].State.Apply(version.Ops)
		if err != nil || state.Digest() != version.Digest {
			return lines, fmt.Errorf("version %v does not follow from version %v: its operations don't lead to digest %v",
				version.ID, c.versions[i-1].ID, version.Digest)
		}
	}
	return append(lines, fmt.Sprintf("the digests of all %d versions match", len(c.versions))), nil
}

// SetLayout sets the numbering of the tables from now on.
func (c *Chain) SetLayout(layout string) { c.layout = layout }

// Head returns the newest version of this epoch, or nil if there is none.
func (c *Chain) Head() *Version {
	if len(c.versions) == 0 {
		return nil
	}
	newest := c.versions[len(c.versions)-1]
	if newest.ID.Epoch != c.settings.Epoch {
		return nil
	}
	return newest
}

// State returns the state of the newest version of this epoch, which is empty before the first.
func (c *Chain) State() *tables.State { return c.state }

// CurrentTables returns State as the load balancer's types.
func (c *Chain) CurrentTables() PinnedTables { return pinnedTables(c.state) }

// Versions returns the kept versions, oldest first. The caller must not change them.
func (c *Chain) Versions() []*Version { return c.versions }

// FindVersion returns the kept version with the given ID.
func (c *Chain) FindVersion(id tables.ID) (*Version, error) {
	for _, version := range c.versions {
		if version.ID == id {
			return version, nil
		}
	}
	if len(c.versions) == 0 {
		return nil, errNoVersion
	}
	oldest := c.versions[0].ID
	newest := c.versions[len(c.versions)-1].ID
	return nil, fmt.Errorf("version %v is not kept: the kept versions are %v to %v", id, oldest, newest)
}

var errNoVersion = errors.New("no version was sent yet")

// appendVersion adds a state as the newest version, and drops the oldest versions beyond the limits.
func (c *Chain) appendVersion(state *tables.State, cause string, barrier balancer.BarrierID, ops []tables.Op) *Version {
	number := uint64(1)
	if head := c.Head(); head != nil {
		number = head.ID.Number + 1
	}
	version := &Version{
		ID:        tables.ID{Epoch: c.settings.Epoch, Number: number},
		Parent:    c.state.Digest(),
		Digest:    state.Digest(),
		CreatedAt: c.wallTime(c.now),
		Cause:     cause,
		Layout:    c.layout,
		Ops:       ops,
		State:     state,
		Barrier:   barrier,
		size:      estimateSize(len(ops), countCopiedWeights(state, ops)),
	}
	if c.phase == holding {
		version.CommandKey = c.hold.key
	}
	c.state = state
	c.versions = append(c.versions, version)
	c.size += version.size
	c.dropOldest()
	return version
}

func (c *Chain) wallTime(sinceStart time.Duration) time.Time {
	return c.settings.StartedAt.Add(sinceStart)
}

// countCopiedWeights returns the number of weights in the tables that ops change. These tables are copied for the
// version; all others are shared with the previous version.
func countCopiedWeights(state *tables.State, ops []tables.Op) int {
	changed := map[uint32]bool{}
	for _, op := range ops {
		changed[op.Table] = true
	}
	weights := 0
	for table := range changed {
		weights += len(state.Table(table).Weights)
	}
	return weights
}

// estimateSize returns the approximate memory use of a version in bytes.
func estimateSize(opCount, weightCount int) int {
	const (
		versionBytes = 200
		opBytes      = 64
		weightBytes  = 48
	)
	return versionBytes + opBytes*opCount + weightBytes*weightCount
}

// dropOldest drops the oldest versions beyond the limits. It always keeps the newest.
func (c *Chain) dropOldest() {
	for len(c.versions) > 1 && (len(c.versions) > c.settings.MaxVersions || c.size > c.settings.MaxVersionBytes) {
		c.size -= c.versions[0].size
		c.versions[0] = nil
		c.versions = c.versions[1:]
	}
}

// HandleBarrierAck records that the proxies carried out all commands up to a barrier.
func (c *Chain) HandleBarrierAck(now time.Duration, barrier balancer.BarrierID) {
	c.now = now
	if barrier == 0 {
		return
	}
	for i := len(c.versions) - 1; i >= 0; i-- {
		if c.versions[i].Barrier == barrier {
			c.acknowledgeUpTo(i)
			return
		}
	}
}

// acknowledgeUpTo marks a version and all earlier unacknowledged ones as acknowledged.
func (c *Chain) acknowledgeUpTo(index int) {
	for ; index >= 0 && !c.versions[index].Acknowledged; index-- {
		c.versions[index].Acknowledged = true
	}
}

// PossibleBases returns the versions that the proxies may be using, newest first: every version sent since the last
// acknowledged one, and that one.
func (c *Chain) PossibleBases() (ids []tables.ID) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		ids = append(ids, c.versions[i].ID)
		if c.versions[i].Acknowledged {
			break
		}
	}
	return ids
}
