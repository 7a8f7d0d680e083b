package versions

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// hold is a time in which the tables stay at what is pinned, but for what the rules demand.
type hold struct {
	key   string
	to    tables.ID // the version gone back to; zero: what stood
	pin   PinnedTables
	whole float64 // weight that is pinned
	since time.Duration
	until time.Duration
}

// Done is a command that was carried out, by its key.
type CompletedCommand struct {
	Key         string
	Command     string
	CompletedAt time.Time
	Head        tables.ID // the newest version then
}

// Held tells what is held.
type HoldStatus struct {
	Key               string
	Target            tables.ID
	Since, Until      time.Time
	RemainingFraction float64 // part of the weight that is pinned to servers that may get flows
}

var (
	// ErrRefused is wrapped by each refusal of a command, with the reason.
	ErrRefused = errors.New("refused")
	errKey     = fmt.Errorf("%w: a key of 1 to 64 characters is due", ErrRefused)
)

// before tells of a command that was carried out under a key: it takes effect once.
func (c *Chain) before(key, what string) (CompletedCommand, bool, error) {
	if key == "" || len(key) > 64 {
		return CompletedCommand{}, false, errKey
	}
	for _, d := range c.done {
		if d.Key == key && d.Command != what {
			return CompletedCommand{}, false, fmt.Errorf("%w: key %q was that of %q", ErrRefused, key, d.Command)
		} else if d.Key == key {
			return d, true, nil
		}
	}
	return CompletedCommand{}, false, nil
}

func (c *Chain) finish(key, what string) CompletedCommand {
	d := CompletedCommand{Key: key, Command: what, CompletedAt: c.t.StartedAt.Add(c.now)}
	if h := c.Head(); h != nil {
		d.Head = h.ID
	}
	c.done = append(c.done, d)
	c.done = c.done[max(0, len(c.done)-c.t.MaxCompletedCommands):]
	return d
}

// span checks for how long something is to be held.
func (c *Chain) span(told time.Duration) (time.Duration, error) {
	switch {
	case told == 0:
		return c.t.DefaultHold, nil
	case told < time.Second || told > c.t.MaxHold:
		return 0, fmt.Errorf("%w: a hold lasts from 1s to %v", ErrRefused, c.t.MaxHold)
	}
	return told, nil
}

// RollBack goes back to what a version says of the servers that are open today, and holds it. It is refused where
// that would leave a table without any server, or where the tables' numbers meant something else. Under a key that was
// used for it before, it does nothing more.
func (c *Chain) RollBack(now time.Duration, to tables.ID, key string, held time.Duration, see FleetView) (d CompletedCommand, fresh bool, err error) {
	c.now = now
	what := "rollback to " + to.String()
	if d, known, err := c.before(key, what); known || err != nil {
		return d, false, err
	}
	span, err := c.span(held)
	if err != nil {
		return d, false, err
	}
	v, err := c.FindVersion(to)
	if err != nil {
		return d, false, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	if v.Layout != c.layout {
		return d, false, fmt.Errorf("%w: the tables were laid out otherwise: %s then, %s now", ErrRefused, v.Layout, c.layout)
	}
	pin, err := c.today(v.State, see)
	if err != nil {
		return d, false, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	c.hold = &hold{key: key, to: to, pin: pin, whole: pin.weight(), since: now, until: now + span}
	return c.finish(key, what), true, nil
}

// today is a state with the servers that may get flows now; a cold one gets its climbing part.
func (c *Chain) today(s *tables.State, see FleetView) (PinnedTables, error) {
	pin := pinned(s)
	for _, id := range c.State().TableIDs() {
		lines := pin.Weights[balancer.TableID(id)]
		for server, w := range lines {
			sight := see.ServerStatus(server)
			if !sight.Known || !sight.Available {
				delete(lines, server)
			} else if sight.WarmFraction < 1 {
				lines[server] = w * sight.WarmFraction
			}
		}
		if len(lines) == 0 && len(c.State().Table(id).Weights) > 0 {
			return pin, fmt.Errorf("table %d would have no server: all %d that it named then are gone, drain or don't answer",
				id, len(s.Table(id).Weights))
		}
	}
	return pin, nil
}

func (p PinnedTables) weight() (sum float64) {
	for _, id := range slices.Sorted(maps.Keys(p.Weights)) {
		for _, s := range slices.Sorted(maps.Keys(p.Weights[id])) {
			sum += p.Weights[id][s]
		}
	}
	return sum
}

// Hold keeps the tables as they stand.
func (c *Chain) Hold(now time.Duration, key string, held time.Duration, see FleetView) (d CompletedCommand, fresh bool, err error) {
	c.now = now
	if d, known, err := c.before(key, "hold"); known || err != nil {
		return d, false, err
	}
	span, err := c.span(held)
	if err != nil {
		return d, false, err
	}
	if c.Head() == nil {
		return d, false, fmt.Errorf("%w: no version was sent yet", ErrRefused)
	}
	pin := pinned(c.State())
	c.hold = &hold{key: key, pin: pin, whole: pin.weight(), since: now, until: now + span}
	return c.finish(key, "hold"), true, nil
}

// Resume ends what is held.
func (c *Chain) Resume(now time.Duration, key string) (d CompletedCommand, fresh bool, err error) {
	c.now = now
	if d, known, err := c.before(key, "resume"); known || err != nil {
		return d, false, err
	}
	if c.hold == nil {
		return d, false, fmt.Errorf("%w: nothing is held", ErrRefused)
	}
	c.hold, c.gliding = nil, true
	return c.finish(key, "resume"), true, nil
}

// Pinned is what the module is to hold the tables at; false where it decides by itself.
func (c *Chain) Pinned() (PinnedTables, bool) {
	if c.hold == nil {
		return PinnedTables{}, false
	}
	return c.hold.pin, true
}

// Looked ends a hold whose time is over, or of whose weight too little is left. It tells whether one ended.
func (c *Chain) ExpireHold(now time.Duration, see FleetView) (ended bool, notes []string) {
	c.now = now
	if c.hold == nil {
		return false, nil
	}
	left := c.left(see)
	switch {
	case now >= c.hold.until:
		notes = append(notes, fmt.Sprintf("hold %q ends: its time of %.0fs is over", c.hold.key, (c.hold.until-c.hold.since).Seconds()))
	case left < c.t.MinHeldFraction:
		notes = append(notes, fmt.Sprintf("hold %q ends: %.2f of its weight is left, %.2f is the least", c.hold.key, left, c.t.MinHeldFraction))
	default:
		return false, nil
	}
	c.hold, c.gliding = nil, true
	return true, notes
}

// left is the part of what is pinned that servers which may get flows have.
func (c *Chain) left(see FleetView) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(c.hold.pin.Weights)) {
		lines := c.hold.pin.Weights[id]
		for _, s := range slices.Sorted(maps.Keys(lines)) {
			if see.ServerStatus(s).Available {
				sum += lines[s]
			}
		}
	}
	return sum / max(c.hold.whole, 1e-9)
}

// Holding tells what is held; false where nothing is.
func (c *Chain) CurrentHold(see FleetView) (HoldStatus, bool) {
	if c.hold == nil {
		return HoldStatus{}, false
	}
	return HoldStatus{c.hold.key, c.hold.to, c.t.StartedAt.Add(c.hold.since), c.t.StartedAt.Add(c.hold.until), c.left(see)}, true
}

// Commands are those done, oldest first.
func (c *Chain) CompletedCommands() []CompletedCommand { return c.done }
