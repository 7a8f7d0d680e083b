package versions

import (
	"errors"
	"fmt"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Chain holds the versions that were sent, each with the digest of the one before it, and the hold in force.
type Chain struct {
	settings    Settings
	now         time.Duration
	versions    []*Version // oldest first
	size        int        // estimated bytes of versions
	layout      string     // how the tables are numbered now
	state       *tables.State
	failedCheck string // name of the check that the last proposal failed; empty: it passed
	phase       phase
	hold        hold // while phase is holding
	completed   []CompletedCommand
}

// New returns a chain without versions.
func New(settings Settings) *Chain {
	return &Chain{settings: settings, state: tables.EmptyState()}
}

// Recover takes over the versions and commands of earlier epochs: rollbacks may lead to these versions, and a completed
// command is not carried out again. The current state stays empty, as the tables of a manager that starts are.
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

// Verify follows the kept versions from each to the next and compares their states. It returns one line for each version
// that can't be followed, and a summary.
func (c *Chain) Verify() (lines []string, err error) {
	for i, version := range c.versions {
		if digest := version.State.Digest(); digest != version.Digest {
			return lines, fmt.Errorf("version %v: its state is %v, not %v", version.ID, digest, version.Digest)
		}
		if i == 0 || c.versions[i-1].Digest != version.Parent {
			lines = append(lines, fmt.Sprintf("%v %v holds; what it came from is not kept", version.ID, version.Digest))
			continue
		}
		state, err := c.versions[i-1].State.Apply(version.Ops)
		if err != nil || state.Digest() != version.Digest {
			return lines, fmt.Errorf("version %v does not follow from the one before it", version.ID)
		}
	}
	return append(lines, fmt.Sprintf("%d versions hold", len(c.versions))), nil
}

// SetLayout tells how the tables are numbered from now on.
func (c *Chain) SetLayout(layout string) { c.layout = layout }

// Head returns the newest version of this epoch; nil before the first.
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

// State returns the state of the newest version of this epoch.
func (c *Chain) State() *tables.State { return c.state }

// CurrentTables returns that state in the load balancer's terms.
func (c *Chain) CurrentTables() PinnedTables { return pinnedTables(c.state) }

// Versions returns the kept versions, oldest first. The caller must not change them.
func (c *Chain) Versions() []*Version { return c.versions }

// FindVersion returns a kept version.
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
	return nil, fmt.Errorf("version %v is not kept: %v to %v are", id, oldest, newest)
}

var errNoVersion = errors.New("no version was sent yet")

// appendVersion makes a state the newest version, and drops the oldest ones beyond the limits.
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
		size:      estimateSize(len(ops), changedWeights(state, ops)),
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

// changedWeights is how many weights the tables have that operations change: they are copied for the version, the other
// tables are shared with the one before it.
func changedWeights(state *tables.State, ops []tables.Op) int {
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

// estimateSize is about how many bytes a version takes.
func estimateSize(ops, weights int) int {
	const (
		versionBytes = 200
		opBytes      = 64
		weightBytes  = 48
	)
	return versionBytes + opBytes*ops + weightBytes*weights
}

// dropOldest drops the oldest versions beyond the limits; the newest stays.
func (c *Chain) dropOldest() {
	for len(c.versions) > 1 && (len(c.versions) > c.settings.MaxVersions || c.size > c.settings.MaxVersionBytes) {
		c.size -= c.versions[0].size
		c.versions[0] = nil
		c.versions = c.versions[1:]
	}
}

// HandleBarrierAck tells that the commands before a barrier were carried out.
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

// acknowledgeUpTo marks a version and those before it, back to the last that is marked.
func (c *Chain) acknowledgeUpTo(index int) {
	for ; index >= 0 && !c.versions[index].Acknowledged; index-- {
		c.versions[index].Acknowledged = true
	}
}

// PossibleBases returns the versions that may be in force at the proxies, newest first: the newest, and those before it
// that were not acknowledged, back to the last that was.
func (c *Chain) PossibleBases() (ids []tables.ID) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		ids = append(ids, c.versions[i].ID)
		if c.versions[i].Acknowledged {
			break
		}
	}
	return ids
}
