// Package faultsim tests the load balancing decisions by fault injection in a deterministic simulation with a virtual
// clock, and checks rules that must hold throughout a run. A Scenario describes the fleet and the faults that may occur.
// A Script holds the faults of one run, drawn from a seed or read from a replay file. Run simulates a script and returns
// the first Violation. SearchSeeds simulates many seeds, and Shrink reduces a script that violates a rule. The same
// scenario and script give the same run. The daemon must not import this package.
package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// CountRange is a range from which integers are drawn with a uniform distribution, Min and Max included.
type CountRange struct {
	Min, Max int
}

// Scenario describes a fleet, the limits of the rules, and the faults that may occur.
type Scenario struct {
	Zones   int
	Servers int
	Proxies int

	RequestRate    float64       // requests per second of each proxy
	ServerCapacity float64       // requests per second that a warm server can serve
	ServiceTime    time.Duration // time that an idle server takes for a request

	ReportDelay  DurationRange // delay of load and usage reports
	ListDelay    DurationRange // delay of changes of the endpoint list
	MessageDelay DurationRange // delay of a message from the channel to a proxy

	CommandsPerSecond float64 // rate of the channel
	QueueCapacity     float64 // maximum total size of the queued messages, in commands
	MaxMessages       int     // limit of messages to one proxy within ten seconds; 0: no limit

	ColdCapacity   float64 // capacity of a server that has just started, as a fraction of ServerCapacity
	WarmUpDuration time.Duration

	DrainGracePeriod     time.Duration // how long proxies may still send requests to a draining or removed server
	MaxTimeWithoutServer time.Duration // how long a proxy may have no server while a warm server is ready
	OverloadFactor       float64       // a warming server is overloaded above this multiple of its capacity
	MaxOverloadTime      time.Duration // an overload of a warming server that lasts this long is a violation

	FaultPhase   time.Duration // part of a run in which faults begin
	SettlePhase  time.Duration // from the end of FaultPhase until progress is checked
	FaultCount   CountRange
	FaultWeights map[FaultKind]float64 // relative frequency of each kind
}

// DefaultScenario returns the scenario of runs that name none. All kinds of faults are equally frequent.
func DefaultScenario() Scenario {
	const ms = time.Millisecond
	s := Scenario{
		Zones:                3,
		Servers:              15,
		Proxies:              18,
		RequestRate:          6,
		ServerCapacity:       14,
		ServiceTime:          150 * ms,
		ReportDelay:          DurationRange{380 * ms, 1600 * ms},
		ListDelay:            DurationRange{500 * ms, 3000 * ms},
		MessageDelay:         DurationRange{80 * ms, 300 * ms},
		CommandsPerSecond:    1300,
		QueueCapacity:        2600,
		ColdCapacity:         0.2,
		WarmUpDuration:       16 * time.Second,
		DrainGracePeriod:     1500 * ms,
		MaxTimeWithoutServer: 3 * time.Second,
		OverloadFactor:       3,
		MaxOverloadTime:      2 * time.Second,
		FaultPhase:           40 * time.Second,
		SettlePhase:          25 * time.Second,
		FaultCount:           CountRange{1, 5},
		FaultWeights:         map[FaultKind]float64{},
	}
	for _, kind := range FaultKinds() {
		s.FaultWeights[kind] = 1
	}
	return s
}

// LargeFleetScenario returns a scaled-down model of one manager's part of a large fleet. Its channel sends about four
// commands per second for each proxy, and its queue holds about 15 seconds of commands. Most faults affect the relay, its
// calls and the proxies' streams.
func LargeFleetScenario() Scenario {
	s := DefaultScenario()
	s.Zones = 2
	s.Servers = 60
	s.Proxies = 300
	s.RequestRate = 1
	s.ServerCapacity = 9
	s.CommandsPerSecond = 1300
	s.QueueCapacity = 20000
	s.ColdCapacity = 0.15
	s.DrainGracePeriod = 20 * time.Second
	s.MaxTimeWithoutServer = 10 * time.Second
	s.FaultPhase = 30 * time.Second
	s.SettlePhase = 40 * time.Second
	s.FaultCount = CountRange{3, 6}
	s.FaultWeights = map[FaultKind]float64{
		Unresponsive:     2,
		Drain:            1,
		ZonePartition:    2,
		RelayUnreachable: 3,
		ResponsesLost:    3,
		SlowChannel:      2,
		ManagerRestart:   1,
		ManagerStall:     1,
		ProxyReconnect:   3,
	}
	return s
}

// Settings returns the settings of the scenario's manager.
func (s Scenario) Settings() balancer.Settings {
	settings := balancer.Settings{
		Classes:            fleetmodel.TrafficClasses(),
		Proxies:            s.Proxies,
		HealthChecks:       true,
		AdmissionUnit:      balancer.AdmitShare,
		DefaultRetryPolicy: balancer.RetryIfNotExecuted,
		IdleTimeout:        15 * time.Second,
		ColdCapacity:       s.ColdCapacity,
		WarmUpDuration:     s.WarmUpDuration,
		QueueCapacity:      s.QueueCapacity,
		CommandsPerSecond:  s.CommandsPerSecond,
		CommandPrice:       0.05,
		DrainGrace:         s.DrainGracePeriod,
		MessageOverhead:    messageOverhead - 1,
		MaxMessages:        s.MaxMessages,
		MessageWindow:      messageWindow,
	}
	for zone := range s.Zones {
		settings.Zones = append(settings.Zones, fleetmodel.ZoneID(zone))
	}
	return settings
}
