// How to call: New makes a chain from its terms; Propose is asked before orders go out, and Outcome told what became of
// them; RollBack, Hold and Resume are staff's commands, and Looked is called once a second. Pinned says what the
// module is to hold the tables at. All take the time since the manager's start.

package versions

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Chain keeps the versions that were sent, and what is held.
type Chain struct {
	t        Settings
	now      time.Duration
	versions []*Version // by number, oldest first; the last is the head
	size     int
	layout   string
	state    *tables.State // that stands
	refused  string        // the rule that held the last version back
	hold     *hold
	gliding  bool // after a hold, versions go by small steps until one needs none
	done     []CompletedCommand
}

// New begins with nothing sent.
func New(t Settings) *Chain { return &Chain{t: t, state: tables.EmptyState()} }

// Recover takes over the versions and commands of earlier epochs: ways back may lead to them, and a command that was
// done is not done again. Nothing of them stands: a manager that starts has no tables.
func (c *Chain) Recover(old []*Version, done []CompletedCommand) {
	for _, v := range old {
		v.Acknowledged = true
		v.size = 200 + 64*len(v.Ops) + 48*v.State.WeightCount()
		c.versions, c.size = append(c.versions, v), c.size+v.size
	}
	c.done = append(c.done, done...)
	c.shorten()
}

// Verify makes each version that is kept anew from the one before it, and compares.
func (c *Chain) Verify() (lines []string, err error) {
	for i, v := range c.versions {
		switch {
		case v.State.Digest() != v.Digest:
			return lines, fmt.Errorf("version %v: its state is %v, not %v", v.ID, v.State.Digest(), v.Digest)
		case i == 0 || c.versions[i-1].Digest != v.Parent:
			lines = append(lines, fmt.Sprintf("%v %v holds; what it came from is not kept", v.ID, v.Digest))
			continue
		}
		next, err := c.versions[i-1].State.Apply(v.Ops)
		if err != nil || next.Digest() != v.Digest {
			return lines, fmt.Errorf("version %v does not follow from the one before it", v.ID)
		}
	}
	return append(lines, fmt.Sprintf("%d versions hold", len(c.versions))), nil
}

// Laid tells what the tables' numbers mean from now on.
func (c *Chain) SetLayout(layout string) { c.layout = layout }

// Head is the newest version of this epoch; nil before the first.
func (c *Chain) Head() *Version {
	if n := len(c.versions); n > 0 && c.versions[n-1].ID.Epoch == c.t.Epoch {
		return c.versions[n-1]
	}
	return nil
}

// State is what stands by the newest version.
func (c *Chain) State() *tables.State { return c.state }

// Versions are those that are kept, oldest first.
func (c *Chain) Versions() []*Version { return c.versions }

// Find gives a version that is kept.
func (c *Chain) FindVersion(id tables.ID) (*Version, error) {
	for _, v := range c.versions {
		if v.ID == id {
			return v, nil
		}
	}
	if len(c.versions) == 0 {
		return nil, errors.New("no version was sent yet")
	}
	return nil, fmt.Errorf("version %v is not kept: %v to %v are", id, c.versions[0].ID, c.versions[len(c.versions)-1].ID)
}

// ops are a call's orders as changes of a state. Bindings are no part of it.
func ops(o balancer.Commands) (all []tables.Op) {
	for _, s := range o.Withdraw {
		all = append(all, tables.Op{Kind: tables.Withdraw, Server: string(s)})
	}
	for _, l := range o.Weights {
		all = append(all, tables.Op{Kind: tables.SetWeight, Table: uint32(l.Table), Server: string(l.Server), Weight: l.Weight})
	}
	for _, l := range o.AdmissionLevels {
		all = append(all, tables.Op{Kind: tables.SetAdmissionLevel, Table: uint32(l.Table), Classes: uint64(l.Classes),
			AdmissionLevel: tables.AdmissionLevel{Amount: l.Amount, Retry: uint8(l.Retry)}})
	}
	for _, s := range o.Restore {
		all = append(all, tables.Op{Kind: tables.Restore, Server: string(s)})
	}
	return all
}

// Propose looks at orders before they go out, and makes a version of what may. What must go out at once goes whatever
// else is wrong: drains, lines that take weight from who may get no flows, lines for a table without any, bindings.
func (c *Chain) Propose(now time.Duration, o balancer.Commands, cause string, see FleetView) (r Result) {
	c.now = now
	r.Commands = o
	r.Commands.Weights = slices.Clone(o.Weights)
	if len(o.Withdraw)+len(o.Weights)+len(o.AdmissionLevels)+len(o.Restore) == 0 {
		return r
	}
	p := &proposal{now: c.State(), orders: &r.Commands, see: see}
	if next, err := p.now.Apply(ops(o)); err != nil {
		p.next = p.now
	} else {
		p.next = next
		if steps := c.step(p); len(steps) > 0 {
			r.Modified, r.Notes = true, append(r.Notes, steps...)
			p.next, _ = p.now.Apply(ops(r.Commands))
		}
	}
	rule, at := c.look(p)
	if rule != "" && c.refused != rule {
		r.Notes = append(r.Notes, fmt.Sprintf("version held back by %s: %s", rule, at.what))
	} else if rule == "" && c.refused != "" {
		r.Notes = append(r.Notes, "versions are sent again after "+c.refused)
	}
	c.refused = rule
	// what is at fault stays behind, and the rest goes: guards against one server or table that holds up all others
	for left := heldApart; rule != ""; left-- {
		r.Modified = true
		apart := left > 0 && c.onlyUrgent(p, at)
		if !apart { // what is urgent can't be held apart
			c.onlyUrgent(p, fault{table: -1})
		}
		next, err := p.now.Apply(ops(r.Commands))
		if err != nil { // what is urgent was looked at; this would be a fault of this package
			panic(fmt.Sprintf("the urgent part of a version can't be applied: %v", err))
		}
		if p.next = next; !apart {
			break
		}
		rule, at = c.look(p)
	}
	if r.Commands.Count() == 0 {
		r.Commands.Barrier = 0
	}
	if p.next.Digest() == p.now.Digest() {
		return r
	}
	r.Version = c.add(p.next, cause, r.Commands.Barrier, ops(r.Commands))
	return r
}

