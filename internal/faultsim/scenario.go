// Package faultsim plays seeded faults against the load balancing decisions on a virtual clock, and checks the rules
// that must hold after each step. A Scenario says how large the fleet is and which faults may hit it; a Script holds the
// faults of one run, drawn from a seed or read from a replay file; Run plays a script and returns the first Violation;
// SearchSeeds plays many seeds, and Shrink reduces a script that breaks a rule. The same scenario and script give the
// same run. The package must never be imported by the daemon.
package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// CountRange bounds a number that is drawn evenly from Min to Max.
type CountRange struct {
	Min, Max int
}

// Scenario is a fleet, the limits that its rules set, and the faults that may hit it.
type Scenario struct {
	Zones   int
	Servers int
	Proxies int

	RequestRate    float64       // requests a second of each proxy
	ServerCapacity float64       // requests a second that a warm server serves
	ServiceTime    time.Duration // of a request at an idle server

	ReportDelay  DurationRange // of load and usage reports
	ListDelay    DurationRange // of changes of the endpoint list
	MessageDelay DurationRange // of a message from the channel to a proxy

	CommandsPerSecond float64 // that the channel sends
	QueueCapacity     float64 // in commands
	MaxMessages       int     // to one proxy within ten seconds; 0: no limit

	ColdCapacity   float64 // of a server that just started, as a part of ServerCapacity
	WarmUpDuration time.Duration

	DrainGracePeriod     time.Duration // until no proxy may send to a draining server
	MaxTimeWithoutServer time.Duration // of a proxy while servers are ready
	OverloadFactor       float64       // of a warming server's capacity, up to which it is not overloaded
	MaxOverloadTime      time.Duration // of a warming server

	FaultPhase   time.Duration // of a run, in which faults begin
	SettlePhase  time.Duration // after that, until progress is checked
	FaultCount   CountRange
	FaultWeights map[FaultKind]float64 // relative frequency of each kind
}

// DefaultScenario is the scenario of a run that names none, in which all kinds of faults are as frequent.
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

// LargeFleetScenario is one manager's part of a large fleet, reduced: a channel that sends four commands a second for
// each proxy, a queue that holds a quarter of a minute's, and faults of the relay, its calls and the streams.
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

// Settings are those of the scenario's manager.
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
		MessageOverhead:    messageOverhead - 1,
		MaxMessages:        s.MaxMessages,
		MessageWindow:      messageWindow,
	}
	for zone := range s.Zones {
		settings.Zones = append(settings.Zones, fleetmodel.ZoneID(zone))
	}
	return settings
}
