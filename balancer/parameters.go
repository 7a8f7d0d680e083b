package balancer

import (
	"cmp"
	"slices"
	"time"
)

// parameters are the values derived from Settings that the decisions use.
type parameters struct {
	latencyObjectives []float64 // seconds, by traffic class
	classesByPriority []ClassID // by descending priority weight
	defaultRetry      RetryPolicy
	retryPolicies     []RetryPolicy // by traffic class
	zoneLocalClasses  uint          // bit mask of the zone-local classes
	crossZoneClasses  uint          // bit mask of the other classes
	admissionUnit     AdmissionUnit

	warmUpStart    float64 // share of its target that a server gets at the start of its warm-up
	warmUpDuration time.Duration

	messageOverhead    float64                // cost of a message in addition to its commands, as a number of commands
	queueLimits        [priorityCount]float64 // commands that may wait in the channel, so that it does not overflow
	sendTimeLimits     [priorityCount]float64 // commands that may wait in the channel, so that they are sent in time
	assumedSendRate    float64                // commands per second that the channel is assumed to send until barriers are acknowledged
	drainGraceCommands float64                // commands that the channel sends within the grace of a drain
	messageLimits      [priorityCount]int     // messages to one proxy within messageWindow; 0: no limit
	messageWindow      time.Duration
	messageInterval    time.Duration // for each of these, a message to each proxy is left for drains; 0: none is left
	drainDelay         time.Duration // for which a withdrawal may wait to share a message with others

	pollsEndpoints    bool
	healthChecks      bool
	removedMayServe   bool
	sliced            bool
	weightsFollowLoad bool
	proxyCount        float64 // total over all managers
	managerCount      float64
	idleTimeout       time.Duration
	weightTolerance   float64 // relative change of a weight up to which it is not published
}

func newParameters(s Settings) parameters {
	p := parameters{
		defaultRetry:  s.DefaultRetryPolicy,
		admissionUnit: s.AdmissionUnit,

		warmUpStart:    min(warmUpStartShare, warmUpStartColdShare*s.ColdCapacity),
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
			p.zoneLocalClasses |= id.mask()
		} else {
			p.crossZoneClasses |= id.mask()
		}
	}
	slices.SortStableFunc(p.classesByPriority, func(a, b ClassID) int {
		// Among classes of equal priority, one with a shorter objective is assumed to need less work per request.
		return cmp.Or(cmp.Compare(s.Classes[b].PriorityWeight, s.Classes[a].PriorityWeight),
			cmp.Compare(s.Classes[a].LatencyObjective, s.Classes[b].LatencyObjective))
	})
}

func (p *parameters) setChannelLimits(s Settings) {
	p.messageOverhead = s.MessageOverhead
	p.assumedSendRate = s.CommandsPerSecond / slowChannelFactor
	drainGrace := cmp.Or(s.DrainGrace, defaultDrainGrace)
	p.drainGraceCommands = s.CommandsPerSecond * drainGrace.Seconds()
	p.queueLimits = [priorityCount]float64{
		normalPriority: queueShareNormal * s.QueueCapacity,
		urgentPriority: queueShareUrgent * s.QueueCapacity,
		drainPriority:  queueShareDrain * s.QueueCapacity,
	}
	p.sendTimeLimits = [priorityCount]float64{
		normalPriority: sendSecondsNormal * s.CommandsPerSecond,
		urgentPriority: sendSecondsUrgent * s.CommandsPerSecond,
		drainPriority:  p.queueLimits[drainPriority],
	}
	p.setMessageLimits(s.MaxMessages, s.MessageWindow, drainGrace)
}

// mask returns the bit mask that contains only this class.
func (id ClassID) mask() uint { return 1 << id }

// isZoneLocalClass reports whether requests of a class go only to servers in their proxy's zone.
func (p *parameters) isZoneLocalClass(id ClassID) bool { return p.zoneLocalClasses&id.mask() != 0 }

// hasZoneLocalClasses reports whether there are zone-local classes.
func (p *parameters) hasZoneLocalClasses() bool { return p.zoneLocalClasses != 0 }
