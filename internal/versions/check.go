package versions

import (
	"fmt"
	"math"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// proposal is one version before it is used.
type proposal struct {
	now, next *tables.State // what stands, and what it would come to
	orders    *balancer.Commands
	see       FleetView
}

// fault is what a rule finds wrong, and at whom: a server's orders, a table's lines, or, with neither, the whole version.
type fault struct {
	what   string // empty where nothing is wrong
	server balancer.ServerID
	table  int // below 0: none
}

func whole(format string, values ...any) fault { return fault{fmt.Sprintf(format, values...), "", -1} }

// check is a rule.
type check struct {
	name string
	find func(c *Chain, p *proposal) fault
}

// checks are gone through in this order; the first that finds something holds back what is at fault.
var checks = []check{
	{"finite", (*Chain).notFinite},
	{"known", (*Chain).notKnown},
	{"closed", (*Chain).toClosed},
	{"bare", (*Chain).leavesBare},
	{"cold", (*Chain).tooMuchCold},
	{"size", (*Chain).tooMany},
}

// urgent tells whether a line must go out whatever else is wrong: it takes weight from a server that may get no
// flows or is cold, or it is for a table none of whose lines can be picked.
func (p *proposal) urgent(l balancer.EndpointWeight) bool {
	if math.IsNaN(l.Weight) || math.IsInf(l.Weight, 0) || l.Weight < 0 {
		return false
	}
	t, s := p.now.Table(uint32(l.Table)), p.see.ServerStatus(l.Server)
	lower := l.Weight < t.Weights[string(l.Server)]
	return lower && (!s.Available || s.WarmFraction < 1) || s.Available && s.Known && !p.usable(p.now, uint32(l.Table))
}

// usable tells whether some line of a table can be picked.
func (p *proposal) usable(of *tables.State, id uint32) bool {
	for s, w := range of.Table(id).Weights {
		if w > 0 && !of.IsWithdrawn(s) && p.see.ServerStatus(balancer.ServerID(s)).Available {
			return true
		}
	}
	return false
}

func (c *Chain) notFinite(p *proposal) fault {
	for _, l := range p.orders.Weights {
		if !(l.Weight >= 0) || math.IsInf(l.Weight, 1) {
			return whole("weight %v of %s in table %d", l.Weight, l.Server, l.Table)
		}
	}
	for _, l := range p.orders.AdmissionLevels {
		if !(l.Amount >= 0) || math.IsInf(l.Amount, 1) {
			return whole("level %v in table %d", l.Amount, l.Table)
		}
	}
	return fault{}
}

func (c *Chain) notKnown(p *proposal) fault {
	for _, l := range p.orders.Weights {
		if l.Weight > 0 && !p.see.ServerStatus(l.Server).Known {
			return fault{fmt.Sprintf("%s in table %d is not known", l.Server, l.Table), l.Server, -1}
		}
	}
	return fault{}
}

// toClosed guards against a line that is laid or raised for a server that drains, is gone or does not answer, and
// against letting such a one back in.
func (c *Chain) toClosed(p *proposal) fault {
	for _, l := range p.orders.Weights {
		was := p.now.Table(uint32(l.Table)).Weights[string(l.Server)]
		if l.Weight > was && !p.see.ServerStatus(l.Server).Available {
			return fault{fmt.Sprintf("%s in table %d gets %v after %v, and may get no flows", l.Server, l.Table, l.Weight, was), l.Server, -1}
		}
	}
	for _, s := range p.orders.Restore {
		if !p.see.ServerStatus(s).Available {
			return fault{fmt.Sprintf("%s is let back in, and may get no flows", s), s, -1}
		}
	}
	return fault{}
}

// leavesBare guards against a table that loses its last line while servers are open.
func (c *Chain) leavesBare(p *proposal) fault {
	if all, _ := p.see.ReadyServers(); all == 0 {
		return fault{}
	}
	for _, l := range p.orders.Weights {
		if id := uint32(l.Table); l.Weight == 0 && p.usable(p.now, id) && !p.usable(p.next, id) {
			return fault{fmt.Sprintf("table %d loses %s and has no line left", id, l.Server), "", int(id)}
		}
	}
	return fault{}
}

// tooMuchCold guards against a climbing server that gets far more than its climbing part of all flows, while others
// are warm.
func (c *Chain) tooMuchCold(p *proposal) fault {
	all, warm := p.see.ReadyServers()
	if warm == 0 {
		return fault{}
	}
	total := 0.0
	for _, id := range p.next.TableIDs() {
		total += p.see.RequestRate(balancer.TableID(id))
	}
	seen := map[balancer.ServerID]bool{}
	for _, l := range p.orders.Weights {
		s := p.see.ServerStatus(l.Server)
		if s.WarmFraction >= 1 || seen[l.Server] || p.urgent(l) || l.Weight <= p.now.Table(uint32(l.Table)).Weights[string(l.Server)] {
			continue
		}
		seen[l.Server] = true
		gets := 0.0
		for _, id := range p.next.TableIDs() {
			t := p.next.Table(id)
			if w := t.Weights[string(l.Server)]; w > 0 {
				gets += p.see.RequestRate(balancer.TableID(id)) * w / weight(t)
			}
		}
		if part := total / float64(all); gets > c.t.MaxWarmUpFactor*s.WarmFraction*part && total > 0 {
			return fault{fmt.Sprintf("%s has climbed %.2f and gets %.1f of %.1f flows/s, with %d servers", l.Server, s.WarmFraction, gets, total, all), l.Server, -1}
		}
	}
	return fault{}
}

func (c *Chain) tooMany(p *proposal) fault {
	if n := p.orders.Count(); n > c.t.MaxCommands {
		return whole("%d orders, %d at most", n, c.t.MaxCommands)
	}
	return fault{}
}

func weight(t *tables.Table) (sum float64) {
	for _, w := range t.Weights {
		sum += w
	}
	return sum
}

// moved is the part of a table's weight that goes from server to server, but for what closed servers leave.
func (p *proposal) moved(id uint32) float64 {
	a, b := p.now.Table(id), p.next.Table(id)
	left, sumA, sumB := 0.0, 0.0, 0.0
	for s, w := range a.Weights {
		if p.see.ServerStatus(balancer.ServerID(s)).Available && !p.now.IsWithdrawn(s) {
			sumA += w
		}
	}
	for s, w := range b.Weights {
		if p.see.ServerStatus(balancer.ServerID(s)).Available && !p.next.IsWithdrawn(s) {
			sumB += w
		}
	}
	if sumA == 0 || sumB == 0 {
		return 0
	}
	for s, w := range a.Weights {
		if p.see.ServerStatus(balancer.ServerID(s)).Available && !p.now.IsWithdrawn(s) {
			left += max(0, w/sumA-b.Weights[s]/sumB)
		}
	}
	return left
}

// step goes part of the way where more of all flows would move than a version may: guards against one version that turns
// the fleet over, and after a hold against a jump to what was decided meanwhile. One table among many may change as a whole:
// it is small, and its servers are replaced together. The rest follows with later versions. What guards a rule goes whole.
func (c *Chain) step(p *proposal) (notes []string) {
	changed := map[uint32]bool{}
	for _, l := range p.orders.Weights {
		changed[uint32(l.Table)] = true
	}
	gliding := c.gliding && c.hold == nil // a way back goes at once, also soon after another
	moved, all, most := 0.0, 0.0, c.t.MaxMovedFraction
	if gliding {
		most = c.t.MaxStepAfterHold
	}
	for _, id := range p.next.TableIDs() {
		flows := max(p.see.RequestRate(balancer.TableID(id)), 1e-9)
		if all += flows; changed[id] {
			moved += flows * p.moved(id)
		}
	}
	far := moved > most*all
	for i, l := range p.orders.Weights {
		if far && !p.urgent(l) {
			was := p.now.Table(uint32(l.Table)).Weights[string(l.Server)]
			p.orders.Weights[i].Weight = math.Round((was+(l.Weight-was)*most*all/moved)*1000) / 1000
		}
	}
	for i, l := range p.orders.AdmissionLevels {
		was, stands := p.now.Table(uint32(l.Table)).AdmissionLevels[uint64(l.Classes)]
		if gliding && stands && max(was.Amount, l.Amount) <= 1 && math.Abs(l.Amount-was.Amount) > c.t.MaxStepAfterHold {
			far = true
			p.orders.AdmissionLevels[i].Amount = min(max(l.Amount, was.Amount-c.t.MaxStepAfterHold), was.Amount+c.t.MaxStepAfterHold)
		}
	}
	if !far {
		c.gliding = false
		return nil
	}
	return []string{fmt.Sprintf("%.2f of all flows would move at once, %.2f at most: in steps", moved/all, most)}
}
