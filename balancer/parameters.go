package balancer

import (
	"cmp"
	"slices"
	"time"
)

// parameters are what the decisions use of the platform's settings.
type parameters struct {
	latencyObjectives []float64 // seconds, by traffic class
	classesByPriority []ClassID // highest priority weight first
	defaultRetry      RetryPolicy
	retryPolicies     []RetryPolicy // by traffic class
	zoneLocal         uint          // mask of the classes that stay in their zone
	crossZone         uint          // mask of the other classes
	admissionUnit     AdmissionUnit

	warmUpStart    float64 // share of its target with which a server begins its warm-up
	warmUpDuration time.Duration

	messageOverhead    float64                // commands that a message costs besides its own
	queueLimits        [priorityCount]float64 // commands that may wait in the channel
	sendableSoon       [priorityCount]float64 // commands that leave soon enough for what comes next
	slowestRate        float64                // commands per second
	drainGraceCommands float64                // that leave within the grace of a drain
	messageLimits      [priorityCount]int     // messages to one proxy within messageWindow; 0: no limit
	messageWindow      time.Duration

	pollsEndpoints    bool
	healthChecks      bool
	removedMayServe   bool
	sliced            bool
	weightsFollowLoad bool
	proxyCount        float64 // of all managers
	managerCount      float64
	idleTimeout       time.Duration
	weightTolerance   float64 // relative change of a weight that is not published
}

func newParameters(s Settings) parameters {
	p := parameters{
		defaultRetry:  s.DefaultRetryPolicy,
		admissionUnit: s.AdmissionUnit,

		warmUpStart:    min(warmUpStartShare, warmUpStartOfCold*s.ColdCapacity),
		warmUpDuration: max(s.WarmUpDuration, 1),

		pollsEndpoints:    s.PollsEndpoints,
		healthChecks:      s.HealthChecks,
		removedMayServe:   s.RemovedMayServe,
		sliced:            s.Sliced,
		weightsFollowLoad: s.WeightsFollowLoad,
		proxyCount:        float64(s.Proxies),
		managerCount:      max(1, float64(s.Managers)),
		idleTimeout:       s.IdleTimeout,
		weightTolerance:   baseWeightTolerance + weightTolerancePerPrice*s.CommandPrice,
	}
	p.setClasses(s)
	p.setChannelLimits(s)
	return p
}

func (p *parameters) setClasses(s Settings) {
	for i, class := range s.Classes {
		id := ClassID(i)
		p.latencyObjectives = append(p.latencyObjectives, class.LatencyObjective.Seconds())
		p.classesByPriority = append(p.classesByPriority, id)
		p.retryPolicies = append(p.retryPolicies, retryPolicyFor(s.DefaultRetryPolicy, class))
		if class.ZoneLocal {
			p.zoneLocal |= id.mask()
		} else {
			p.crossZone |= id.mask()
		}
	}
	slices.SortStableFunc(p.classesByPriority, func(a, b ClassID) int {
		// of equal priority, the class with the shorter objective is taken to need less work
		return cmp.Or(cmp.Compare(s.Classes[b].PriorityWeight, s.Classes[a].PriorityWeight),
			cmp.Compare(s.Classes[a].LatencyObjective, s.Classes[b].LatencyObjective))
	})
}

func (p *parameters) setChannelLimits(s Settings) {
	p.messageOverhead = s.MessageOverhead
	p.messageWindow = s.MessageWindow
	p.slowestRate = s.CommandsPerSecond / slowChannelFactor
	p.drainGraceCommands = s.CommandsPerSecond * cmp.Or(s.DrainGrace.Seconds(), sendSecondsUrgent)
	p.queueLimits = [priorityCount]float64{
		normalPriority: queueShareNormal * s.QueueCapacity,
		urgentPriority: queueShareUrgent * s.QueueCapacity,
		drainPriority:  queueShareDrain * s.QueueCapacity,
	}
	p.sendableSoon = [priorityCount]float64{
		normalPriority: sendSecondsNormal * s.CommandsPerSecond,
		urgentPriority: sendSecondsUrgent * s.CommandsPerSecond,
		drainPriority:  p.queueLimits[drainPriority],
	}
	if most := float64(s.MaxMessages); most > 1 {
		p.messageLimits = [priorityCount]int{
			normalPriority: int(max(1, messageShareNormal*most)),
			urgentPriority: int(max(1, messageShareUrgent*most)),
			drainPriority:  int(most - 1),
		}
	}
}

// mask is the class as a bit mask.
func (id ClassID) mask() uint { return 1 << id }

// isZoneLocalClass tells whether a class stays in its zone.
func (p *parameters) isZoneLocalClass(id ClassID) bool { return p.zoneLocal&id.mask() != 0 }

// hasZoneLocalClasses tells whether some class stays in its zone.
func (p *parameters) hasZoneLocalClasses() bool { return p.zoneLocal != 0 }
