package capacity

import "tamarindshore/internal/scale"

// managersPerControlMachine returns how many managers one control machine serves.
func (m *Model) managersPerControlMachine(s Situation) float64 {
	return (float64(m.Plan.Fleet.Managers) - s.LostManagers) / s.ControlMachines
}

// controlMachine returns the load of a control machine, which serves the list to its share of the managers.
func (m *Model) controlMachine(s Situation, scope Scope) Load {
	p := m.Plan
	managers := m.managersPerControlMachine(s)
	counts := p.normalServerCounts(scope)
	live := s // the machine receives and forwards each change; entries that managers missed are counted separately
	live.MissedEntries = 0
	received := p.listChanges(live, 1)
	changes := p.listChanges(live, counts.sentShare(false))
	openings := s.OpeningManagers / s.ControlMachines / s.Window
	resumes := s.ResumingManagers / s.ControlMachines / s.Window
	load := Load{
		State:       formatCount(float64(p.Fleet.Servers), "servers") + ", " + formatCount(managers, "readers"),
		MessagesIn:  known(received.messages/s.Window + openings + resumes),
		MessagesOut: known(managers*(1+changes.messages/s.Window) + openings + resumes),
		BytesIn:     m.listChangeBytes(received).times(1 / s.Window),
		Memory:      m.cost(scale.ControlHeapPerManager, m.controlSizes(scale.ControlHeapPerManager, s, counts)).times(managers),
		Connections: known(managers),
		Core:        m.controlCore(s, counts, openings, changes.messages/s.Window*managers),
	}
	perManager := m.heartbeatBytes().plus(m.listChangeBytes(changes).times(1 / s.Window))
	resumedBytes := known(0)
	if s.MissedEntries > 0 {
		resumedBytes = m.listChangeBytes(p.listChanges(s, counts.sentShare(false))).times(resumes)
	}
	load.BytesOut = perManager.times(managers).plus(m.openingBytes(counts).times(openings)).plus(resumedBytes)
	load.CoreWithoutCollectors = load.Core
	return load
}

// controlCore returns the processor time of a control machine per second: openings, changes written to managers, and
// heartbeats. It is a lower bound if some of these were not measured.
func (m *Model) controlCore(s Situation, counts serverCounts, openings, changes float64) Figure {
	opening := m.cost(scale.ControlCPUPerManager, m.controlSizes(scale.ControlCPUPerManager, s, counts))
	change := m.cost(scale.ControlCPUPerChange, m.controlSizes(scale.ControlCPUPerChange, s, counts))
	heartbeats := m.cost(scale.ControlCPUPerQuietSecond, Sizes{scale.Managers: m.managersPerControlMachine(s)})
	return opening.times(openings).plus(change.times(changes)).plus(heartbeats.times(m.managersPerControlMachine(s)))
}

// controlSizes returns the sizes of the fleet as one control machine sees it.
func (m *Model) controlSizes(cost scale.Cost, s Situation, counts serverCounts) Sizes {
	sizes := m.listSizes(cost, counts.sent)
	sizes[scale.Managers] = m.managersPerControlMachine(s)
	return sizes
}

// agent returns the load of the agent that forwards the endpoint list to the manager beside it. This repository
// contains no agent, so its own costs are not measured.
func (m *Model) agent(s Situation, scope Scope) Load {
	counts := m.Plan.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	list := m.listBytes(s, counts).plus(m.heartbeatBytes())
	return Load{
		State:       formatCount(counts.sent, "servers"),
		MessagesIn:  known(1 + in.listMessages),
		MessagesOut: known(1 + in.listMessages),
		BytesIn:     list,
		BytesOut:    list,
		Connections: known(2),
	}
}
