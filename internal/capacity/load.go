package capacity

import (
	"fmt"

	"tamarindshore/internal/scale"
)

// Role is a part of the fleet that has something to carry.
type Role string

// Roles, in the order of the tables.
const (
	Manager        Role = "manager"
	Agent          Role = "discovery's agent beside a manager"
	ControlMachine Role = "control machine (discovery)"
	Relay          Role = "relay"
	Collector      Role = "collector"
	Proxy          Role = "proxy"
	Server         Role = "server"
)

// Roles are all roles in the order of the tables.
var Roles = []Role{Manager, Agent, ControlMachine, Relay, Collector, Proxy, Server}

// Load is what one of a role carries: rates are a second's, requests apart.
type Load struct {
	State                 string
	MessagesIn            Figure
	MessagesOut           Figure
	BytesIn, BytesOut     Figure
	CollectorBytes        Figure // of BytesIn, those from collectors
	Core                  Figure // part of a core
	CoreWithoutCollectors Figure
	Memory                Figure // bytes
	Connections           Figure
}

// bytes is all that a role sends and receives.
func (l Load) bytes() Figure { return l.BytesIn.plus(l.BytesOut) }

// bytesWithoutCollectors leaves out what collectors send.
func (l Load) bytesWithoutCollectors() Figure { return l.bytes().plus(l.CollectorBytes.times(-1)) }

// Model works loads out from a plan and measured costs.
type Model struct {
	Plan    Plan
	Costs   Costs
	sources []Source // that were used, each once
}

// NewModel joins a plan and the slopes.
func NewModel(p Plan, r scale.Report) *Model { return &Model{Plan: p, Costs: Costs{r}} }

// Load is what one of a role carries in a situation.
func (m *Model) Load(role Role, s Situation, scope Scope) Load {
	switch role {
	case Manager:
		return m.manager(s, scope)
	case Agent:
		return m.agent(s, scope)
	case ControlMachine:
		return m.controlMachine(s, scope)
	case Relay:
		return m.relay(s, scope)
	case Collector:
		return m.collector(s, scope)
	case Proxy:
		return m.proxy(s, scope)
	}
	return m.server(s, scope)
}

// cost is a cost at a size; its source is kept for the table of sources.
func (m *Model) cost(cost scale.Cost, sizes Sizes) Figure {
	return m.recordSource(m.Costs.At(cost, sizes))
}

// bytesAt is the bytes of a kind of message where they are measured along axes of the fleet's size.
func (m *Model) bytesAt(cost scale.Cost, sizes Sizes, assumed float64) Figure {
	s := m.Costs.OrPlan(cost, sizes, assumed)
	s.UnmeasuredAxes = nil // along which nobody expects the message to grow
	return m.recordSource(s)
}

// bytesOf is the bytes of a message that are the same at every size.
func (m *Model) bytesOf(cost scale.Cost, assumed float64) Figure {
	return m.recordSource(m.Costs.OrPlan(cost, nil, assumed))
}

func (m *Model) recordSource(s Source) Figure {
	key := fmt.Sprint(s.Cost, s.Sizes)
	for _, old := range m.sources {
		if fmt.Sprint(old.Cost, old.Sizes) == key {
			return s.Value
		}
	}
	m.sources = append(m.sources, s)
	return s.Value
}

// listSizes is the size of a list as the opening's costs were measured.
func (m *Model) listSizes(cost scale.Cost, entries float64) Sizes {
	return Sizes{m.Costs.listAxis(cost): entries}
}
