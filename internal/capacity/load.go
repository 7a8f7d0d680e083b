package capacity

import (
	"fmt"

	"tamarindshore/internal/scale"
)

// Role is a component of the fleet whose load is calculated.
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

// Roles lists all roles in the order of the tables.
var Roles = []Role{Manager, Agent, ControlMachine, Relay, Collector, Proxy, Server}

// Load is the load of one instance of a role. Message and byte counts and core are per second; requests are not
// counted.
type Load struct {
	State                 string // size of the state it holds, as shown in the tables
	MessagesIn            Figure
	MessagesOut           Figure
	BytesIn, BytesOut     Figure
	CollectorBytes        Figure // the part of BytesIn that comes from collectors
	Core                  Figure // fraction of a core
	CoreWithoutCollectors Figure
	Memory                Figure // bytes
	Connections           Figure
}

// bytes returns the sum of the bytes received and sent.
func (l Load) bytes() Figure { return l.BytesIn.plus(l.BytesOut) }

// bytesWithoutCollectors returns bytes less what collectors send.
func (l Load) bytesWithoutCollectors() Figure { return l.bytes().plus(l.CollectorBytes.times(-1)) }

// Model calculates loads from a plan and measured costs.
type Model struct {
	Plan    Plan
	Costs   Costs
	sources []Source // all sources used so far, without duplicates
}

// NewModel returns a model of a plan with the measured slopes of a report.
func NewModel(p Plan, r scale.Report) *Model { return &Model{Plan: p, Costs: Costs{r}} }

// Load returns the load of one instance of a role in a situation and scope.
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

// cost returns a cost at the given sizes and records its source for the table of sources.
func (m *Model) cost(cost scale.Cost, sizes Sizes) Figure {
	return m.recordSource(m.Costs.At(cost, sizes))
}

// bytesAt returns the bytes of a kind of message at the given sizes of the fleet. Without a measurement it returns the
// assumed bytes.
func (m *Model) bytesAt(cost scale.Cost, sizes Sizes, assumed float64) Figure {
	s := m.Costs.AtOrAssumed(cost, sizes, assumed)
	s.UnmeasuredAxes = nil // the message is not expected to grow along these axes
	return m.recordSource(s)
}

// bytesOf returns the bytes of a kind of message that are the same at every size. Without a measurement it returns the
// assumed bytes.
func (m *Model) bytesOf(cost scale.Cost, assumed float64) Figure {
	return m.recordSource(m.Costs.AtOrAssumed(cost, nil, assumed))
}

// recordSource adds a source to the table of sources unless it is there already, and returns its value.
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

// listSizes returns the size of a list along the axis that the given cost was measured along.
func (m *Model) listSizes(cost scale.Cost, entries float64) Sizes {
	return Sizes{m.Costs.listSizeAxis(cost): entries}
}
