package scale

import (
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// Phase names a part of a script whose cost is measured separately.
type Phase string

// Phases of a script, in order.
const (
	PhaseList    Phase = "list"    // the manager reads the complete endpoint list
	PhaseJoin    Phase = "join"    // proxies connect and are assigned tables
	PhaseWarmup  Phase = "warm"    // reports and list changes arrive; not measured
	PhaseBusy    Phase = "busy"    // reports and list changes arrive
	PhaseChanges Phase = "changes" // only changes of the endpoint list arrive
	PhaseInputs  Phase = "inputs"  // only reports arrive, between two of the manager's timers
	PhaseQuiet   Phase = "quiet"   // neither reports nor list changes arrive
)

// Durations of the phases, by the script's clock.
const (
	joinSpan   = 4 * time.Second
	warmupSpan = 8 * time.Second
	busySpan   = 4 * time.Second
	quietSpan  = 4 * time.Second
)

// Sizes of the phases.
const (
	eventBatchSize  = 512 // events that the router processes in one batch
	measuredInputs  = 20 * eventBatchSize
	measuredChanges = 16
)

const (
	ackDelay          = 20 * time.Millisecond // time until a proxy acknowledges the barrier of a call
	healthCheckDelay  = 2 * time.Millisecond  // time until a server answers a health check
	reportTick        = time.Millisecond      // resolution of the times at which reports arrive
	listChangeSpacing = 50 * time.Millisecond // leaves time for the proxies' acknowledgements of a change
	maxReportInterval = time.Minute           // longest interval that the manager accepts in a report
	heartbeatInterval = time.Second
)

// scriptEpoch is the wall-clock time at which scripts begin. It is fixed, so that each run does the same work.
var scriptEpoch = time.Unix(1_700_000_000, 0)

// step holds the messages that a manager receives at one time.
type step struct {
	at       time.Duration
	messages []node.Message
}

// trafficByKind holds a manager's traffic for each node.MessageKind.
type trafficByKind [node.HeartbeatMessage + 1]node.Traffic

// minus returns the traffic since an earlier count.
func (t trafficByKind) minus(before trafficByKind) trafficByKind {
	var difference trafficByKind
	for kind := range t {
		difference[kind] = node.Traffic{
			Messages: t[kind].Messages - before[kind].Messages,
			In:       t[kind].In - before[kind].In,
			Out:      t[kind].Out - before[kind].Out,
		}
	}
	return difference
}

// phase is a part of a script, with the traffic and the commands of the manager when the script was recorded.
type phase struct {
	name     Phase
	span     time.Duration
	steps    []step
	inputs   int // number of messages, including heartbeats
	traffic  trafficByKind
	commands int // number of commands to the relay
}

// script holds the messages that one manager receives, step by step. Replaying it on a fresh manager causes the same work, so
// the work can be measured without the cost of simulating the fleet around the manager.
type script struct {
	scenario        Scenario
	site            fakes.Site
	phases          []phase
	assignedProxies int // number of proxies that have a table at the end
}

// phase returns the phase with a name, or nil if the script has none.
func (s *script) phase(name Phase) *phase {
	for i := range s.phases {
		if s.phases[i].name == name {
			return &s.phases[i]
		}
	}
	return nil
}
