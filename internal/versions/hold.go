package versions

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// phase says how far the tables follow the load balancer's decisions.
type phase int

const (
	following phase = iota // the tables follow the load balancer's decisions
	holding                // an operator holds the tables; only urgent changes are made
	resuming               // after a hold, the tables change in small steps until a version needs no limit
)

// hold is a period in which the load balancer must keep the tables as they were, or as a rollback restored them.
type hold struct {
	key          string       // idempotency key of the operator's command
	target       tables.ID    // version rolled back to; zero if the tables are held without a rollback
	pinned       PinnedTables // tables that the load balancer must keep
	pinnedWeight float64      // total weight of pinned
	since        time.Duration
	until        time.Duration
}

// HoldStatus describes the hold in force.
type HoldStatus struct {
	Key               string    // idempotency key of the operator's command
	Target            tables.ID // version rolled back to; zero if the tables are held without a rollback
	Since, Until      time.Time
	RemainingFraction float64 // fraction of the held weight on servers that are available now
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

// endResuming ends the small steps after a hold, once a version needed no limit.
func (c *Chain) endResuming() {
	if c.phase == resuming {
		c.phase = following
	}
}

// holdDuration validates the requested duration of a hold; 0 selects the default.
func (c *Chain) holdDuration(requested time.Duration) (time.Duration, error) {
	if requested == 0 {
		return c.settings.DefaultHold, nil
	}
	if requested < time.Second || requested > c.settings.MaxHold {
		return 0, fmt.Errorf("%w: a hold must last from 1s to %v, not %v", ErrRefused, c.settings.MaxHold, requested)
	}
	return requested, nil
}

// RollBack restores the weights of a version for the servers that are available now, and holds them. It is refused if a
// table would be left without a server, or if the tables have been renumbered since. If a rollback to the version was
// completed under the same key, it does nothing and executed is false. Errors wrap ErrRefused.
func (c *Chain) RollBack(
	now time.Duration, target tables.ID, key string, duration time.Duration, view FleetView,
) (completed CompletedCommand, executed bool, err error) {
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
			return fmt.Errorf("%w: version %v has the table layout %q, the current layout is %q", ErrRefused, target, version.Layout, c.layout)
		}
		pinned, err := c.withAvailableServers(version.State, view)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		c.beginHold(key, target, pinned, duration)
		return nil
	})
}

// withAvailableServers returns the tables of a state, restricted to servers that are available now. The weight of a
// warming server is multiplied by its warm fraction.
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
			return pinned, fmt.Errorf(
				"table %d would have no server: all %d servers that it had in the target version are gone, draining or unresponsive",
				id, len(state.Table(id).Weights))
		}
	}
	return pinned, nil
}

// Hold keeps the tables as they are. If a hold was completed under the same key, it does nothing and executed is false.
// Errors wrap ErrRefused.
func (c *Chain) Hold(now time.Duration, key string, duration time.Duration) (completed CompletedCommand, executed bool, err error) {
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

// Resume ends the hold in force. If a resume was completed under the same key, it does nothing and executed is false.
// Errors wrap ErrRefused.
func (c *Chain) Resume(now time.Duration, key string) (completed CompletedCommand, executed bool, err error) {
	return c.runOnce(now, key, "resume", func() error {
		if c.phase != holding {
			return fmt.Errorf("%w: no hold is in force", ErrRefused)
		}
		c.endHold()
		return nil
	})
}

// Pinned returns the tables that the load balancer must keep, or false if no hold is in force.
func (c *Chain) Pinned() (PinnedTables, bool) {
	if c.phase != holding {
		return PinnedTables{}, false
	}
	return c.hold.pinned, true
}

// EndExpiredHold ends a hold that has expired, or of whose weight too little is left on available servers. It reports
// whether it ended the hold.
func (c *Chain) EndExpiredHold(now time.Duration, view FleetView) (records []balancer.LogRecord, ended bool) {
	c.now = now
	if c.phase != holding {
		return nil, false
	}
	remaining := c.remainingFraction(view)
	fields := []balancer.LogField{logField("key", c.hold.key)}
	switch {
	case now >= c.hold.until:
		duration := c.hold.until - c.hold.since
		fields = append(fields, logField("reason", "expired"), decimalLogField("held_seconds", duration.Seconds(), 0))
	case remaining < c.settings.MinHeldFraction:
		fields = append(fields, logField("reason", "servers_unavailable"),
			decimalLogField("remaining_fraction", remaining, 2), decimalLogField("limit", c.settings.MinHeldFraction, 2))
	default:
		return nil, false
	}
	c.endHold()
	return []balancer.LogRecord{{Event: eventHoldEnded, Fields: fields}}, true
}

// remainingFraction returns the fraction of the held weight on servers that are available now.
func (c *Chain) remainingFraction(view FleetView) float64 {
	remaining := c.hold.pinned.sumWeights(func(server balancer.ServerID) bool { return view.ServerStatus(server).Available })
	return remaining / max(c.hold.pinnedWeight, minPinnedWeight)
}

// minPinnedWeight replaces a total weight of 0 as the divisor if empty tables are held; such a hold ends at once.
const minPinnedWeight = 1e-9

func (p PinnedTables) totalWeight() float64 {
	return p.sumWeights(func(balancer.ServerID) bool { return true })
}

// sumWeights returns the total weight of the included servers. The order of summation is fixed, because rounding would
// otherwise make the result vary between calls.
func (p PinnedTables) sumWeights(include func(balancer.ServerID) bool) float64 {
	sum := 0.0
	for _, table := range slices.Sorted(maps.Keys(p.Weights)) {
		weights := p.Weights[table]
		for _, server := range slices.Sorted(maps.Keys(weights)) {
			if include(server) {
				sum += weights[server]
			}
		}
	}
	return sum
}

// CurrentHold returns the status of the hold in force, or false if there is none.
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
