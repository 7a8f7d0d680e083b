package versions

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// phase is whether the tables follow the load balancer's decisions.
type phase int

const (
	following phase = iota // they do
	holding                // an operator holds them, but for what is urgent
	resuming               // after a hold: by small steps, until a version needs none
)

// hold is a time in which the tables are held.
type hold struct {
	key          string    // of the operator's command
	target       tables.ID // the version rolled back to; zero: the tables are held as they were
	pinned       PinnedTables
	pinnedWeight float64 // in all
	since        time.Duration
	until        time.Duration
}

// HoldStatus describes the hold in force.
type HoldStatus struct {
	Key               string    // of the operator's command
	Target            tables.ID // the version rolled back to; zero: the tables are held as they were
	Since, Until      time.Time
	RemainingFraction float64 // of the held weight that available servers have
}

func (c *Chain) beginHold(key string, target tables.ID, pinned PinnedTables, duration time.Duration) {
	c.phase = holding
	c.hold = hold{
		key:          key,
		target:       target,
		pinned:       pinned,
		pinnedWeight: pinned.totalWeight(),
		since:        c.now,
		until:        c.now + duration,
	}
}

func (c *Chain) endHold() {
	c.phase = resuming
	c.hold = hold{}
}

// endResuming tells that a version needed no limit.
func (c *Chain) endResuming() {
	if c.phase == resuming {
		c.phase = following
	}
}

// holdDuration checks for how long tables are to be held; 0: the default.
func (c *Chain) holdDuration(requested time.Duration) (time.Duration, error) {
	if requested == 0 {
		return c.settings.DefaultHold, nil
	}
	if requested < time.Second || requested > c.settings.MaxHold {
		return 0, fmt.Errorf("%w: a hold lasts from 1s to %v", ErrRefused, c.settings.MaxHold)
	}
	return requested, nil
}

// RollBack goes back to the weights of a version, as far as its servers are available now, and holds them. It is refused
// where that would leave a table without a server, and where the tables were numbered otherwise. Under the key of a
// completed rollback to that version it does nothing, and fresh is false. Errors wrap ErrRefused.
func (c *Chain) RollBack(now time.Duration, target tables.ID, key string, duration time.Duration, view FleetView) (completed CompletedCommand, fresh bool, err error) {
	return c.runOnce(now, key, "rollback to "+target.String(), func() error {
		duration, err := c.holdDuration(duration)
		if err != nil {
			return err
		}
		version, err := c.FindVersion(target)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		if version.Layout != c.layout {
			return fmt.Errorf("%w: the tables were laid out otherwise: %s then, %s now", ErrRefused, version.Layout, c.layout)
		}
		pinned, err := c.withAvailableServers(version.State, view)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		c.beginHold(key, target, pinned, duration)
		return nil
	})
}

// withAvailableServers returns the tables of a state with the servers that are available now; a warming one gets its
// warm fraction.
func (c *Chain) withAvailableServers(state *tables.State, view FleetView) (PinnedTables, error) {
	pinned := pinnedTables(state)
	for _, id := range c.state.TableIDs() {
		weights := pinned.Weights[balancer.TableID(id)]
		for server, weight := range weights {
			status := view.ServerStatus(server)
			if !status.Known || !status.Available {
				delete(weights, server)
			} else if status.WarmFraction < 1 {
				weights[server] = weight * status.WarmFraction
			}
		}
		if len(weights) == 0 && len(c.state.Table(id).Weights) > 0 {
			return pinned, fmt.Errorf("table %d would have no server: all %d that it named then are gone, drain or don't answer",
				id, len(state.Table(id).Weights))
		}
	}
	return pinned, nil
}

// Hold keeps the tables as they are. Under the key of a completed hold it does nothing, and fresh is false. Errors wrap
// ErrRefused.
func (c *Chain) Hold(now time.Duration, key string, duration time.Duration) (completed CompletedCommand, fresh bool, err error) {
	return c.runOnce(now, key, "hold", func() error {
		duration, err := c.holdDuration(duration)
		if err != nil {
			return err
		}
		if c.Head() == nil {
			return fmt.Errorf("%w: %w", ErrRefused, errNoVersion)
		}
		c.beginHold(key, tables.ID{}, c.CurrentTables(), duration)
		return nil
	})
}

// Resume ends the hold in force. Under the key of a completed resume it does nothing, and fresh is false. Errors wrap
// ErrRefused.
func (c *Chain) Resume(now time.Duration, key string) (completed CompletedCommand, fresh bool, err error) {
	return c.runOnce(now, key, "resume", func() error {
		if c.phase != holding {
			return fmt.Errorf("%w: nothing is held", ErrRefused)
		}
		c.endHold()
		return nil
	})
}

// Pinned returns the tables that the load balancer is to keep; false: there is no hold.
func (c *Chain) Pinned() (PinnedTables, bool) {
	if c.phase != holding {
		return PinnedTables{}, false
	}
	return c.hold.pinned, true
}

// EndExpiredHold ends a hold whose time is over, or whose servers have become unavailable, and tells whether it did.
func (c *Chain) EndExpiredHold(now time.Duration, view FleetView) (records []balancer.LogRecord, ended bool) {
	c.now = now
	if c.phase != holding {
		return nil, false
	}
	remaining := c.remainingFraction(view)
	fields := []balancer.LogField{field("key", c.hold.key)}
	switch {
	case now >= c.hold.until:
		held := c.hold.until - c.hold.since
		fields = append(fields, field("reason", "expired"), decimals("held_seconds", held.Seconds(), 0))
	case remaining < c.settings.MinHeldFraction:
		fields = append(fields, field("reason", "servers_unavailable"),
			decimals("remaining_fraction", remaining, 2), decimals("limit", c.settings.MinHeldFraction, 2))
	default:
		return nil, false
	}
	c.endHold()
	return []balancer.LogRecord{{Event: eventHoldEnded, Fields: fields}}, true
}

// remainingFraction is the part of the held weight that available servers have.
func (c *Chain) remainingFraction(view FleetView) float64 {
	remaining := c.hold.pinned.sumWeights(func(server balancer.ServerID) bool { return view.ServerStatus(server).Available })
	return remaining / max(c.hold.pinnedWeight, minPinnedWeight)
}

// minPinnedWeight stands in for the weight of a hold of empty tables, which ends at once.
const minPinnedWeight = 1e-9

func (p PinnedTables) totalWeight() float64 {
	return p.sumWeights(func(balancer.ServerID) bool { return true })
}

// sumWeights adds up the weights of some servers, in a fixed order so that the sum is the same each time.
func (p PinnedTables) sumWeights(counts func(balancer.ServerID) bool) float64 {
	sum := 0.0
	for _, table := range slices.Sorted(maps.Keys(p.Weights)) {
		weights := p.Weights[table]
		for _, server := range slices.Sorted(maps.Keys(weights)) {
			if counts(server) {
				sum += weights[server]
			}
		}
	}
	return sum
}

// CurrentHold describes the hold in force; false: there is none.
func (c *Chain) CurrentHold(view FleetView) (HoldStatus, bool) {
	if c.phase != holding {
		return HoldStatus{}, false
	}
	return HoldStatus{
		Key:               c.hold.key,
		Target:            c.hold.target,
		Since:             c.wallTime(c.hold.since),
		Until:             c.wallTime(c.hold.until),
		RemainingFraction: c.remainingFraction(view),
	}, true
}
