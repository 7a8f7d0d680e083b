package scale

import (
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// Phase names a part of a script that is measured by itself.
type Phase string

// Phases of a script, in their order.
const (
	PhaseList    Phase = "list"    // the complete endpoint list is read
	PhaseJoin    Phase = "join"    // proxies connect and are assigned tables
	PhaseWarm    Phase = "warm"    // reports come; not measured
	PhaseBusy    Phase = "busy"    // reports come
	PhaseChanges Phase = "changes" // changes of the endpoint list alone
	PhaseInputs  Phase = "inputs"  // reports alone, between two of the manager's timers
	PhaseQuiet   Phase = "quiet"   // nothing comes
)

// Spans of the phases, by the script's clock.
const (
	joinSpan  = 4 * time.Second
	warmSpan  = 8 * time.Second
	busySpan  = 4 * time.Second
	quietSpan = 4 * time.Second
)

// Sizes of the phases.
const (
	eventBatch      = 512 // events that the router takes together
	measuredInputs  = 20 * eventBatch
	measuredChanges = 16
)

const (
	ackDelay          = 20 * time.Millisecond // until a proxy acknowledges a call's barrier
	healthCheckDelay  = 2 * time.Millisecond  // until a server answers a health check
	reportTick        = time.Millisecond
	listChangeSpacing = 50 * time.Millisecond // enough for the acknowledgements of a change
	maxReportInterval = time.Minute           // that the manager accepts in a report
	heartbeatInterval = time.Second
)

// scriptEpoch is the wall-clock time at which scripts begin: a fixed one, so that each run does the same work.
var scriptEpoch = time.Unix(1_700_000_000, 0)

// step is all that comes to a manager at one time.
type step struct {
	at       time.Duration
	messages []node.Message
}

// trafficByKind is a manager's traffic by node.MessageKind.
type trafficByKind [node.HeartbeatMessage + 1]node.Traffic

// minus is the traffic since an earlier count.
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

// phase is a part of a script, and what a manager did in it when the script was recorded.
type phase struct {
	name     Phase
	span     time.Duration
	steps    []step
	inputs   int // messages, heartbeats included
	traffic  trafficByKind
	commands int
}

// script is the messages that one manager is sent, step by step. Replayed on a fresh manager it causes the same work, so that this
// can be measured without the cost of the fleet around the manager.
type script struct {
	scenario        Scenario
	site            fakes.Site
	phases          []phase
	assignedProxies int // at the end
}

// phase returns the phase of a name; nil where the script has none.
func (s *script) phase(name Phase) *phase {
	for i := range s.phases {
		if s.phases[i].name == name {
			return &s.phases[i]
		}
	}
	return nil
}