func (c *Chain) look(p *proposal) (rule string, at fault) {
	for _, one := range checks {
		if at := one.find(c, p); at.what != "" {
			return one.name, at
		}
	}
	return "", fault{table: -1}
}

// heldApart is how many servers or tables of one version may be at fault, each held back by itself.
const heldApart = 64

// onlyUrgent leaves of what is at fault in a version what must go out all the same. It tells whether something else, and
// not all, was at fault.
func (c *Chain) onlyUrgent(p *proposal, at fault) (apart bool) {
	all, before := at.server == "" && at.table < 0, p.orders.Count()
	p.orders.Weights = slices.DeleteFunc(p.orders.Weights, func(l balancer.EndpointWeight) bool {
		return (all || l.Server == at.server || int(l.Table) == at.table) && !p.urgent(l)
	})
	p.orders.Restore = slices.DeleteFunc(slices.Clone(p.orders.Restore), func(s balancer.ServerID) bool { return all || s == at.server })
	if all {
		p.orders.AdmissionLevels = nil
	}
	return !all && p.orders.Count() < before
}

// add appends a version, and drops the oldest beyond what is kept.
func (c *Chain) add(s *tables.State, cause string, mark balancer.BarrierID, by []tables.Op) *Version {
	v := &Version{ID: tables.ID{Epoch: c.t.Epoch, Number: 1}, Digest: s.Digest(), CreatedAt: c.t.StartedAt.Add(c.now), Cause: cause, Layout: c.layout, Ops: by, State: s, Barrier: mark}
	if h := c.Head(); h != nil {
		v.ID.Number = h.ID.Number + 1
	}
	v.Parent, c.state = c.state.Digest(), s
	if c.hold != nil {
		v.CommandKey = c.hold.key
	}
	changed := map[uint32]bool{}
	for _, o := range by {
		changed[o.Table] = true
	}
	v.size = 200 + 64*len(by)
	for id := range changed {
		v.size += 48 * len(s.Table(id).Weights)
	}
	c.versions, c.size = append(c.versions, v), c.size+v.size
	c.shorten()
	return v
}

// shorten drops the oldest versions beyond what is kept.
func (c *Chain) shorten() {
	for len(c.versions) > 1 && (len(c.versions) > c.t.MaxVersions || c.size > c.t.MaxVersionBytes) {
		c.size -= c.versions[0].size
		c.versions[0] = nil
		c.versions = c.versions[1:]
	}
}

// Outcome tells that the orders under a mark, and all before them, were carried out.
func (c *Chain) HandleBarrierAck(now time.Duration, mark balancer.BarrierID) {
	c.now = now
	for i := len(c.versions) - 1; i >= 0; i-- {
		if c.versions[i].Barrier == mark && mark != 0 {
			for ; i >= 0 && !c.versions[i].Acknowledged; i-- {
				c.versions[i].Acknowledged = true
			}
			return
		}
	}
}

// Bases are the versions that may stand at the proxies: the newest, and those before it of which no one knows yet
// whether they were carried out, back to the last that was.
func (c *Chain) PossibleBases() (may []tables.ID) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		if may = append(may, c.versions[i].ID); c.versions[i].Acknowledged {
			break
		}
	}
	return may
}

// Standing is the newest state as the module takes it.
func (c *Chain) CurrentTables() PinnedTables { return pinned(c.State()) }

func pinned(s *tables.State) PinnedTables {
	p := PinnedTables{Weights: map[balancer.TableID]map[balancer.ServerID]float64{}, AdmissionLevels: map[balancer.TableID]map[uint]balancer.AdmissionLevel{}}
	for _, id := range s.TableIDs() {
		t, lines, levels := s.Table(id), map[balancer.ServerID]float64{}, map[uint]balancer.AdmissionLevel{}
		for server, w := range t.Weights {
			lines[balancer.ServerID(server)] = w
		}
		for mask, l := range t.AdmissionLevels {
			levels[uint(mask)] = balancer.AdmissionLevel{Table: balancer.TableID(id), Classes: uint(mask), Amount: l.Amount, Retry: balancer.RetryPolicy(l.Retry)}
		}
		p.Weights[balancer.TableID(id)], p.AdmissionLevels[balancer.TableID(id)] = lines, levels
	}
	return p
}

// StillDraining corrects a list as last held by the drains that were in force: guards against a list older than a
// drain, which would give a server flows again. One that started since then is another process. Times of starts count
// from when the manager began.
func ApplyStoredDrains(entries []balancer.Endpoint, drains map[string]time.Time, began time.Time) []balancer.Endpoint {
	entries = slices.Clone(entries)
	for i, e := range entries {
		since, drained := drains[string(e.Server)]
		if drained && e.State == balancer.Ready && !(e.RecentlyStarted && e.Started > since.Sub(began)) {
			entries[i].State = balancer.Draining
		}
	}
	return entries
}
