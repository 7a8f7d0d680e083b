package capacity

import "tamarindshore/internal/scale"

// readers is how many managers one control machine serves.
func (m *Model) readers(s Situation) float64 {
	return (float64(m.Plan.Fleet.Managers) - s.LostManagers) / s.ControlMachines
}

// controlMachine is a machine that serves the list to its part of all managers.
func (m *Model) controlMachine(s Situation, scope Scope) Load {
	p := m.Plan
	readers := m.readers(s)
	counts := p.normalServerCounts(scope)
	live := s // the machine receives each change, and forwards it; what readers missed is counted apart
	live.MissedEntries = 0
	received := p.listChanges(live, 1)
	changes := p.listChanges(live, counts.sentShare(false))
	openings := s.OpeningManagers / s.ControlMachines / s.Window
	resumes := s.ResumingManagers / s.ControlMachines / s.Window
	load := Load{
		State:       stateOf(float64(p.Fleet.Servers), "servers") + ", " + stateOf(readers, "readers"),
		MessagesIn:  known(received.messages/s.Window + openings + resumes),
		MessagesOut: known(readers*(1+changes.messages/s.Window) + openings + resumes),
		BytesIn:     m.listChangeBytes(received).times(1 / s.Window),
		Memory:      m.cost(scale.ControlHeapPerManager, m.controlSizes(scale.ControlHeapPerManager, s, counts)).times(readers),
		Connections: known(readers),
		Core:        m.controlCore(s, counts, openings, changes.messages/s.Window*readers),
	}
	perReader := m.heartbeatBytes().plus(m.listChangeBytes(changes).times(1 / s.Window))
	resumed := known(0)
	if s.MissedEntries > 0 {
		resumed = m.listChangeBytes(p.listChanges(s, counts.sentShare(false))).times(resumes)
	}
	load.BytesOut = perReader.times(readers).plus(m.openingBytes(counts).times(openings)).plus(resumed)
	load.CoreWithoutCollectors = load.Core
	return load
}

// controlCore is what a control machine spends: its readers' openings, the changes that it writes to them, and its heartbeats.
// Where some of these were not measured it is a lower bound.
func (m *Model) controlCore(s Situation, counts serverCounts, openings, changes float64) Figure {
	opening := m.cost(scale.ControlCPUPerManager, m.controlSizes(scale.ControlCPUPerManager, s, counts))
	change := m.cost(scale.ControlCPUPerChange, m.controlSizes(scale.ControlCPUPerChange, s, counts))
	heartbeats := m.cost(scale.ControlCPUPerQuietSecond, Sizes{scale.Managers: m.readers(s)})
	return opening.times(openings).plus(change.times(changes)).plus(heartbeats.times(m.readers(s)))
}

// controlSizes is the fleet as one control machine sees it.
func (m *Model) controlSizes(cost scale.Cost, s Situation, counts serverCounts) Sizes {
	sizes := m.listSizes(cost, counts.sent)
	sizes[scale.Managers] = m.readers(s)
	return sizes
}

// agent forwards the endpoint list to the manager beside it. There is none in this repository, so its own costs are
// not measured.
func (m *Model) agent(s Situation, scope Scope) Load {
	counts := m.Plan.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	list := m.listBytes(s, counts).plus(m.heartbeatBytes())
	return Load{
		State:       stateOf(counts.sent, "servers"),
		MessagesIn:  known(1 + in.listMessages),
		MessagesOut: known(1 + in.listMessages),
		BytesIn:     list,
		BytesOut:    list,
		Connections: known(2),
	}
}
