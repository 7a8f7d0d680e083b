// Package faultsim plays seeded faults against the decisions on a virtual clock and looks at every rule after each step.
// scenario.go says how large a fleet is and which faults may befall it; script.go draws faults from a seed and writes
// them down; world.go is the fleet, its relay and its discovery; rules.go judges; search.go goes through seeds and
// makes a script smaller. The same seed gives the same run. It must never be imported by the daemon.
package faultsim

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/sexp"
)

// Scenario is a fleet, its rules and what may befall it.
type Scenario struct {
	Zones, Servers, Proxies                int
	RequestRate, ServerCapacity            float64       // flows a second of a proxy, and of a warm server
	ServiceTime                            time.Duration // of a flow at a server at rest
	ReportDelay                            [2]time.Duration
	ListDelay                              [2]time.Duration
	MessageDelay                           [2]time.Duration // of a message
	CommandsPerSecond, QueueCapacity       float64
	MaxMessages                            int // to a proxy within 10 s; 0: no limit
	ColdCapacity                           float64
	WarmUpDuration                         time.Duration
	DrainGracePeriod, MaxTimeWithoutServer time.Duration
	OverloadFactor                         float64
	MaxOverloadTime                        time.Duration
	FaultPhase, SettlePhase                time.Duration // of a run with its faults, and after the last of them
	FaultCount                             [2]int        // how many befall a run
	FaultWeights                           map[FaultKind]float64
}

// Usual is the standard scenario.
func DefaultScenario() Scenario {
	ms := time.Millisecond
	s := Scenario{Zones: 3, Servers: 15, Proxies: 18, RequestRate: 6, ServerCapacity: 14, ServiceTime: 150 * ms,
		ReportDelay: [2]time.Duration{380 * ms, 1600 * ms}, ListDelay: [2]time.Duration{500 * ms, 3000 * ms}, MessageDelay: [2]time.Duration{80 * ms, 300 * ms},
		CommandsPerSecond: 1300, QueueCapacity: 2600, ColdCapacity: 0.2, WarmUpDuration: 16 * time.Second, DrainGracePeriod: 1500 * ms, MaxTimeWithoutServer: 3 * time.Second,
		OverloadFactor: 3, MaxOverloadTime: 2 * time.Second, FaultPhase: 40 * time.Second, SettlePhase: 25 * time.Second, FaultCount: [2]int{1, 5},
		FaultWeights: map[FaultKind]float64{}}
	for k := range kinds {
		s.FaultWeights[FaultKind(k)] = 1
	}
	return s
}

// Fleet is one manager's part of a large fleet, made smaller: a channel that sends four lines a proxy and second behind a
// queue that holds a quarter of a minute's, and troubles of the relay, its calls and the streams.
func LargeFleetScenario() Scenario {
	s := DefaultScenario()
	s.Zones, s.Servers, s.Proxies, s.RequestRate, s.ServerCapacity = 2, 60, 300, 1, 9
	s.CommandsPerSecond, s.QueueCapacity, s.ColdCapacity, s.DrainGracePeriod, s.MaxTimeWithoutServer = 1300, 20000, 0.15, 20*time.Second, 10*time.Second
	s.FaultPhase, s.SettlePhase, s.FaultCount = 30*time.Second, 40*time.Second, [2]int{3, 6}
	for k := range s.FaultWeights {
		s.FaultWeights[k] = 0
	}
	for k, w := range map[FaultKind]float64{Unresponsive: 2, Drain: 1, ZonePartition: 2, RelayUnreachable: 3, ResponsesLost: 3, SlowChannel: 2, ManagerRestart: 1, ManagerStall: 1, ProxyReconnect: 3} {
		s.FaultWeights[k] = w
	}
	return s
}

// Terms are those of a manager in this scenario.
func (s Scenario) Settings() balancer.Settings {
	t := balancer.Settings{
		Classes: []balancer.TrafficClass{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
		},
		HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted, ColdCapacity: s.ColdCapacity, WarmUpDuration: s.WarmUpDuration,
		Proxies: s.Proxies, IdleTimeout: 15 * time.Second, QueueCapacity: s.QueueCapacity, CommandsPerSecond: s.CommandsPerSecond, MessageOverhead: 4, CommandPrice: 0.05,
		MaxMessages: s.MaxMessages, MessageWindow: 10 * time.Second,
	}
	for z := range s.Zones {
		t.Zones = append(t.Zones, balancer.ZoneID(fmt.Sprint("z", z)))
	}
	return t
}

// ReadScenario reads a file of the form (scenario (key value) ...); what it does not say is as in the usual one.
func ReadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(filepath.Base(path), text)
}

// ParseScenario reads a scenario's text.
func ParseScenario(name string, text []byte) (Scenario, error) {
	s := DefaultScenario()
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return s, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "scenario" {
		return s, fmt.Errorf("%s:1: one form (scenario ...) is due", name)
	}
	whole := func(key string, to *int, least, most int) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Int(to, least, most) }}
	}
	number := func(key string, to *float64, least, most float64) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Float(to, least, most) }}
	}
	span := func(key string, to *time.Duration) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Duration(to, time.Millisecond, time.Hour) }}
	}
	between := func(key string, to *[2]time.Duration) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error {
			if err := sexp.Read(n, n.Args(), span("least", &to[0]), span("most", &to[1])); err != nil {
				return err
			}
			if to[1] < to[0] {
				return n.Errorf("%s: most is under least", key)
			}
			return nil
		}}
	}
	err = sexp.Read(nodes[0], nodes[0].Args(),
		whole("zones", &s.Zones, 1, 16), whole("servers", &s.Servers, 1, 5000), whole("proxies", &s.Proxies, 1, 20000),
		number("rate", &s.RequestRate, 0.01, 1e4), number("capacity", &s.ServerCapacity, 0.1, 1e5), span("service", &s.ServiceTime),
		between("reports-late", &s.ReportDelay), between("list-late", &s.ListDelay), between("transit", &s.MessageDelay),
		number("lines-per-s", &s.CommandsPerSecond, 10, 1e7), number("queue-lines", &s.QueueCapacity, 10, 1e7), whole("messages", &s.MaxMessages, 0, 1000),
		number("cold-share", &s.ColdCapacity, 0.01, 1), span("warm-after", &s.WarmUpDuration), span("drain-grace", &s.DrainGracePeriod), span("bare-for", &s.MaxTimeWithoutServer),
		number("overload-factor", &s.OverloadFactor, 1, 100), span("overload-for", &s.MaxOverloadTime), span("length", &s.FaultPhase), span("settle", &s.SettlePhase),
		sexp.Key{Name: "faults", Read: func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), whole("least", &s.FaultCount[0], 0, 50), whole("most", &s.FaultCount[1], 0, 50))
		}},
		sexp.Key{Name: "weights", Read: func(n *sexp.Node) error {
			var keys []sexp.Key
			for k, name := range kinds {
				keys = append(keys, sexp.Key{Name: name, Read: func(n *sexp.Node) error {
					w := 0.0
					err := n.Float(&w, 0, 100)
					s.FaultWeights[FaultKind(k)] = w
					return err
				}})
			}
			return sexp.Read(n, n.Args(), keys...)
		}})
	if err == nil && s.FaultCount[1] < s.FaultCount[0] {
		err = nodes[0].Errorf("faults: most is under least")
	}
	return s, err
}
